//! A client of the registry that works with whichever of its replicas responds.
//!
//! Guarantees:
//!
//! 1. A command is retried only under the request id that it was first sent with, so that it is applied once however
//!    often it is sent ([`Client::propose`]).
//! 2. Retries back off with jitter and draw on a budget, so that the clients don't overload a failing registry.
//! 3. A watch never goes back to an older revision: it resumes after the revision that it has, and skips a replica
//!    that lags behind that revision ([`Watch`]).

mod opening;
mod retry_budget;
mod watch;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use registry::{Command, Outcome, Proposal};
use reqwest::StatusCode;
use serde_json::Value;
use tokio::time::{sleep, Instant};

use retry_budget::RetryBudget;
pub use watch::Watch;

/// The longest time that one request to one replica may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before the first retry. It doubles with each retry, up to [`MAX_BACKOFF`]; the actual pause is drawn
/// from the upper half of it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(30);
/// The longest pause between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// How many redirects to the leader are followed without a pause. Replicas can redirect to each other in a circle
/// while there is no leader.
const MAX_LEADER_REDIRECTS: u32 = 3;

/// Why a request failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No replica responded in time. A command may have been applied all the same: retry it under the same request
    /// id.
    #[error("none of {endpoints} replicas responded within {timeout:?}; the last error: {last_error}")]
    Unavailable {
        /// How many replicas the client knows.
        endpoints: usize,
        /// For how long the request was tried.
        timeout: Duration,
        /// The error of the last replica that was tried.
        last_error: String,
    },
    /// The retry budget is used up.
    #[error("the retry budget is used up; the last error: {0}")]
    RetryBudgetExhausted(String),
    /// The request can't be carried out and is not retried: the registry rejected it or does not have what it asks
    /// for, the response can't be read, or the client could not be set up.
    #[error("the request was rejected: {0}")]
    Rejected(String),
}

/// A client of the registry's replicas.
pub struct Client {
    http: reqwest::Client,
    endpoints: Vec<SocketAddr>,
    /// The index of the endpoint that last responded to a command; requests begin with it.
    preferred_endpoint: AtomicUsize,
    retry_budget: Mutex<RetryBudget>,
}

impl Client {
    /// Creates a client of the replicas whose APIs have these addresses.
    ///
    /// # Errors
    ///
    /// [`Error::Rejected`] if there is no endpoint or the HTTP client can't be set up.
    pub fn new(endpoints: Vec<SocketAddr>) -> Result<Client, Error> {
        if endpoints.is_empty() {
            return Err(Error::Rejected("no endpoint is configured".to_owned()));
        }
        let http =
            reqwest::Client::builder().no_proxy().connect_timeout(REQUEST_TIMEOUT).tcp_nodelay(true).build();
        let http = http.map_err(|error| Error::Rejected(error.to_string()))?;
        // Each client begins at a random replica, so that the load is spread over all of them.
        let preferred_endpoint = AtomicUsize::new(fastrand::usize(0..endpoints.len()));
        Ok(Client { http, endpoints, preferred_endpoint, retry_budget: Mutex::new(RetryBudget::default()) })
    }

    /// Generates a random id for a request, which no other request has.
    pub fn generate_request_id() -> String {
        format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
    }

    /// Sends a command until a replica has had it applied, and returns its outcome. With a request id it is applied
    /// at most once.
    ///
    /// # Errors
    ///
    /// After [`Error::Unavailable`] and [`Error::RetryBudgetExhausted`] the command may have been applied; after
    /// [`Error::Rejected`] it was not.
    pub async fn propose(
        &self,
        request_id: &str,
        command: Command,
        timeout: Duration,
    ) -> Result<Outcome, Error> {
        let proposal = Proposal { request: request_id.to_owned(), command };
        let deadline = Instant::now() + timeout;
        let mut endpoint = self.preferred_endpoint.load(Ordering::Relaxed);
        let (mut backoff, mut redirects) = (INITIAL_BACKOFF, 0);
        let mut last_error;
        loop {
            let url = format!("http://{}/v1/commands", self.endpoints[endpoint]);
            let request_timeout = REQUEST_TIMEOUT.min(deadline - Instant::now());
            match self.http.post(url).json(&proposal).timeout(request_timeout).send().await {
                Ok(response) => {
                    let status = response.status();
                    let body: Value = response.json().await.unwrap_or_default();
                    match status {
                        StatusCode::OK | StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => {
                            self.preferred_endpoint.store(endpoint, Ordering::Relaxed);
                            let outcome = serde_json::from_value(body.clone());
                            return outcome
                                .map_err(|_| Error::Rejected(format!("unexpected response body: {body}")));
                        }
                        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                            return Err(Error::Rejected(body["error"].to_string()));
                        }
                        StatusCode::MISDIRECTED_REQUEST => {
                            last_error = body["error"].to_string();
                            let leader = body["api"].as_str().and_then(|addr| addr.parse().ok());
                            let leader_endpoint = leader
                                .and_then(|leader| self.endpoints.iter().position(|&addr| addr == leader));
                            // Continues at the leader without a pause.
                            if let Some(leader_endpoint) =
                                leader_endpoint.filter(|_| redirects < MAX_LEADER_REDIRECTS)
                            {
                                (endpoint, redirects) = (leader_endpoint, redirects + 1);
                                continue;
                            }
                        }
                        _ => last_error = format!("{status}: {}", body["error"]),
                    }
                }
                Err(error) => last_error = error.to_string(),
            }
            (endpoint, redirects) = ((endpoint + 1) % self.endpoints.len(), 0);
            let pause = backoff / 2 + backoff.mul_f64(fastrand::f64() / 2.0);
            if Instant::now() + pause >= deadline {
                return Err(Error::Unavailable { endpoints: self.endpoints.len(), timeout, last_error });
            }
            if !self.retry_budget.lock().is_ok_and(|mut budget| budget.try_take()) {
                return Err(Error::RetryBudgetExhausted(last_error));
            }
            sleep(pause).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Gets a path of the API from the first replica that responds. Each replica is tried once.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] if no replica responds, and [`Error::Rejected`] if there is nothing at the path.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let first = self.preferred_endpoint.load(Ordering::Relaxed);
        let mut last_error = String::new();
        for offset in 0..self.endpoints.len() {
            let endpoint = self.endpoints[(first + offset) % self.endpoints.len()];
            match self.http.get(format!("http://{endpoint}{path}")).timeout(REQUEST_TIMEOUT).send().await {
                Ok(response) if response.status().is_success() => match response.json().await {
                    Ok(value) => return Ok(value),
                    Err(error) => last_error = error.to_string(),
                },
                Ok(response) if response.status() == StatusCode::NOT_FOUND => {
                    let body: Value = response.json().await.unwrap_or_default();
                    return Err(Error::Rejected(format!("{path}: {}", body["error"])));
                }
                Ok(response) => last_error = response.status().to_string(),
                Err(error) => last_error = error.to_string(),
            }
        }
        Err(Error::Unavailable { endpoints: self.endpoints.len(), timeout: REQUEST_TIMEOUT, last_error })
    }

    /// Watches the servers as agents do, beginning after the revision `from`; with `None` the first line is the
    /// complete list.
    pub fn watch(&self, from: Option<u64>) -> Watch {
        let first = fastrand::usize(0..self.endpoints.len());
        Watch::new(self.http.clone(), self.endpoints.clone(), first, from)
    }
}
