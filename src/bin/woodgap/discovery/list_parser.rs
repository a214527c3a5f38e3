//! Parses the body of a watch: a sequence of JSON objects, each on one line or indented over several, and empty
//! lines as keep-alives.

use bytes::{Buf, Bytes, BytesMut};
use serde_json::Value;

use super::WatchError;

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
}

impl ListParser {
    /// Appends a chunk of the body.
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next complete item, or `None` if more bytes are needed.
    pub fn next(&mut self) -> Result<Option<Item>, WatchError> {
        let blank_bytes = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let has_empty_line = self.buffer[..blank_bytes].contains(&b'\n');
        self.buffer.advance(blank_bytes);
        if has_empty_line {
            return Ok(Some(Item::KeepAlive));
        }
        // An object can only be complete at a closing brace. Without this check a list that arrives in many chunks
        // would be parsed again with each of them.
        if self.buffer.trim_ascii_end().last() == Some(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Value>();
            match values.next() {
                Some(Ok(value)) => {
                    let parsed_bytes = values.byte_offset();
                    self.buffer.advance(parsed_bytes);
                    return Ok(Some(Item::List(value)));
                }
                Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                _ => {}
            }
        }
        if self.buffer.len() > MAX_LIST_BYTES {
            return Err(format!("a list is longer than {MAX_LIST_BYTES} bytes").into());
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse_in_chunks(text: &str, chunk_bytes: usize) -> Vec<Value> {
        let mut parser = ListParser::default();
        let mut values = Vec::new();
        for chunk in text.as_bytes().chunks(chunk_bytes) {
            parser.push(&Bytes::copy_from_slice(chunk));
            while let Some(item) = parser.next().unwrap() {
                if let Item::List(value) = item {
                    values.push(value);
                }
            }
        }
        values
    }

    #[test]
    fn objects_may_be_split_anywhere_and_indented_over_lines() {
        let first = serde_json::json!({"revision": 1, "members": [{"id": "a}\n{"}, {"id": "b"}]});
        let second = serde_json::json!({"revision": 2, "members": []});
        let indented = serde_json::to_string_pretty(&first).unwrap();
        for text in [format!("{first}\r\n\n{second}\n"), format!("\n{indented}\n\n{second}\n{first}\n")] {
            let whole = parse_in_chunks(&text, text.len());
            assert_eq!(whole[..2], [first.clone(), second.clone()]);
            for chunk_bytes in 1..60 {
                assert_eq!(parse_in_chunks(&text, chunk_bytes), whole, "in chunks of {chunk_bytes} bytes");
            }
        }
    }

    #[test]
    fn empty_line_is_a_keep_alive_and_invalid_json_is_an_error() {
        let mut parser = ListParser::default();
        parser.push(&Bytes::from_static(b"\n"));
        assert_eq!(parser.next().unwrap(), Some(Item::KeepAlive));
        assert_eq!(parser.next().unwrap(), None);
        parser.push(&Bytes::from_static(b"{\"a\" 7}"));
        assert!(parser.next().unwrap_err().to_string().contains("expected `:`"));
    }

    #[test]
    fn endless_list_is_an_error() {
        let mut parser = ListParser::default();
        parser.push(&Bytes::from(vec![b'['; MAX_LIST_BYTES + 1]));
        assert!(parser.next().is_err());
    }
}
