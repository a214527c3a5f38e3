use super::*;

fn classify_parts(read_with_response: &[u8], unread: &[u8]) -> Surplus {
    classify(read_with_response, |buffer| {
        let count = buffer.len().min(unread.len());
        buffer[..count].copy_from_slice(&unread[..count]);
        count
    })
}

#[test]
fn only_the_whole_start_of_a_response_explains_surplus_bytes() {
    let copy = b"HTTP/1.1 200 OK\r\n";
    for split in 0..copy.len() {
        assert_eq!(classify_parts(&copy[..split], &copy[split..]), Surplus::Response, "split at {split}");
    }
    assert_eq!(classify_parts(b"", b""), Surplus::Nothing);
    for unexplained in [&b"\r\n"[..], b"4821", b"HTTP", b"HTTP/2 200", b"\0noise HTTP/1.1 200 OK"] {
        assert_eq!(classify_parts(unexplained, b""), Surplus::Unexplained, "{unexplained:?}");
        assert_eq!(classify_parts(b"", unexplained), Surplus::Unexplained, "{unexplained:?}");
    }
}
