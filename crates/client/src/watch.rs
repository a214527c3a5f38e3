//! A watch on the registry that reconnects to another replica when one fails.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::opening::OpeningCalls;
use crate::{INITIAL_BACKOFF, MAX_BACKOFF};

/// How long a replica may send nothing before the watch leaves it. A replica sends at least an empty line every 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest line: a list of some ten thousand servers.
const MAX_LINE_BYTES: usize = 16 << 20;

/// A watch on the registry.
pub struct Watch {
    http: reqwest::Client,
    endpoints: Vec<SocketAddr>,
    /// The index of the endpoint that is watched.
    current: usize,
    /// The revision of the last line; `None` if the next line has to be the complete list.
    revision: Option<u64>,
    /// The response that is being read, with the bytes that were received and not yet returned as lines.
    open_response: Option<(reqwest::Response, BytesMut)>,
    opening: OpeningCalls,
    backoff: Duration,
}

impl Watch {
    pub(crate) fn new(
        http: reqwest::Client,
        endpoints: Vec<SocketAddr>,
        first: usize,
        from: Option<u64>,
    ) -> Watch {
        Watch {
            http,
            endpoints,
            current: first,
            revision: from,
            open_response: None,
            opening: OpeningCalls::default(),
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Closes the connection and continues at the next replica. If `refetches_list` is set, the complete list is
    /// requested from it, otherwise the changes after the last line.
    pub fn switch_replica(&mut self, refetches_list: bool) {
        self.open_response = None;
        self.select_next_endpoint();
        if refetches_list {
            self.revision = None;
            // They ask for changes only.
            self.opening = OpeningCalls::default();
        }
    }

    fn select_next_endpoint(&mut self) {
        self.current = (self.current + 1) % self.endpoints.len();
    }

    /// The address of the replica that is watched.
    pub fn endpoint(&self) -> SocketAddr {
        self.endpoints[self.current]
    }

    /// Waits for the next line, and retries until a replica sends it.
    pub async fn next_line(&mut self) -> Value {
        loop {
            match self.read_line().await {
                Ok(line) => {
                    let known = self.revision.unwrap_or(0);
                    let Some(revision) = line["revision"].as_u64().filter(|&revision| revision >= known)
                    else {
                        tracing::warn!(
                            at = %self.endpoint(), had = known,
                            "replica sent a line without a revision or of an older one; requesting the list of another"
                        );
                        self.switch_replica(true);
                        continue;
                    };
                    (self.revision, self.backoff) = (Some(revision), INITIAL_BACKOFF);
                    return line;
                }
                Err(reason) => {
                    tracing::debug!(at = %self.endpoint(), reason, "watch ended; continuing at another replica");
                    self.switch_replica(false);
                    sleep(self.backoff / 2 + self.backoff.mul_f64(fastrand::f64() / 2.0)).await;
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Reads one line that is not empty, and opens the watch first if it is not open.
    async fn read_line(&mut self) -> Result<Value, String> {
        let text = |error: reqwest::Error| error.to_string();
        let (mut response, mut buffer) = match self.open_response.take() {
            Some(open_response) => open_response,
            None => (self.open().await?, BytesMut::new()),
        };
        loop {
            if let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                let line = buffer.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let value = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
                self.open_response = Some((response, buffer));
                return Ok(value);
            }
            if buffer.len() > MAX_LINE_BYTES {
                return Err(format!("a line is longer than {MAX_LINE_BYTES} bytes"));
            }
            let chunk =
                timeout(SILENCE_TIMEOUT, response.chunk()).await.map_err(|_| "silent")?.map_err(text)?;
            buffer.extend_from_slice(&chunk.ok_or("the replica ended the response")?);
        }
    }

    /// Opens the watch at the first replica that answers. A call without an answer stays open beside the call to the next
    /// replica, because it may only be late. Returns an error when a call fails; the others stay open.
    async fn open(&mut self) -> Result<reqwest::Response, String> {
        loop {
            let query = self.revision.map_or(String::new(), |revision| format!("?index={revision}"));
            let request = self.http.get(format!("http://{}/v1/watch{query}", self.endpoint()));
            self.opening.start(self.current, request);
            match timeout(SILENCE_TIMEOUT, self.opening.next_ended()).await {
                Ok((endpoint, Ok(response))) => {
                    self.current = endpoint;
                    self.opening = OpeningCalls::default();
                    return Ok(response);
                }
                Ok((_, Err(reason))) => return Err(reason),
                Err(_) => self.select_next_endpoint(),
            }
        }
    }
}
