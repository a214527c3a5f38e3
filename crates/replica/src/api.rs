//! The HTTP API: commands, watches, questions. JSON in and out; `docs/registry.md` has the table.

use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State as Shared};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use registry::{ListUpdate, Outcome, Proposal, Role};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use crate::config::Config;
use crate::raftloop::{Answer, Msg, View};
use crate::watches::{target, Feed, Kind};

/// The longest body of a command.
const LONGEST: usize = 4 << 20;
/// Lines that wait for one watch.
const LINES: usize = 256;
/// The longest that a command waits for its majority before the answer is that nobody can tell.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone)]
struct Api {
    tx: mpsc::Sender<Msg>,
    config: Config,
}

pub async fn serve(listener: TcpListener, tx: mpsc::Sender<Msg>, config: Config) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/api/targets", get(targets))
        .route("/v1/watch", get(watch))
        .route("/v1/commands", post(command))
        .route("/v1/status", get(status))
        .route("/v1/members", get(members))
        .route("/v1/audit", get(audit))
        .route("/v1/audit/revisions", get(revisions))
        .route("/v1/audit/revisions/{revision}", get(revision))
        .route("/v1/audit/at/{clock}", get(in_use))
        .route("/v1/audit/after-drain/{server}", get(after_drain))
        .route("/v1/audit/history", get(history))
        .layer(DefaultBodyLimit::max(LONGEST))
        .with_state(Api { tx, config });
    axum::serve(listener, routes).await
}

fn fault(status: StatusCode, error: &str, more: Value) -> Response {
    let mut body = json!({"error": error});
    if let (Some(body), Value::Object(more)) = (body.as_object_mut(), more) {
        body.extend(more);
    }
    (status, Json(body)).into_response()
}

