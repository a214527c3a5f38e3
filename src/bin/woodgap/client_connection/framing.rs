//! What a request's head says of its body, in the bytes that the library read.
//!
//! The guarantee: a body in chunks is told from one that has a length as well. The library drops a `Content-Length`
//! beside `Transfer-Encoding` without a trace, and such a request may hide another one in its body. So the head is
//! read once more, by the parser that the library itself uses, where it is certain at which byte it began: at the
//! connection's first, or behind a request of known length with nothing after it.

// The library's own bounds.
use crate::clients::{LONGEST_HEAD, MOST_HEADERS};

pub struct Framing {
    /// The first bytes that came for this request.
    head: Vec<u8>,
    came: usize,
    /// Where the request began is known.
    certain: bool,
    /// Its length, once its head was read.
    length: Option<usize>,
    pub chunked_alone: bool,
}

impl Default for Framing {
    fn default() -> Self {
        Framing { head: Vec::new(), came: 0, certain: true, length: None, chunked_alone: false }
    }
}

impl Framing {
    /// Bytes that went to the library.
    pub fn take(&mut self, bytes: &[u8]) {
        self.came += bytes.len();
        if self.certain && self.length.is_none() {
            let room = LONGEST_HEAD - self.head.len().min(LONGEST_HEAD);
            self.head.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// The library has read a head: reads it as well.
    pub fn read(&mut self) {
        let head = std::mem::take(&mut self.head);
        if !self.certain {
            return;
        }
        let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut fields);
        let Ok(httparse::Status::Complete(end)) = request.parse(&head) else {
            self.certain = false;
            return;
        };
        let values = |name: &str| {
            let named = request.headers.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
            named.map(|field| field.value).collect::<Vec<_>>()
        };
        let (lengths, codings) = (values("content-length"), values("transfer-encoding"));
        self.chunked_alone = lengths.is_empty()
            && matches!(codings[..], [coding] if coding.trim_ascii().eq_ignore_ascii_case(b"chunked"));
        let body = match lengths[..] {
            [] => Some(0),
            [length, ..] => {
                std::str::from_utf8(length).ok().and_then(|text| text.trim().parse::<usize>().ok())
            }
        };
        // Where one in chunks ends, only the library knows.
        self.length = body.filter(|_| codings.is_empty()).map(|body| end + body);
    }

    /// The request was answered: the next one begins where it ended, if nothing more had come.
    pub fn next(&mut self) {
        let certain = self.certain && self.length == Some(self.came);
        *self = Framing { certain, ..Framing::default() };
    }
}

#[cfg(test)]
mod tests;
