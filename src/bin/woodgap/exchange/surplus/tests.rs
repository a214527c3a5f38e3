use super::*;

#[test]
fn only_the_whole_start_of_a_response_explains_surplus_bytes() {
    assert_eq!(classify(b""), Surplus::Nothing);
    assert_eq!(classify(b"HTTP/1."), Surplus::Response);
    assert_eq!(classify(b"HTTP/1.1 200 OK\r\n"), Surplus::Response);
    for unexplained in [&b"\r\n"[..], b"4821", b"HTTP", b"HTTP/2 200", b"\0noise HTTP/1.1 200 OK"] {
        assert_eq!(classify(unexplained), Surplus::Unexplained, "{unexplained:?}");
    }
}
