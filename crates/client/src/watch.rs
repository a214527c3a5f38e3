//! A watch that goes on at another replica.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::{FIRST_PAUSE, LONGEST_PAUSE};

/// A replica says something at least every 2 s.
const SILENCE: Duration = Duration::from_millis(2_500);
/// The longest line: a list of some ten thousand servers.
const LONGEST: usize = 16 << 20;

/// A watch on the registry.
pub struct Watch {
    http: reqwest::Client,
    endpoints: Vec<SocketAddr>,
    at: usize,
    /// What it has; `None` where the whole list is due.
    revision: Option<u64>,
    open: Option<(reqwest::Response, BytesMut)>,
    pause: Duration,
}

impl Watch {
    pub(crate) fn new(
        http: reqwest::Client,
        endpoints: Vec<SocketAddr>,
        at: usize,
        from: Option<u64>,
    ) -> Watch {
        Watch { http, endpoints, at, revision: from, open: None, pause: FIRST_PAUSE }
    }

    /// Drops what is open and goes on at another replica; `whole` asks it for the whole list.
    pub fn move_on(&mut self, whole: bool) {
        (self.open, self.at) = (None, (self.at + 1) % self.endpoints.len());
        if whole {
            self.revision = None;
        }
    }

    /// The replica that is watched.
    pub fn endpoint(&self) -> SocketAddr {
        self.endpoints[self.at]
    }

    /// The next line. It waits for as long as no replica has one.
    pub async fn next(&mut self) -> Value {
        loop {
            match self.line().await {
                Ok(line) => {
                    let had = self.revision.unwrap_or(0);
                    let Some(revision) = line["revision"].as_u64().filter(|&revision| revision >= had) else {
                        tracing::warn!(at = %self.endpoint(), had, "a line that goes back: passed by");
                        self.move_on(true);
                        continue;
                    };
                    (self.revision, self.pause) = (Some(revision), FIRST_PAUSE);
                    return line;
                }
                Err(reason) => {
                    tracing::debug!(at = %self.endpoint(), reason, "watch ended");
                    self.move_on(false);
                    sleep(self.pause / 2 + self.pause.mul_f64(fastrand::f64() / 2.0)).await;
                    self.pause = (self.pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    async fn line(&mut self) -> Result<Value, String> {
        let text = |error: reqwest::Error| error.to_string();
        let (mut response, mut buffer) = match self.open.take() {
            Some(open) => open,
            None => {
                let from = self.revision.map_or(String::new(), |revision| format!("?index={revision}"));
                let url = format!("http://{}/v1/watch{from}", self.endpoint());
                let answer = timeout(SILENCE, self.http.get(url).send()).await.map_err(|_| "no answer")?;
                let answer = answer.map_err(text)?;
                if !answer.status().is_success() {
                    return Err(format!("{}", answer.status()));
                }
                (answer, BytesMut::new())
            }
        };
        loop {
            if let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                let line = buffer.split_to(end + 1);
                if line.trim_ascii().is_empty() {
                    continue;
                }
                let value = serde_json::from_slice(&line).map_err(|error| error.to_string())?;
                self.open = Some((response, buffer));
                return Ok(value);
            }
            if buffer.len() > LONGEST {
                return Err(format!("a line of more than {LONGEST} bytes"));
            }
            let chunk = timeout(SILENCE, response.chunk()).await.map_err(|_| "silent")?.map_err(text)?;
            buffer.extend_from_slice(&chunk.ok_or("it ended")?);
        }
    }
}
