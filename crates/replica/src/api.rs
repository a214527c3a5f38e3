//! The HTTP API of a replica: commands, watches and queries, with JSON bodies. `docs/registry.md` lists the paths.

use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Path, Query, State as Shared};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use registry::{ListUpdate, Member, Outcome, Proposal, Role};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

use crate::config::Config;
use crate::raftloop::{LoopMessage, ProposalResult, StateView};
use crate::watches::{format_target, WatchKind, WatchRequest};

/// The largest body of a command.
const MAX_COMMAND_BYTES: usize = 4 << 20;
/// How many lines can wait for one watch.
const WATCH_QUEUE_LINES: usize = 256;
/// How long a command may take to be committed and applied before the response is that its outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How many entries of the audit's history a response has if the query does not say.
const DEFAULT_HISTORY_ENTRIES: usize = 1_000;
/// How many entries of the audit's history a response has at most.
const MAX_HISTORY_ENTRIES: usize = 10_000;

#[derive(Clone)]
struct Api {
    loop_tx: mpsc::Sender<LoopMessage>,
    config: Config,
}

/// Serves the API until the listener fails.
pub async fn serve(
    listener: TcpListener,
    loop_tx: mpsc::Sender<LoopMessage>,
    config: Config,
) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/api/targets", get(get_targets))
        .route("/v1/watch", get(watch_as_agent))
        .route("/v1/commands", post(post_command))
        .route("/v1/status", get(get_status))
        .route("/v1/members", get(list_members))
        .route("/v1/audit", get(get_audit))
        .route("/v1/audit/revisions", get(list_revisions))
        .route("/v1/audit/revisions/{revision}", get(get_revision))
        .route("/v1/audit/at/{clock}", get(list_revisions_in_use))
        .route("/v1/audit/after-drain/{server}", get(list_requests_after_drain))
        .route("/v1/audit/history", get(get_history))
        .layer(DefaultBodyLimit::max(MAX_COMMAND_BYTES))
        .with_state(Api { loop_tx, config });
    axum::serve(listener, routes).await
}

/// A response with an error message and further fields.
fn error_response(status: StatusCode, error: &str, fields: Value) -> Response {
    let mut body = json!({"error": error});
    if let (Some(body), Value::Object(fields)) = (body.as_object_mut(), fields) {
        body.extend(fields);
    }
    (status, Json(body)).into_response()
}

impl Api {
    /// Runs a function on the state, in the event loop, and returns its result.
    async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&StateView<'_>) -> T + Send + 'static,
    ) -> Result<T, Response> {
        let (result_tx, result_rx) = oneshot::channel();
        let query = Box::new(move |view: &StateView<'_>| drop(result_tx.send(query(view))));
        let stopped =
            |_| error_response(StatusCode::SERVICE_UNAVAILABLE, "the replica is shutting down", json!({}));
        self.loop_tx.send(LoopMessage::Query(query)).await.map_err(|_| stopped(()))?;
        result_rx.await.map_err(|_| stopped(()))
    }

    /// Responds with the result of a query; `None` is a 404.
    async fn respond(
        &self,
        query: impl FnOnce(&StateView<'_>) -> Option<Value> + Send + 'static,
    ) -> Response {
        match self.query(query).await {
            Ok(Some(value)) => Json(value).into_response(),
            Ok(None) => {
                let error = "not found: this replica does not know it, or no longer keeps it";
                error_response(StatusCode::NOT_FOUND, error, json!({}))
            }
            Err(response) => response,
        }
    }

    /// Opens a watch; the response is its stream of lines.
    async fn open_watch(&self, kind: WatchKind, query: WatchQuery) -> Response {
        let (lines_tx, lines_rx) = mpsc::channel(WATCH_QUEUE_LINES);
        let (opened_tx, opened_rx) = oneshot::channel();
        let pool = query.pool.unwrap_or_else(|| self.config.state.targets_pool.clone());
        let request = WatchRequest {
            kind,
            pool,
            known_revision: query.index.unwrap_or(0),
            needs_complete_list: query.index.is_none(),
            directives_version: 0,
            requested_at: Instant::now(),
            lines: lines_tx,
            opened: opened_tx,
        };
        if self.loop_tx.send(LoopMessage::OpenWatch(request)).await.is_err() {
            return error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the replica is shutting down",
                json!({}),
            );
        }
        match opened_rx.await {
            Ok(Ok(())) => {
                use tokio_stream::StreamExt;
                let lines = ReceiverStream::new(lines_rx).map(Ok::<_, std::convert::Infallible>);
                Body::from_stream(lines).into_response()
            }
            Ok(Err(reason)) => error_response(StatusCode::CONFLICT, reason, json!({})),
            Err(_) => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "the replica is shutting down", json!({}))
            }
        }
    }
}

