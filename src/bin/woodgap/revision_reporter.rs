//! Reports which revision of the server list the node's decisions were based on: to the servers in a header of each
//! attempt, and to the node's agent twice a second. Off unless the configuration says `"audit": true`.
//!
//! Log lines of this module have the target `woodgap::witness`, which operators filter by.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HeaderValue;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::guards::AbortOnDrop;

/// The header of each attempt that names the revision behind the decision, as `node/incarnation/revision`.
pub const ACTED_ON_HEADER: &str = "x-acted-on";
/// How long the node waits before each report to the agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time that a report may take, with the agent's response.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest body of an agent's response.
const MAX_AGENT_RESPONSE_BYTES: usize = 64 * 1024;
/// The most revisions whose decisions are counted between two reports. Beyond it the counts of the lowest
/// revisions are dropped.
const MAX_REPORTED_REVISIONS: usize = 64;

/// The revisions that the node's decisions are based on, and the agent's last responses to the reports.
pub struct RevisionReporter {
    node: String,
    /// Identifies this start of the node; greater with each start.
    incarnation: u64,
    /// The revision that decisions are based on.
    revision: Cell<u64>,
    /// Decisions that are not reported yet, by revision.
    unreported_decisions: RefCell<BTreeMap<u64, u64>>,
    /// Attempts that have not ended, by revision.
    running_attempts: RefCell<BTreeMap<u64, u64>>,
    /// The latest time of the registry's replicated log that the agent has sent.
    agent_clock: Cell<u64>,
    /// The agent's last response said that the node's admission is `out`.
    is_excluded: Cell<bool>,
    /// A fault for tests: the revision that is reported instead of the one acted on.
    false_revision: Cell<Option<u64>>,
}

/// Counts an attempt as running under the revision that its decision was based on, until dropped.
pub struct AttemptGuard {
    reporter: Rc<RevisionReporter>,
    revision: u64,
}

impl RevisionReporter {
    /// Creates the reporter of the node with this name.
    pub fn new(node: &str) -> Rc<Self> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(RevisionReporter {
            node: node.to_owned(),
            incarnation: start.as_micros() as u64,
            revision: Cell::new(0),
            unreported_decisions: RefCell::default(),
            running_attempts: RefCell::default(),
            agent_clock: Cell::new(0),
            is_excluded: Cell::new(false),
            false_revision: Cell::new(None),
        })
    }

    /// Sets the revision that decisions are based on from now on.
    pub fn set_revision(&self, revision: u64) {
        self.revision.set(revision);
    }

    /// Injects a fault: reports this revision instead of the one that the node acts on.
    #[cfg(feature = "faults")]
    pub fn set_false_revision(&self, revision: u64) {
        self.false_revision.set(Some(revision));
    }

    /// Whether the audit has set the node's admission to `out`.
    pub fn is_excluded(&self) -> bool {
        self.is_excluded.get()
    }

    /// Counts a decision to send an attempt. Returns a guard to hold until the attempt ends, and the value of
    /// [`ACTED_ON_HEADER`] for its server.
    pub fn begin_attempt(self: &Rc<Self>) -> (AttemptGuard, Option<HeaderValue>) {
        let revision = self.revision.get();
        let mut decisions = self.unreported_decisions.borrow_mut();
        *decisions.entry(revision).or_default() += 1;
        if decisions.len() > MAX_REPORTED_REVISIONS {
            decisions.pop_first();
        }
        *self.running_attempts.borrow_mut().entry(revision).or_default() += 1;
        let text = format!("{}/{}/{revision}", self.node, self.incarnation);
        (AttemptGuard { reporter: self.clone(), revision }, HeaderValue::from_str(&text).ok())
    }

    /// Reports to the agent for the life of the process. `agent_addr` is the agent's present address.
    pub async fn run(self: Rc<Self>, agent_addr: Rc<Cell<SocketAddr>>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let decisions = self.unreported_decisions.take();
            match timeout(REPORT_TIMEOUT, post_report(agent_addr.get(), &self.build_report(&decisions))).await
            {
                Ok(Ok(response)) => {
                    let clock = response["clock"].as_u64().unwrap_or(0);
                    self.agent_clock.set(clock.max(self.agent_clock.get()));
                    let is_out = response["admission"] == "out";
                    if self.is_excluded.replace(is_out) != is_out {
                        tracing::warn!(
                            target: "woodgap::witness",
                            out = is_out,
                            "the audit took the node out of service or put it back"
                        );
                    }
                }
                // The decisions go into the next report, and the admission stays as it was.
                failed => {
                    let mut unreported = self.unreported_decisions.borrow_mut();
                    decisions
                        .into_iter()
                        .for_each(|(revision, count)| *unreported.entry(revision).or_default() += count);
                    while unreported.len() > MAX_REPORTED_REVISIONS {
                        unreported.pop_first();
                    }
                    tracing::debug!(target: "woodgap::witness", ?failed, "report to the agent failed");
                }
            }
        }
    }

    /// The report as JSON, with these decisions by revision.
    fn build_report(&self, decisions: &BTreeMap<u64, u64>) -> Value {
        let revision = self.false_revision.get().unwrap_or(self.revision.get());
        let oldest = self.running_attempts.borrow().keys().next().copied().unwrap_or(revision);
        json!({
            "node": self.node, "incarnation": self.incarnation, "program": env!("CARGO_PKG_VERSION"),
            "standing": revision, "oldest": oldest.min(revision), "heard": self.agent_clock.get(),
            "decided": decisions.iter().collect::<Vec<_>>(),
        })
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut running = self.reporter.running_attempts.borrow_mut();
        if let Some(count) = running.get_mut(&self.revision) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.revision);
            }
        }
    }
}

/// Posts a report to the agent and returns its response.
async fn post_report(agent: SocketAddr, report: &Value) -> Result<Value, String> {
    let text = |error: &dyn std::error::Error| error.to_string();
    let stream = TcpStream::connect(agent).await.map_err(|error| text(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
    let _connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::post("/v1/acted")
        .header("host", agent.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(report.to_string())))
        .map_err(|error| text(&error))?;
    let response = sender.send_request(request).await.map_err(|error| text(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_AGENT_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    match status.is_success() {
        true => serde_json::from_slice(&body.to_bytes()).map_err(|error| text(&error)),
        false => Err(format!("the agent responded with {status}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn report_has_the_revisions_of_decisions_and_running_attempts() {
        let reporter = RevisionReporter::new("n3");
        reporter.set_revision(41);
        let (old, header) = reporter.begin_attempt();
        let text = header.unwrap().to_str().unwrap().to_owned();
        assert!(text.starts_with("n3/") && text.ends_with("/41"), "{text}");
        reporter.set_revision(43);
        let (new, _) = reporter.begin_attempt();
        let report = reporter.build_report(&reporter.unreported_decisions.take());
        assert_eq!((&report["standing"], &report["oldest"]), (&json!(43), &json!(41)));
        assert_eq!(report["decided"], json!([[41, 1], [43, 1]]));
        drop(old);
        assert_eq!(reporter.build_report(&BTreeMap::new())["oldest"], 43);
        drop(new);
        assert_eq!(reporter.build_report(&BTreeMap::new())["oldest"], 43);
    }

    #[test]
    fn counted_revisions_are_bounded() {
        let reporter = RevisionReporter::new("n3");
        for revision in 0..1_000 {
            reporter.set_revision(revision);
            drop(reporter.begin_attempt());
        }
        assert_eq!(reporter.unreported_decisions.borrow().len(), MAX_REPORTED_REVISIONS);
        assert!(reporter.running_attempts.borrow().is_empty());
    }
}
