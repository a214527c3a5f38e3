//! Says on which version of the list decisions rested: to the servers in a header of each attempt, and to the
//! node's agent twice a second. Off unless the configuration says `"audit": true`.

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

/// The header of an attempt: the node's name, its process and the revision.
pub const HEADER: &str = "x-acted-on";
/// How often the agent is told, and how long a call to it may take.
const EACH: Duration = Duration::from_millis(500);
const CALL: Duration = Duration::from_secs(1);
/// The longest answer of an agent.
const LONGEST: usize = 64 * 1024;
/// Revisions whose decisions are counted between two words to the agent.
const REVISIONS: usize = 64;

/// What the node acts on.
pub struct Witness {
    node: String,
    /// Each start of the node has a greater one.
    incarnation: u64,
    standing: Cell<u64>,
    /// Decisions that the agent was not told of yet, and attempts that are out, by revision.
    decided: RefCell<BTreeMap<u64, u64>>,
    out: RefCell<BTreeMap<u64, u64>>,
    /// The log time that the agent told last.
    heard: Cell<u64>,
    shut_out: Cell<bool>,
    /// A fault that a test asked for: it says that it acts on this revision.
    claims: Cell<Option<u64>>,
}

/// An attempt that is out, until dropped.
pub struct Decision {
    witness: Rc<Witness>,
    revision: u64,
}

impl Witness {
    /// A witness of a node of this name.
    pub fn new(node: &str) -> Rc<Self> {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Rc::new(Witness {
            node: node.to_owned(),
            incarnation: start.as_micros() as u64,
            standing: Cell::new(0),
            decided: RefCell::default(),
            out: RefCell::default(),
            heard: Cell::new(0),
            shut_out: Cell::new(false),
            claims: Cell::new(None),
        })
    }

    /// From now on decisions rest on this revision.
    pub fn stands_on(&self, revision: u64) {
        self.standing.set(revision);
    }

    /// Says something else of itself than what it acts on: a fault for tests.
    #[cfg(feature = "faults")]
    pub fn claim(&self, revision: u64) {
        self.claims.set(Some(revision));
    }

    /// Whether the audit shut the node out.
    pub fn is_shut_out(&self) -> bool {
        self.shut_out.get()
    }

    /// A decision to send: what to keep until the attempt is over, and the header for its server.
    pub fn decide(self: &Rc<Self>) -> (Decision, Option<HeaderValue>) {
        let revision = self.standing.get();
        let mut decided = self.decided.borrow_mut();
        *decided.entry(revision).or_default() += 1;
        if decided.len() > REVISIONS {
            decided.pop_first();
        }
        *self.out.borrow_mut().entry(revision).or_default() += 1;
        let text = format!("{}/{}/{revision}", self.node, self.incarnation);
        (Decision { witness: self.clone(), revision }, HeaderValue::from_str(&text).ok())
    }

    /// Tells the agent, for as long as the node lives. `agent` says where it is by now.
    pub async fn tell(self: Rc<Self>, agent: Rc<Cell<SocketAddr>>) {
        loop {
            sleep(EACH).await;
            let decided = self.decided.take();
            match timeout(CALL, call(agent.get(), &self.word(&decided))).await {
                Ok(Ok(answer)) => {
                    self.heard.set(answer["clock"].as_u64().unwrap_or(0).max(self.heard.get()));
                    let out = answer["admission"] == "out";
                    if self.shut_out.replace(out) != out {
                        tracing::warn!(out, "the audit's verdict");
                    }
                }
                // It is told the next time; the verdict stands.
                failed => {
                    let mut now = self.decided.borrow_mut();
                    decided
                        .into_iter()
                        .for_each(|(revision, count)| *now.entry(revision).or_default() += count);
                    while now.len() > REVISIONS {
                        now.pop_first();
                    }
                    tracing::debug!(?failed, "the agent does not answer");
                }
            }
        }
    }

    fn word(&self, decided: &BTreeMap<u64, u64>) -> Value {
        let standing = self.claims.get().unwrap_or(self.standing.get());
        let oldest = self.out.borrow().keys().next().copied().unwrap_or(standing);
        json!({
            "node": self.node, "incarnation": self.incarnation, "program": env!("CARGO_PKG_VERSION"),
            "standing": standing, "oldest": oldest.min(standing), "heard": self.heard.get(),
            "decided": decided.iter().collect::<Vec<_>>(),
        })
    }
}

impl Drop for Decision {
    fn drop(&mut self) {
        let mut out = self.witness.out.borrow_mut();
        if let Some(count) = out.get_mut(&self.revision) {
            *count -= 1;
            if *count == 0 {
                out.remove(&self.revision);
            }
        }
    }
}

async fn call(agent: SocketAddr, word: &Value) -> Result<Value, String> {
    let text = |error: &dyn std::error::Error| error.to_string();
    let stream = TcpStream::connect(agent).await.map_err(|error| text(&error))?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
    let _connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::post("/v1/acted")
        .header("host", agent.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(word.to_string())))
        .map_err(|error| text(&error))?;
    let response = sender.send_request(request).await.map_err(|error| text(&error))?;
    let status = response.status();
    let body =
        Limited::new(response.into_body(), LONGEST).collect().await.map_err(|error| error.to_string())?;
    match status.is_success() {
        true => serde_json::from_slice(&body.to_bytes()).map_err(|error| text(&error)),
        false => Err(format!("the agent answered {status}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_says_what_decisions_and_open_attempts_rest_on() {
        let witness = Witness::new("n3");
        witness.stands_on(41);
        let (old, header) = witness.decide();
        let text = header.unwrap().to_str().unwrap().to_owned();
        assert!(text.starts_with("n3/") && text.ends_with("/41"), "{text}");
        witness.stands_on(43);
        let (new, _) = witness.decide();
        let word = witness.word(&witness.decided.take());
        assert_eq!((&word["standing"], &word["oldest"]), (&json!(43), &json!(41)));
        assert_eq!(word["decided"], json!([[41, 1], [43, 1]]));
        drop(old);
        assert_eq!(witness.word(&BTreeMap::new())["oldest"], 43);
        drop(new);
        assert_eq!(witness.word(&BTreeMap::new())["oldest"], 43);
    }

    #[test]
    fn what_is_counted_is_bounded() {
        let witness = Witness::new("n3");
        for revision in 0..1_000 {
            witness.stands_on(revision);
            drop(witness.decide());
        }
        assert_eq!(witness.decided.borrow().len(), REVISIONS);
        assert!(witness.out.borrow().is_empty());
    }
}