/// The query of a list or a watch.
#[derive(Deserialize)]
struct WatchQuery {
    /// The revision that the watcher has; without it the watch begins with the complete list.
    index: Option<u64>,
    /// 1 if `/api/targets` is to be a watch.
    stream: Option<u8>,
    /// The pool whose servers are listed; without it the configured pool.
    pool: Option<String>,
}

/// The server list in the format of the discovery protocol: as it is now, or as a watch.
async fn get_targets(Shared(api): Shared<Api>, Query(query): Query<WatchQuery>) -> Response {
    if query.stream == Some(1) {
        return api.open_watch(WatchKind::Targets, query).await;
    }
    let pool = query.pool.unwrap_or_else(|| api.config.state.targets_pool.clone());
    api.respond(move |view| {
        let ListUpdate::Full(members) = view.state.updates_since(0, Role::Server, &pool) else { return None };
        let members: Vec<Value> = members.iter().map(|member| format_target(member, false)).collect();
        Some(json!({"revision": view.state.revision(), "complete": true, "members": members}))
    })
    .await
}

/// The server list as an agent watches it, with log time and the audit's directives.
async fn watch_as_agent(Shared(api): Shared<Api>, Query(query): Query<WatchQuery>) -> Response {
    api.open_watch(WatchKind::Agent, query).await
}

/// Proposes a command and responds with its outcome.
async fn post_command(Shared(api): Shared<Api>, body: axum::body::Bytes) -> Response {
    let proposal: Proposal = match serde_json::from_slice(&body) {
        Ok(proposal) => proposal,
        Err(error) => {
            return error_response(StatusCode::BAD_REQUEST, &format!("invalid command: {error}"), json!({}))
        }
    };
    let is_internal = matches!(proposal.command, registry::Command::Tick { .. } | registry::Command::Noop);
    if is_internal {
        return error_response(
            StatusCode::BAD_REQUEST,
            "invalid command: only the leader may propose it",
            json!({}),
        );
    }
    let (reply, result_rx) = oneshot::channel();
    if api.loop_tx.send(LoopMessage::Propose { proposal, reply }).await.is_err() {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the replica is shutting down", json!({}));
    }
    let result = match tokio::time::timeout(COMMIT_TIMEOUT, result_rx).await {
        Ok(Ok(result)) => result,
        _ => ProposalResult::Unknown,
    };
    match result {
        ProposalResult::Outcome(outcome) => {
            let status = match outcome {
                Outcome::Done { .. } => StatusCode::OK,
                Outcome::Conflict { .. } => StatusCode::CONFLICT,
                Outcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            (status, Json(outcome)).into_response()
        }
        ProposalResult::NotLeader(leader) => {
            let leader_api = leader
                .and_then(|id| api.config.peers.iter().find(|peer| peer.id == id))
                .map(|peer| peer.api_addr);
            let fields = json!({"leader": leader, "api": leader_api});
            error_response(
                StatusCode::MISDIRECTED_REQUEST,
                "this replica is not the leader; the command was not applied",
                fields,
            )
        }
        ProposalResult::Unknown => {
            let error = "no majority committed the command in time, or the leader changed: \
                the command may have been applied; retry it under the same request id";
            error_response(StatusCode::GATEWAY_TIMEOUT, error, json!({}))
        }
        ProposalResult::Overloaded => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many commands are pending; the command was not applied",
            json!({}),
        ),
    }
}

