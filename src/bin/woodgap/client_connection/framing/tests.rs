use super::*;

/// Parses requests on one connection, each given as the parts that hyper read before it had the whole head.
/// Returns for each request whether chunked encoding is known to be its only framing.
fn chunked_only(requests: &[&[&str]]) -> Vec<bool> {
    let mut framing = Framing::default();
    let parse = |parts: &&[&str]| {
        parts.iter().for_each(|part| framing.record_bytes(part.as_bytes()));
        framing.parse_head();
        let is_chunked_only = framing.is_chunked_only;
        framing.finish_request();
        is_chunked_only
    };
    requests.iter().map(parse).collect()
}

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const WITH_LENGTH: &str = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";

#[test]
fn a_content_length_beside_chunked_encoding_is_detected() {
    assert_eq!(chunked_only(&[&[CHUNKED]]), [true]);
    assert_eq!(chunked_only(&[&[&CHUNKED[..20], &CHUNKED[20..], "0\r\n\r\n"]]), [true]);
    for head in [
        "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTRANSFER-ENCODING: chunked\r\ncontent-length: 2\r\n\r\n",
        "POST / HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: x\n\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\n\r\n",
    ] {
        assert_eq!(chunked_only(&[&[head]]), [false], "{head}");
    }
}

#[test]
fn a_chunked_request_counts_only_where_its_first_byte_is_known() {
    assert_eq!(chunked_only(&[&[WITH_LENGTH], &[WITH_LENGTH], &[CHUNKED]]), [false, false, true]);
    // Bytes that arrived with the previous request may belong to the next head, and so may a Content-Length.
    assert_eq!(chunked_only(&[&[WITH_LENGTH, "P"], &["OST", CHUNKED]]), [false, false]);
    assert_eq!(chunked_only(&[&[CHUNKED], &[CHUNKED]]), [true, false]);
    assert_eq!(chunked_only(&[&[WITH_LENGTH, CHUNKED], &[], &[CHUNKED]]), [false, false, false]);
    let long =
        format!("POST / HTTP/1.1\r\nX-A: {}\r\n{}", "a".repeat(MAX_REQUEST_HEAD_BYTES), &CHUNKED[17..]);
    assert_eq!(chunked_only(&[&[&long], &[CHUNKED]]), [false, false]);
}
