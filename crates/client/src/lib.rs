//! Asks the registry, whichever of its replicas answers.
//!
//! The guarantees:
//!
//! 1. A command is sent again only under the request id that it was first sent with, so that it is applied once
//!    however often it had to be asked ([`Client::propose`]).
//! 2. Retries back off with jitter, and there is a budget of them: a registry in trouble is not asked by everybody
//!    for ever.
//! 3. A watch never goes back: what it resumes from is what it has, and a replica that has not come that far is
//!    passed by ([`Watch`]).

mod budget;
mod watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use registry::{Command, Outcome, Proposal};
use reqwest::StatusCode;
use serde_json::Value;
use tokio::time::{sleep, Instant};

use budget::Budget;
pub use watch::Watch;

/// One call to one replica.
const CALL: Duration = Duration::from_secs(2);
/// Pauses between tries: doubled from the first to the longest, each drawn from half of it to all.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No replica answered in time. A command may have happened: ask again under the same request id.
    #[error("no answer of {endpoints} replicas within {within:?}; the last one said: {last}")]
    Unavailable {
        /// How many were asked.
        endpoints: usize,
        /// For how long.
        within: Duration,
        /// What the last one said.
        last: String,
    },
    /// The retries that the budget allows are used up.
    #[error("too many retries lately; the last replica said: {0}")]
    Exhausted(String),
    /// The registry can't read what it was asked.
    #[error("the registry refused what it was asked: {0}")]
    Refused(String),
}

/// A way to the registry.
pub struct Client {
    http: reqwest::Client,
    endpoints: Vec<SocketAddr>,
    /// The endpoint that answered last.
    good: AtomicUsize,
    budget: Mutex<Budget>,
}

impl Client {
    /// A client of these replicas' APIs.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] where there is no endpoint or the system gives no sockets.
    pub fn new(endpoints: Vec<SocketAddr>) -> Result<Client, Error> {
        if endpoints.is_empty() {
            return Err(Error::Refused("no endpoint is named".to_owned()));
        }
        let http = reqwest::Client::builder().no_proxy().connect_timeout(CALL).tcp_nodelay(true).build();
        let http = http.map_err(|error| Error::Refused(error.to_string()))?;
        // Clients begin apart, so that one replica does not get all of them.
        let good = AtomicUsize::new(fastrand::usize(0..endpoints.len()));
        Ok(Client { http, endpoints, good, budget: Mutex::new(Budget::default()) })
    }

    /// A name for a request that no other one has.
    pub fn request_id() -> String {
        format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
    }

    /// Has a command applied once, and tells what came of it.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] and [`Error::Exhausted`]: it may have happened. [`Error::Refused`]: it has not.
    pub async fn propose(&self, request: &str, command: Command, within: Duration) -> Result<Outcome, Error> {
        let proposal = Proposal { request: request.to_owned(), command };
        let until = Instant::now() + within;
        let mut at = self.good.load(Ordering::Relaxed);
        let (mut pause, mut hops) = (FIRST_PAUSE, 0);
        let mut last;
        loop {
            let url = format!("http://{}/v1/commands", self.endpoints[at]);
            let call = self.http.post(url).json(&proposal).timeout(CALL.min(until - Instant::now())).send();
            match call.await {
                Ok(answer) => {
                    let status = answer.status();
                    let body: Value = answer.json().await.unwrap_or_default();
                    match status {
                        StatusCode::OK | StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                            self.good.store(at, Ordering::Relaxed);
                            let read = serde_json::from_value(body.clone());
                            return read
                                .map_err(|_| Error::Refused(format!("an answer of another form: {body}")));
                        }
                        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                            return Err(Error::Refused(body["error"].to_string()));
                        }
                        StatusCode::MISDIRECTED_REQUEST => {
                            last = body["error"].to_string();
                            let leader = body["api"].as_str().and_then(|at| at.parse().ok());
                            let known = leader
                                .and_then(|leader| self.endpoints.iter().position(|&end| end == leader));
                            // Straight on to the leader, but not round in circles while there is none.
                            if let Some(known) = known.filter(|_| hops < 3) {
                                (at, hops) = (known, hops + 1);
                                continue;
                            }
                        }
                        _ => last = format!("{status}: {}", body["error"]),
                    }
                }
                Err(error) => last = error.to_string(),
            }
            (at, hops) = ((at + 1) % self.endpoints.len(), 0);
            let wait = pause / 2 + pause.mul_f64(fastrand::f64() / 2.0);
            if Instant::now() + wait >= until {
                return Err(Error::Unavailable { endpoints: self.endpoints.len(), within, last });
            }
            if !self.budget.lock().is_ok_and(|mut budget| budget.take()) {
                return Err(Error::Exhausted(last));
            }
            sleep(wait).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// What a path of the API answers, from the first replica that does.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`], and [`Error::Refused`] where the path names what is not there.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let first = self.good.load(Ordering::Relaxed);
        let mut last = String::new();
        for n in 0..self.endpoints.len() {
            let at = (first + n) % self.endpoints.len();
            match self.http.get(format!("http://{}{path}", self.endpoints[at])).timeout(CALL).send().await {
                Ok(answer) if answer.status().is_success() => match answer.json().await {
                    Ok(value) => return Ok(value),
                    Err(error) => last = error.to_string(),
                },
                Ok(answer) if answer.status() == StatusCode::NOT_FOUND => {
                    let body: Value = answer.json().await.unwrap_or_default();
                    return Err(Error::Refused(format!("{path}: {}", body["error"])));
                }
                Ok(answer) => last = answer.status().to_string(),
                Err(error) => last = error.to_string(),
            }
        }
        Err(Error::Unavailable { endpoints: self.endpoints.len(), within: CALL, last })
    }

    /// A watch of the agents' kind from a revision on; from `None` it begins with the whole list.
    pub fn watch(&self, from: Option<u64>) -> Watch {
        let start = fastrand::usize(0..self.endpoints.len());
        Watch::new(self.http.clone(), self.endpoints.clone(), start, from)
    }
}
