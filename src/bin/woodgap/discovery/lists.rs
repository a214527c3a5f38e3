//! The lists in a watch's answer: JSON objects one after the other, on a line each or indented over several.

use bytes::{Buf, Bytes, BytesMut};
use serde_json::Value;

use super::Fault;

/// The longest list that is read: some ten thousand servers.
const LONGEST: usize = 4 << 20;

/// What a watch brings.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// An empty line: nothing has changed.
    Beat,
    /// An object.
    List(Value),
}

/// What has come and is not handed on yet.
#[derive(Default)]
pub struct Lists {
    buffer: BytesMut,
}

impl Lists {
    pub fn push(&mut self, chunk: &Bytes) {
        self.buffer.extend_from_slice(chunk);
    }

    /// The next thing that is whole, `None` until more has come.
    pub fn next(&mut self) -> Result<Option<Item>, Fault> {
        let blank = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let beat = self.buffer[..blank].contains(&b'\n');
        self.buffer.advance(blank);
        if beat {
            return Ok(Some(Item::Beat));
        }
        // Read only where an object may have ended: one that comes in pieces is not read once for each.
        if self.buffer.trim_ascii_end().last() == Some(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Value>();
            match values.next() {
                Some(Ok(value)) => {
                    let read = values.byte_offset();
                    self.buffer.advance(read);
                    return Ok(Some(Item::List(value)));
                }
                Some(Err(error)) if !error.is_eof() => return Err(error.into()),
                _ => {}
            }
        }
        if self.buffer.len() > LONGEST {
            return Err(format!("a list is longer than {LONGEST} bytes").into());
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str, each: usize) -> Vec<Value> {
        let mut lists = Lists::default();
        let mut seen = Vec::new();
        for part in text.as_bytes().chunks(each) {
            lists.push(&Bytes::copy_from_slice(part));
            while let Some(item) = lists.next().unwrap() {
                if let Item::List(value) = item {
                    seen.push(value);
                }
            }
        }
        seen
    }

    #[test]
    fn objects_may_be_split_anywhere_and_indented_over_lines() {
        let first = serde_json::json!({"revision": 1, "members": [{"id": "a}\n{"}, {"id": "b"}]});
        let second = serde_json::json!({"revision": 2, "members": []});
        let indented = serde_json::to_string_pretty(&first).unwrap();
        for text in [format!("{first}\r\n\n{second}\n"), format!("\n{indented}\n\n{second}\n{first}\n")] {
            let whole = read(&text, text.len());
            assert_eq!(whole[..2], [first.clone(), second.clone()]);
            for each in 1..60 {
                assert_eq!(read(&text, each), whole, "in parts of {each}");
            }
        }
    }

    #[test]
    fn an_empty_line_is_a_sign_of_life_and_noise_is_said() {
        let mut lists = Lists::default();
        lists.push(&Bytes::from_static(b"\n"));
        assert_eq!(lists.next().unwrap(), Some(Item::Beat));
        assert_eq!(lists.next().unwrap(), None);
        lists.push(&Bytes::from_static(b"{\"a\" 7}"));
        assert!(lists.next().unwrap_err().to_string().contains("expected `:`"));
    }

    #[test]
    fn a_list_without_end_is_not_kept() {
        let mut lists = Lists::default();
        lists.push(&Bytes::from(vec![b'['; LONGEST + 1]));
        assert!(lists.next().is_err());
    }
}
