//! A stand-in for an app server: it serves, counts on which revision attempts were decided, refuses those below the
//! floor, and says to its agent what it saw.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Context;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Router;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::events::Events;

/// How long a request takes, and how often the agent is told.
const WORK: Duration = Duration::from_millis(2);
const EACH: Duration = Duration::from_millis(200);
/// Requests of one sight that are named.
const NAMED: usize = 16;

/// A running stand-in; it ends with the runtime.
#[derive(Clone)]
pub struct FakeServer {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    agent: Option<SocketAddr>,
    floor: u64,
    heard: u64,
    draining: bool,
    sights: BTreeMap<(String, u64, u64), Sight>,
}

#[derive(Default)]
struct Sight {
    count: u64,
    refused: u64,
    drained: Vec<String>,
}

#[derive(Clone)]
struct Shared {
    id: String,
    inner: Arc<Mutex<Inner>>,
    events: Events,
}

/// What a header of the form `node/process/revision` says.
pub fn acted_on(headers: &HeaderMap) -> Option<(String, u64, u64)> {
    let mut parts = headers.get("x-acted-on")?.to_str().ok()?.rsplitn(3, '/');
    let (revision, process, node) = (parts.next()?, parts.next()?, parts.next()?);
    Some((node.to_owned(), process.parse().ok()?, revision.parse().ok()?))
}

impl FakeServer {
    /// Starts one on a port of the system's choice.
    ///
    /// # Errors
    ///
    /// Where there is no socket.
    pub async fn start(id: &str, events: Events) -> anyhow::Result<FakeServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("a server's socket")?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let shared = Shared { id: id.to_owned(), inner: inner.clone(), events };
        let telling = shared.clone();
        tokio::spawn(async move { tell(telling).await });
        tokio::spawn(
            async move { axum::serve(listener, Router::new().fallback(serve).with_state(shared)).await },
        );
        Ok(FakeServer { id: id.to_owned(), addr, inner })
    }

    /// Its agent is here from now on.
    pub fn set_agent(&self, agent: SocketAddr) {
        lock(&self.inner).agent = Some(agent);
    }

    /// It drains from now on, or no longer.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.inner).draining = draining;
    }

    /// The floor that it was told.
    pub fn floor(&self) -> u64 {
        lock(&self.inner).floor
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let request = headers.get("x-txn").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let Some((node, incarnation, revision)) = acted_on(&headers) else {
        return (StatusCode::BAD_REQUEST, "no revision").into_response();
    };
    let runs = {
        let mut inner = lock(&shared.inner);
        let (floor, draining) = (inner.floor, inner.draining);
        let sight = inner.sights.entry((node.clone(), incarnation, revision)).or_default();
        sight.count += 1;
        if draining && sight.drained.len() < NAMED {
            sight.drained.push(request.clone());
        }
        let runs = revision >= floor;
        sight.refused += u64::from(!runs);
        shared.events.emit(
            "attempt",
            json!({"server": shared.id, "node": node, "incarnation": incarnation, "revision": revision,
                "floor": floor, "ran": runs, "draining": draining, "request": request}),
        );
        runs
    };
    if !runs {
        // It never ran: the node may send it elsewhere.
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-turned-away", "1")], "below the floor")
            .into_response();
    }
    sleep(WORK).await;
    request.into_response()
}

/// Tells the agent what was seen, and hears the floor.
async fn tell(shared: Shared) {
    let Ok(http) = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(1)).build() else {
        return;
    };
    let mut waiting: Vec<Value> = Vec::new();
    loop {
        sleep(EACH).await;
        let (agent, heard) = {
            let mut inner = lock(&shared.inner);
            for ((node, incarnation, revision), sight) in std::mem::take(&mut inner.sights) {
                waiting.push(json!({"node": node, "incarnation": incarnation, "revision": revision,
                    "count": sight.count, "refused": sight.refused, "drained": sight.drained}));
            }
            (inner.agent, inner.heard)
        };
        let Some(agent) = agent else { continue };
        // A word that did not arrive is said with the next one; what is too old to matter goes.
        let late = waiting.len().saturating_sub(1_000);
        waiting.drain(..late);
        let word = json!({"server": shared.id, "heard": heard, "attempts": waiting});
        let Ok(answer) = http.post(format!("http://{agent}/v1/seen")).json(&word).send().await else {
            continue;
        };
        if !answer.status().is_success() {
            continue;
        }
        let Ok(answer) = answer.json::<Value>().await else { continue };
        waiting.clear();
        let mut inner = lock(&shared.inner);
        inner.heard = inner.heard.max(answer["clock"].as_u64().unwrap_or(0));
        let floor = answer["floor"].as_u64().unwrap_or(0);
        if floor > inner.floor {
            inner.floor = floor;
            shared.events.emit("floor_told", json!({"server": shared.id, "floor": floor}));
        }
    }
}
