use super::*;

/// Requests, each as the parts in which it went to the library before its head was read; whether each is chunked
/// alone.
fn read(requests: &[&[&str]]) -> Vec<bool> {
    let mut framing = Framing::default();
    let each = |parts: &&[&str]| {
        parts.iter().for_each(|part| framing.take(part.as_bytes()));
        framing.read();
        let alone = framing.chunked_alone;
        framing.next();
        alone
    };
    requests.iter().map(each).collect()
}

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const PLAIN: &str = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";

#[test]
fn a_length_beside_chunks_is_seen_wherever_it_stands() {
    assert_eq!(read(&[&[CHUNKED]]), [true]);
    assert_eq!(read(&[&[&CHUNKED[..20], &CHUNKED[20..], "0\r\n\r\n"]]), [true]);
    for both in [
        "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTRANSFER-ENCODING: chunked\r\ncontent-length: 2\r\n\r\n",
        "POST / HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: x\n\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\n\r\n",
    ] {
        assert_eq!(read(&[&[both]]), [false], "{both}");
    }
}

#[test]
fn a_request_is_trusted_only_where_its_first_byte_is_certain() {
    assert_eq!(read(&[&[PLAIN], &[PLAIN], &[CHUNKED]]), [false, false, true]);
    // Bytes behind the one before may be the next one's head, with a length in it.
    assert_eq!(read(&[&[PLAIN, "P"], &["OST", CHUNKED]]), [false, false]);
    assert_eq!(read(&[&[CHUNKED], &[CHUNKED]]), [true, false]);
    assert_eq!(read(&[&[PLAIN, CHUNKED], &[], &[CHUNKED]]), [false, false, false]);
    let long = format!("POST / HTTP/1.1\r\nX-A: {}\r\n{}", "a".repeat(LONGEST_HEAD), &CHUNKED[17..]);
    assert_eq!(read(&[&[&long], &[CHUNKED]]), [false, false]);
}
