//! A record: its form's version, a checksum over its place and its bytes, its bytes.

use serde::{Deserialize, Serialize};

const VERSION: u8 = 1;
const HEAD: usize = 5;

/// A record's text. `place` is its key: a record that stands in another's place does not pass.
pub fn write(place: &str, value: &impl Serialize) -> Vec<u8> {
    // Plain data into memory: this can't fail. An empty one would be read as damaged.
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    let mut text = Vec::with_capacity(HEAD + bytes.len());
    text.push(VERSION);
    text.extend(sum(place, &bytes).to_le_bytes());
    text.extend(bytes);
    text
}

/// What a record holds, or what is wrong with it.
pub fn read<T: for<'a> Deserialize<'a>>(place: &str, text: &[u8]) -> Result<T, &'static str> {
    let Some((head, bytes)) = text.split_at_checked(HEAD) else { return Err("it is cut off") };
    if head[0] != VERSION {
        return Err("its form is of another version");
    }
    if head[1..] != sum(place, bytes).to_le_bytes() {
        return Err("its checksum does not fit");
    }
    postcard::from_bytes(bytes).map_err(|_| "it can't be read, though its checksum fits")
}

fn sum(place: &str, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[VERSION]);
    hasher.update(place.as_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
