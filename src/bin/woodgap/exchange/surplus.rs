//! What a server sends behind the end of a response.
//!
//! A response whose length is smaller than its body and a good one with noise behind it look alike: both go on with
//! bytes that begin no further response. Passing on the first of them would serve a client with something that no
//! server made, so neither is passed on (`docs/responses.md`).

/// The bytes with which each further response begins.
pub const RESPONSE_START: &[u8; 7] = b"HTTP/1.";

/// What follows the end of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Surplus {
    /// Nothing has arrived yet.
    Nothing,
    /// A further response, such as a second copy of the first one: the first one is complete.
    Response,
    /// Anything else: the length of the response may be wrong.
    Unexplained,
}

/// Classifies the bytes behind a response.
pub fn classify(bytes: &[u8]) -> Surplus {
    match bytes {
        [] => Surplus::Nothing,
        bytes if bytes.starts_with(RESPONSE_START) => Surplus::Response,
        _ => Surplus::Unexplained,
    }
}

#[cfg(test)]
mod tests;