impl Api {
    /// Looks at the state.
    async fn ask<T: Send + 'static>(
        &self,
        look: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T, Response> {
        let (tx, rx) = oneshot::channel();
        let look = Box::new(move |view: &View<'_>| drop(tx.send(look(view))));
        let gone = |_| fault(StatusCode::SERVICE_UNAVAILABLE, "the replica is ending", json!({}));
        self.tx.send(Msg::Ask(look)).await.map_err(|_| gone(()))?;
        rx.await.map_err(|_| gone(()))
    }

    async fn answer(&self, look: impl FnOnce(&View<'_>) -> Option<Value> + Send + 'static) -> Response {
        match self.ask(look).await {
            Ok(Some(value)) => Json(value).into_response(),
            Ok(None) => fault(StatusCode::NOT_FOUND, "not known here, or no longer", json!({})),
            Err(response) => response,
        }
    }

    async fn open(&self, kind: Kind, asked: Watch) -> Response {
        let (tx, rx) = mpsc::channel(LINES);
        let (opened, word) = oneshot::channel();
        let pool = asked.pool.unwrap_or_else(|| self.config.state.targets_pool.clone());
        let feed = Feed {
            kind,
            pool,
            sent: asked.index.unwrap_or(0),
            whole: asked.index.is_none(),
            directives: 0,
            last: Instant::now(),
            tx,
            opened,
        };
        if self.tx.send(Msg::Watch(feed)).await.is_err() {
            return fault(StatusCode::SERVICE_UNAVAILABLE, "the replica is ending", json!({}));
        }
        match word.await {
            Ok(Ok(())) => {
                use tokio_stream::StreamExt;
                let lines = ReceiverStream::new(rx).map(Ok::<_, std::convert::Infallible>);
                Body::from_stream(lines).into_response()
            }
            Ok(Err(why)) => fault(StatusCode::CONFLICT, why, json!({})),
            Err(_) => fault(StatusCode::SERVICE_UNAVAILABLE, "the replica is ending", json!({})),
        }
    }
}

#[derive(Deserialize)]
struct Watch {
    index: Option<u64>,
    stream: Option<u8>,
    pool: Option<String>,
}

/// The list in the protocol's form: whole, or as a watch.
async fn targets(Shared(api): Shared<Api>, Query(asked): Query<Watch>) -> Response {
    if asked.stream == Some(1) {
        return api.open(Kind::Targets, asked).await;
    }
    let pool = asked.pool.unwrap_or_else(|| api.config.state.targets_pool.clone());
    api.answer(move |view| {
        let ListUpdate::Full(members) = view.state.updates_since(0, Role::Server, &pool) else { return None };
        let members: Vec<Value> = members.iter().map(|member| target(member, false)).collect();
        Some(json!({"revision": view.state.revision(), "complete": true, "members": members}))
    })
    .await
}

async fn watch(Shared(api): Shared<Api>, Query(asked): Query<Watch>) -> Response {
    api.open(Kind::Agent, asked).await
}

async fn command(Shared(api): Shared<Api>, body: axum::body::Bytes) -> Response {
    let proposal: Proposal = match serde_json::from_slice(&body) {
        Ok(proposal) => proposal,
        Err(error) => return fault(StatusCode::BAD_REQUEST, &format!("the command: {error}"), json!({})),
    };
    let ours = matches!(proposal.command, registry::Command::Tick { .. } | registry::Command::Noop);
    if ours {
        return fault(StatusCode::BAD_REQUEST, "the command: only a leader writes this one", json!({}));
    }
    let (reply, answer) = oneshot::channel();
    if api.tx.send(Msg::Propose { proposal, reply }).await.is_err() {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the replica is ending", json!({}));
    }
    let answer = match tokio::time::timeout(PATIENCE, answer).await {
        Ok(Ok(answer)) => answer,
        _ => Answer::Unknown,
    };
    match answer {
        Answer::Outcome(outcome) => {
            let status = match outcome {
                Outcome::Done { .. } => StatusCode::OK,
                Outcome::Conflict { .. } => StatusCode::CONFLICT,
                Outcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, Json(outcome)).into_response()
        }
        Answer::NotLeader(leader) => {
            let at =
                leader.and_then(|id| api.config.peers.iter().find(|peer| peer.id == id)).map(|peer| peer.api);
            let more = json!({"leader": leader, "api": at});
            fault(StatusCode::MISDIRECTED_REQUEST, "this replica does not lead: nothing happened", more)
        }
        Answer::Unknown => {
            let said = "no majority in time: it may have happened; ask again with the same request id";
            fault(StatusCode::GATEWAY_TIMEOUT, said, json!({}))
        }
        Answer::Full => {
            fault(StatusCode::SERVICE_UNAVAILABLE, "too many commands wait: nothing happened", json!({}))
        }
    }
}

async fn status(Shared(api): Shared<Api>) -> Response {
    api.answer(|view| {
        Some(json!({
            "id": view.id, "leader": view.leader, "leads": view.leads, "term": view.term,
            "applied": view.state.applied_index(), "revision": view.state.revision(), "clock": view.state.now(),
            "guarded": view.state.guarded_pools(),
        }))
    })
    .await
}

async fn members(Shared(api): Shared<Api>) -> Response {
    api.answer(|view| {
        let members =
            view.state.members().map(|(member, revision)| json!({"revision": revision, "member": member}));
        Some(Value::Array(members.collect()))
    })
    .await
}

async fn audit(Shared(api): Shared<Api>) -> Response {
    api.answer(|view| {
        let audit = view.state.audit();
        Some(json!({
            "clock": audit.now(), "revision": view.state.revision(), "floor": audit.floor(),
            "halted": audit.halted_revision(), "shared": audit.shared_causes(), "nodes": audit.nodes(),
        }))
    })
    .await
}

async fn revisions(Shared(api): Shared<Api>) -> Response {
    api.answer(|view| {
        let (kept, forgotten) = view.state.audit().list_kept_revisions();
        let spread = kept.iter().filter_map(|&revision| view.state.audit().propagation(revision));
        Some(json!({"forgotten": forgotten, "revisions": spread.collect::<Vec<_>>()}))
    })
    .await
}

async fn revision(Shared(api): Shared<Api>, Path(revision): Path<u64>) -> Response {
    api.answer(move |view| {
        let (spread, acted) =
            (view.state.audit().propagation(revision)?, view.state.audit().list_activity(revision)?);
        Some(json!({"spread": spread, "acted": acted}))
    })
    .await
}

async fn in_use(Shared(api): Shared<Api>, Path(clock): Path<u64>) -> Response {
    api.answer(move |view| {
        Some(json!({"clock": clock.min(view.state.now()), "in_use": view.state.audit().list_revisions_in_use(clock)}))
    })
    .await
}

async fn after_drain(Shared(api): Shared<Api>, Path(server): Path<String>) -> Response {
    api.answer(move |view| {
        let (requests, more) = view.state.audit().list_requests_after_drain(&server);
        Some(json!({"server": server, "requests": requests, "more_of_all_servers": more}))
    })
    .await
}

#[derive(Deserialize)]
struct From {
    from: Option<u64>,
    most: Option<usize>,
}

async fn history(Shared(api): Shared<Api>, Query(asked): Query<From>) -> Response {
    api.answer(move |view| {
        let history = view.state.audit().history();
        let lines =
            history.entries_from(asked.from.unwrap_or(0)).take(asked.most.unwrap_or(1_000).min(10_000));
        let (number, hash) = history.last_dropped();
        Some(json!({"dropped": {"number": number, "hash": hash}, "lines": lines.collect::<Vec<_>>()}))
    })
    .await
}
