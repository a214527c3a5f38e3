//! The format of a stored record: a version byte, a checksum over the record's key and content, and the content.

use serde::{Deserialize, Serialize};

/// The version of the record format.
const RECORD_VERSION: u8 = 1;
/// The length of the version byte and the checksum.
const HEADER_BYTES: usize = 5;

/// Encodes a record. The checksum covers the record's key, so that a record stored under another key is detected.
pub fn encode(key: &str, value: &impl Serialize) -> Vec<u8> {
    // Encoding plain data into memory can't fail; a record with empty content would be read as damaged.
    let content = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.push(RECORD_VERSION);
    bytes.extend(checksum(key, &content).to_le_bytes());
    bytes.extend(content);
    bytes
}

/// Decodes a record that is stored under `key`.
///
/// # Errors
///
/// What is wrong with the record.
pub fn decode<T: for<'a> Deserialize<'a>>(key: &str, bytes: &[u8]) -> Result<T, &'static str> {
    let Some((header, content)) = bytes.split_at_checked(HEADER_BYTES) else { return Err("it is cut off") };
    if header[0] != RECORD_VERSION {
        return Err("its form is of another version");
    }
    if header[1..] != checksum(key, content).to_le_bytes() {
        return Err("its checksum does not fit");
    }
    postcard::from_bytes(content).map_err(|_| "it can't be read, though its checksum fits")
}

fn checksum(key: &str, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[RECORD_VERSION]);
    hasher.update(key.as_bytes());
    hasher.update(content);
    hasher.finalize()
}
