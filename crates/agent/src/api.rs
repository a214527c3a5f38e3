//! The agent's HTTP API for the node and the servers of this machine.

use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::StreamExt;

use crate::reports::{NodeReport, ServerReport};
use crate::service::{LoopMessage, WATCH_QUEUE_LINES};

/// The largest body of a report.
const MAX_REPORT_BYTES: usize = 1 << 20;

type LoopSender = mpsc::Sender<LoopMessage>;

/// Serves the API until the listener fails.
pub async fn serve(listener: TcpListener, loop_tx: LoopSender) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/api/targets", get(get_targets))
        .route("/v1/acted", post(post_node_report))
        .route("/v1/seen", post(post_server_report))
        .route("/v1/directives", get(get_directives))
        .layer(DefaultBodyLimit::max(MAX_REPORT_BYTES))
        .with_state(loop_tx);
    axum::serve(listener, routes).await
}

/// The query of `/api/targets`.
#[derive(Deserialize)]
struct TargetsQuery {
    /// 1 for a watch; otherwise the response is the list as it is now.
    stream: Option<u8>,
    /// The revision that the node has. The watch begins with what changed after it.
    index: Option<u64>,
}

fn unavailable(reason: &str) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"error": reason}))).into_response()
}

/// Sends a message to the event loop and waits for the reply.
async fn call_loop<T>(
    loop_tx: &LoopSender,
    message: impl FnOnce(oneshot::Sender<T>) -> LoopMessage,
) -> Result<T, Response> {
    let (reply_tx, reply_rx) = oneshot::channel();
    let stopped = || unavailable("the agent is shutting down");
    loop_tx.send(message(reply_tx)).await.map_err(|_| stopped())?;
    reply_rx.await.map_err(|_| stopped())
}

async fn get_targets(State(loop_tx): State<LoopSender>, Query(query): Query<TargetsQuery>) -> Response {
    if query.stream != Some(1) {
        return match call_loop(&loop_tx, LoopMessage::GetList).await {
            Ok(Some(list)) => Json(list).into_response(),
            Ok(None) => unavailable("the agent has no list yet"),
            Err(response) => response,
        };
    }
    let (lines_tx, lines_rx) = mpsc::channel(WATCH_QUEUE_LINES);
    let index = query.index.unwrap_or(0);
    match call_loop(&loop_tx, |opened| LoopMessage::OpenWatch { index, lines: lines_tx, opened }).await {
        Ok(true) => {
            let lines = ReceiverStream::new(lines_rx).map(Ok::<_, std::convert::Infallible>);
            Body::from_stream(lines).into_response()
        }
        Ok(false) => unavailable("too many watches are open"),
        Err(response) => response,
    }
}

fn into_response(reply: Result<Value, Response>) -> Response {
    reply.map_or_else(|response| response, |value| Json(value).into_response())
}

async fn post_node_report(State(loop_tx): State<LoopSender>, Json(report): Json<NodeReport>) -> Response {
    into_response(call_loop(&loop_tx, |reply| LoopMessage::NodeReport(report, reply)).await)
}

async fn post_server_report(State(loop_tx): State<LoopSender>, Json(report): Json<ServerReport>) -> Response {
    into_response(call_loop(&loop_tx, |reply| LoopMessage::ServerReport(report, reply)).await)
}

async fn get_directives(State(loop_tx): State<LoopSender>) -> Response {
    into_response(call_loop(&loop_tx, LoopMessage::GetDirectives).await)
}
