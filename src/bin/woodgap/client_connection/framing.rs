//! Detects from a request's raw bytes whether chunked encoding is its only framing.
//!
//! hyper drops a `Content-Length` that stands beside `Transfer-Encoding` without a trace, and a request with
//! both may hide another request in its body (request smuggling). So the head is parsed a second time, with
//! the parser that hyper itself uses, wherever it is known at which byte the request begins: at the
//! connection's first byte, or right behind a request of known length after which nothing else had arrived.
//! Where the first byte is not known, chunked bodies are not accepted.

// hyper is configured with the same limits.
use crate::clients::{MAX_REQUEST_HEADERS, MAX_REQUEST_HEAD_BYTES};

/// The framing of one request after the other on a client connection.
pub struct Framing {
    /// The first bytes that arrived for this request.
    head: Vec<u8>,
    /// Number of bytes that arrived since the previous request was answered.
    received: usize,
    /// Whether it is known at which byte the request begins.
    is_start_known: bool,
    /// Length of the request in bytes, head and body, if the head gives it.
    request_bytes: Option<usize>,
    /// Whether `Transfer-Encoding: chunked` is known to be the only framing in the head.
    pub is_chunked_only: bool,
}

impl Default for Framing {
    fn default() -> Self {
        Framing {
            head: Vec::new(),
            received: 0,
            is_start_known: true,
            request_bytes: None,
            is_chunked_only: false,
        }
    }
}

impl Framing {
    /// Number of bytes that arrived since the previous request was answered.
    pub fn received_bytes(&self) -> usize {
        self.received
    }

    /// Whether any byte arrived since the previous request was answered.
    pub fn has_received_bytes(&self) -> bool {
        self.received > 0
    }

    /// Whether exactly the bytes of the open request are known to have been handed to hyper.
    pub fn has_only_one_request(&self) -> bool {
        self.is_start_known && self.request_bytes == Some(self.received)
    }

    /// Records bytes that were handed to hyper.
    pub fn record_bytes(&mut self, bytes: &[u8]) {
        self.received += bytes.len();
        if self.is_start_known && self.request_bytes.is_none() {
            let room = MAX_REQUEST_HEAD_BYTES - self.head.len().min(MAX_REQUEST_HEAD_BYTES);
            self.head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// Parses the head, once hyper has parsed it.
    pub fn parse_head(&mut self) {
        let head = std::mem::take(&mut self.head);
        if !self.is_start_known {
            return;
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_REQUEST_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(head_bytes)) = request.parse(&head) else {
            self.is_start_known = false;
            return;
        };
        let values_of = |name: &str| {
            let matching = request.headers.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
            matching.map(|field| field.value).collect::<Vec<_>>()
        };
        let (lengths, codings) = (values_of("content-length"), values_of("transfer-encoding"));
        self.is_chunked_only = lengths.is_empty()
            && matches!(codings[..], [coding] if coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        let body_bytes = match lengths[..] {
            [] => Some(0),
            [length, ..] => {
                std::str::from_utf8(length).ok().and_then(|text| text.trim().parse::<usize>().ok())
            }
        };
        // Only hyper knows where a chunked body ends.
        self.request_bytes =
            body_bytes.filter(|_| codings.is_empty()).map(|body_bytes| head_bytes + body_bytes);
    }

    /// Starts over after a response. The next request begins with the next byte if exactly the answered
    /// request had arrived.
    pub fn finish_request(&mut self) {
        let is_start_known = self.has_only_one_request();
        *self = Framing { is_start_known, ..Framing::default() };
    }
}

#[cfg(test)]
mod tests;
