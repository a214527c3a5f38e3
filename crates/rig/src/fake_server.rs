//! A fake application server. It serves requests, counts on which revision each attempt was decided, refuses
//! attempts below the floor, and reports its observations to its agent.

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

/// How long the server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Time between two reports to the agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of requests after a drain that one observation lists by id.
const MAX_REQUESTS_AFTER_DRAIN: usize = 16;
/// Number of observations that wait for the agent; the oldest are dropped.
const MAX_PENDING_OBSERVATIONS: usize = 1_000;

/// A running fake server. It ends with the runtime.
#[derive(Clone)]
pub struct FakeServer {
    /// The server's id.
    pub id: String,
    /// The address on which it listens.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    agent: Option<SocketAddr>,
    floor: u64,
    /// The newest clock value that the agent has sent.
    agent_clock: u64,
    is_draining: bool,
    /// Observations since the last report, by node, incarnation and revision.
    observations: BTreeMap<(String, u64, u64), Observation>,
}

#[derive(Default)]
struct Observation {
    count: u64,
    refused: u64,
    requests_after_drain: Vec<String>,
}

#[derive(Clone)]
struct Shared {
    id: String,
    inner: Arc<Mutex<Inner>>,
    events: Events,
}

/// Parses the header `x-acted-on: NODE/INCARNATION/REVISION`.
pub fn parse_acted_on(headers: &HeaderMap) -> Option<(String, u64, u64)> {
    let mut fields = headers.get("x-acted-on")?.to_str().ok()?.rsplitn(3, '/');
    let (revision, incarnation, node) = (fields.next()?, fields.next()?, fields.next()?);
    Some((node.to_owned(), incarnation.parse().ok()?, revision.parse().ok()?))
}

impl FakeServer {
    /// Starts a server on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no socket.
    pub async fn start(id: &str, events: Events) -> anyhow::Result<FakeServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("open a server's socket")?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Mutex::new(Inner::default()));
        let shared = Shared { id: id.to_owned(), inner: inner.clone(), events };
        let reporting = shared.clone();
        tokio::spawn(async move { report_observations(reporting).await });
        tokio::spawn(async move {
            axum::serve(listener, Router::new().fallback(serve_request).with_state(shared)).await
        });
        Ok(FakeServer { id: id.to_owned(), addr, inner })
    }

    /// Sets the address of the agent. Until then the server reports nothing.
    pub fn set_agent(&self, agent: SocketAddr) {
        lock(&self.inner).agent = Some(agent);
    }

    /// Sets whether the server drains: it serves on, and reports the requests that still arrive.
    pub fn set_draining(&self, is_draining: bool) {
        lock(&self.inner).is_draining = is_draining;
    }

    /// The highest floor that the agent has sent.
    pub fn floor(&self) -> u64 {
        lock(&self.inner).floor
    }
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_request(State(shared): State<Shared>, headers: HeaderMap) -> Response {
    let request = headers.get("x-txn").and_then(|id| id.to_str().ok()).unwrap_or_default().to_owned();
    let Some((node, incarnation, revision)) = parse_acted_on(&headers) else {
        return (StatusCode::BAD_REQUEST, "no revision").into_response();
    };
    let is_served = {
        let mut inner = lock(&shared.inner);
        let (floor, is_draining) = (inner.floor, inner.is_draining);
        let observation = inner.observations.entry((node.clone(), incarnation, revision)).or_default();
        observation.count += 1;
        if is_draining && observation.requests_after_drain.len() < MAX_REQUESTS_AFTER_DRAIN {
            observation.requests_after_drain.push(request.clone());
        }
        let is_served = revision >= floor;
        observation.refused += u64::from(!is_served);
        shared.events.emit(
            "attempt",
            json!({"server": shared.id, "node": node, "incarnation": incarnation, "revision": revision,
                "floor": floor, "ran": is_served, "draining": is_draining, "request": request}),
        );
        is_served
    };
    if !is_served {
        // The header says that the attempt never ran, so the node may retry it on another server.
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-turned-away", "1")], "below the floor")
            .into_response();
    }
    sleep(SERVICE_TIME).await;
    request.into_response()
}

/// Reports the observations to the agent at regular intervals, and takes the clock and the floor from its responses.
async fn report_observations(shared: Shared) {
    let Ok(http) = reqwest::Client::builder().no_proxy().timeout(REPORT_TIMEOUT).build() else {
        return;
    };
    let mut pending: Vec<Value> = Vec::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        let (agent, agent_clock) = {
            let mut inner = lock(&shared.inner);
            for ((node, incarnation, revision), observation) in std::mem::take(&mut inner.observations) {
                pending.push(json!({"node": node, "incarnation": incarnation, "revision": revision,
                    "count": observation.count, "refused": observation.refused,
                    "drained": observation.requests_after_drain}));
            }
            (inner.agent, inner.agent_clock)
        };
        let Some(agent) = agent else { continue };
        // Observations that did not reach the agent are sent again with the next report, except for the oldest.
        let excess = pending.len().saturating_sub(MAX_PENDING_OBSERVATIONS);
        pending.drain(..excess);
        let report = json!({"server": shared.id, "heard": agent_clock, "attempts": pending});
        let Ok(response) = http.post(format!("http://{agent}/v1/seen")).json(&report).send().await else {
            continue;
        };
        if !response.status().is_success() {
            continue;
        }
        let Ok(body) = response.json::<Value>().await else { continue };
        pending.clear();
        let mut inner = lock(&shared.inner);
        inner.agent_clock = inner.agent_clock.max(body["clock"].as_u64().unwrap_or(0));
        let floor = body["floor"].as_u64().unwrap_or(0);
        if floor > inner.floor {
            inner.floor = floor;
            shared.events.emit("floor_told", json!({"server": shared.id, "floor": floor}));
        }
    }
}
