//! Just enough HTTP for the stand-ins: messages with a length, read from a socket into memory.

use std::collections::HashMap;
use std::io;

use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, BufReader};

/// The longest line of a head, and the longest body that is read.
const MAX_LINE_BYTES: u64 = 64 * 1024;
const MAX_BODY_BYTES: usize = 1 << 20;

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    /// The headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response, 0 for anything else.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Waits for the first byte of a message; `false` if the connection ends instead.
pub async fn wait_for_byte(input: &mut BufReader<impl AsyncRead + Unpin>) -> bool {
    input.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty())
}

/// Reads a message.
///
/// # Errors
///
/// Fails if the connection ends or breaks first, or if the message makes no sense.
pub async fn read_message(input: &mut BufReader<impl AsyncRead + Unpin>) -> io::Result<Message> {
    let start_line = read_line(input).await?;
    let mut headers = HashMap::new();
    loop {
        let line = read_line(input).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").map_or(Ok(0), |text| text.parse::<usize>());
    let length = length.ok().filter(|&length| length <= MAX_BODY_BYTES).ok_or(io::ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    input.read_exact(&mut body).await?;
    Ok(Message { start_line, headers, body })
}

async fn read_line(input: &mut BufReader<impl AsyncRead + Unpin>) -> io::Result<String> {
    let mut line = Vec::new();
    input.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| io::ErrorKind::InvalidData.into())
}
