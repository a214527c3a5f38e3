//! Parses the body of a watch: a sequence of JSON objects, each on one line or indented over several, and empty
//! lines as keep-alives.
//!
//! Guarantee: an object counts as soon as its closing brace has arrived, whatever follows it or does not.

mod object_scanner;

use bytes::{Buf, Bytes, BytesMut};
use serde_json::Value;

use super::WatchError;
use object_scanner::ObjectScanner;

/// The longest list that is read. It has room for some ten thousand servers.
const MAX_LIST_BYTES: usize = 4 << 20;

/// A parsed part of the body.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// An empty line, which says that nothing has changed.
    KeepAlive,
    /// A list as JSON.
    List(Value),
}

/// Parses the body as its chunks arrive.
#[derive(Default)]
pub struct ListParser {
    /// Bytes that are not parsed yet.
    buffer: BytesMut,
    /// Finds the end of the object at the start of the buffer.
    scanner: ObjectScanner,
}

impl ListParser {
    /// Appends a chunk of the body.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next complete item, or `None` if more bytes are needed.
    pub fn next(&mut self) -> Result<Option<Item>, WatchError> {
        if self.skip_blank_lines() {
            return Ok(Some(Item::KeepAlive));
        }
        if self.buffer.first().is_some_and(|&byte| byte != b'{') {
            return Err("expected an object or an empty line".into());
        }
        if let Some(object_bytes) = self.scanner.find_end(&self.buffer) {
            let object = self.buffer.split_to(object_bytes);
            self.scanner = ObjectScanner::default();
            return Ok(Some(Item::List(serde_json::from_slice(&object)?)));
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(format!("a list is longer than {MAX_LIST_BYTES} bytes").into());
        }
        Ok(None)
    }

    /// Drops the white space between objects. Returns whether a line ended in it.
    fn skip_blank_lines(&mut self) -> bool {
        let blank_bytes = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let has_empty_line = self.buffer[..blank_bytes].contains(&b'\n');
        self.buffer.advance(blank_bytes);
        has_empty_line
    }
}

#[cfg(test)]
mod tests;