/// The role of this replica, and how far its state has come.
async fn get_status(Shared(api): Shared<Api>) -> Response {
    api.respond(|view| {
        Some(json!({
            "id": view.id, "leader": view.leader, "leads": view.is_leader, "term": view.term,
            "applied": view.state.applied_index(), "revision": view.state.revision(), "clock": view.state.now(),
            "guarded": view.state.guarded_pools(),
        }))
    })
    .await
}

/// The query of the members.
#[derive(Deserialize)]
struct MembersQuery {
    /// The member to list; without it all are listed.
    id: Option<String>,
}

/// All members, or the one that is asked for, with the revision at which each was last changed.
async fn list_members(Shared(api): Shared<Api>, Query(query): Query<MembersQuery>) -> Response {
    api.respond(move |view| {
        let is_asked_for = |member: &Member| query.id.as_ref().is_none_or(|id| member.id == *id);
        let members = view.state.members().filter(|(member, _)| is_asked_for(member));
        let entries = members.map(|(member, revision)| json!({"revision": revision, "member": member}));
        Some(Value::Array(entries.collect()))
    })
    .await
}

/// The audit's floor, and its verdict on each node.
async fn get_audit(Shared(api): Shared<Api>) -> Response {
    api.respond(|view| {
        let audit = view.state.audit();
        Some(json!({
            "clock": audit.now(), "revision": view.state.revision(), "floor": audit.floor(),
            "halted": audit.halted_revision(), "shared": audit.shared_causes(), "nodes": audit.nodes(),
        }))
    })
    .await
}

/// How fast each revision that the audit keeps reached the nodes.
async fn list_revisions(Shared(api): Shared<Api>) -> Response {
    api.respond(|view| {
        let (kept, forgotten) = view.state.audit().list_kept_revisions();
        let propagation = kept.iter().filter_map(|&revision| view.state.audit().propagation(revision));
        Some(json!({"forgotten": forgotten, "revisions": propagation.collect::<Vec<_>>()}))
    })
    .await
}

/// How fast a revision reached the nodes, and which nodes acted on it.
async fn get_revision(Shared(api): Shared<Api>, Path(revision): Path<u64>) -> Response {
    api.respond(move |view| {
        let (propagation, activity) =
            (view.state.audit().propagation(revision)?, view.state.audit().list_activity(revision)?);
        Some(json!({"spread": propagation, "acted": activity}))
    })
    .await
}

/// The revision that each node acted on at a log time.
async fn list_revisions_in_use(Shared(api): Shared<Api>, Path(clock): Path<u64>) -> Response {
    api.respond(move |view| {
        Some(json!({"clock": clock.min(view.state.now()), "in_use": view.state.audit().list_revisions_in_use(clock)}))
    })
    .await
}

/// The requests that reached a server while it was draining.
async fn list_requests_after_drain(Shared(api): Shared<Api>, Path(server): Path<String>) -> Response {
    api.respond(move |view| {
        let (requests, unlisted_count) = view.state.audit().list_requests_after_drain(&server);
        Some(json!({"server": server, "requests": requests, "more_of_all_servers": unlisted_count}))
    })
    .await
}

/// The query of the audit's history.
#[derive(Deserialize)]
struct HistoryQuery {
    /// The number of the first entry.
    from: Option<u64>,
    /// How many entries the response may have.
    #[serde(rename = "most")]
    limit: Option<usize>,
}

/// The entries of the audit's history from a number on.
async fn get_history(Shared(api): Shared<Api>, Query(query): Query<HistoryQuery>) -> Response {
    api.respond(move |view| {
        let history = view.state.audit().history();
        let limit = query.limit.unwrap_or(DEFAULT_HISTORY_ENTRIES).min(MAX_HISTORY_ENTRIES);
        let entries = history.entries_from(query.from.unwrap_or(0)).take(limit);
        let (number, hash) = history.last_dropped();
        Some(json!({"dropped": {"number": number, "hash": hash}, "lines": entries.collect::<Vec<_>>()}))
    })
    .await
}
