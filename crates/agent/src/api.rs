//! What the node and the servers of this machine ask.

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

use crate::reports::{Acted, Seen};
use crate::service::{Msg, LINES};

/// The longest word of a node or a server.
const LONGEST: usize = 1 << 20;

type Tx = mpsc::Sender<Msg>;

pub async fn serve(listener: TcpListener, tx: Tx) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/api/targets", get(targets))
        .route("/v1/acted", post(acted))
        .route("/v1/seen", post(seen))
        .route("/v1/directives", get(directives))
        .layer(DefaultBodyLimit::max(LONGEST))
        .with_state(tx);
    axum::serve(listener, routes).await
}

#[derive(Deserialize)]
struct Watch {
    stream: Option<u8>,
    index: Option<u64>,
}

fn unavailable(why: &str) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, Json(json!({"error": why}))).into_response()
}

async fn ask<T>(tx: &Tx, msg: impl FnOnce(oneshot::Sender<T>) -> Msg) -> Result<T, Response> {
    let (reply, answer) = oneshot::channel();
    let gone = || unavailable("the agent is ending");
    tx.send(msg(reply)).await.map_err(|_| gone())?;
    answer.await.map_err(|_| gone())
}

async fn targets(State(tx): State<Tx>, Query(asked): Query<Watch>) -> Response {
    if asked.stream != Some(1) {
        return match ask(&tx, Msg::Whole).await {
            Ok(Some(list)) => Json(list).into_response(),
            Ok(None) => unavailable("no list yet"),
            Err(response) => response,
        };
    }
    let (lines, rx) = mpsc::channel(LINES);
    let index = asked.index.unwrap_or(0);
    match ask(&tx, |opened| Msg::Watch { index, tx: lines, opened }).await {
        Ok(true) => {
            let lines = ReceiverStream::new(rx).map(Ok::<_, std::convert::Infallible>);
            Body::from_stream(lines).into_response()
        }
        Ok(false) => unavailable("too many watches"),
        Err(response) => response,
    }
}

async fn answer(said: Result<Value, Response>) -> Response {
    said.map_or_else(|response| response, |value| Json(value).into_response())
}

async fn acted(State(tx): State<Tx>, Json(said): Json<Acted>) -> Response {
    answer(ask(&tx, |reply| Msg::Acted(said, reply)).await).await
}

async fn seen(State(tx): State<Tx>, Json(said): Json<Seen>) -> Response {
    answer(ask(&tx, |reply| Msg::Seen(said, reply)).await).await
}

async fn directives(State(tx): State<Tx>) -> Response {
    answer(ask(&tx, Msg::Directives).await).await
}
