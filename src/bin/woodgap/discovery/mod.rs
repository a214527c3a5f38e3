//! Discovery: the list of servers and the watch on its changes.
//!
//! Guarantee: after a watch falls silent, breaks or is reset, the node has the agent's list within
//! [`watch_loop::SILENCE_TIMEOUT`] plus the time that the first answered try to open a new watch takes. The interval
//! between tries is bounded by the drain time of the settings, however many of them get no answer. A list that discovery has
//! written whole is acted on when it arrives, on a try that is late or on a watch that was silent as well.

mod list_parser;
mod watch_loop;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use woodgap::list::ServerList;

use crate::guards::AbortOnDrop;
use list_parser::{Item, ListParser};
pub use watch_loop::EndpointKind;
use watch_loop::WatchStream;

/// Why a watch could not be opened or has ended.
type WatchError = Box<dyn std::error::Error>;

/// Watches the list from a revision on for as long as the future is polled, and passes each list to `on_list`.
/// `drain_time` is the time within which sends to a draining server have to stop.
pub async fn watch(
    addr: SocketAddr,
    revision: u64,
    drain_time: Duration,
    kind: EndpointKind,
    on_list: impl FnMut(ServerList),
) {
    let open = |revision| open_watch(addr, revision);
    watch_loop::keep_watch_open(&addr, open, revision, drain_time, kind, on_list).await;
}

/// A watch over HTTP: the body of a response that does not end.
struct HttpWatch {
    body: Incoming,
    parser: ListParser,
    _connection: AbortOnDrop,
}

/// Opens a watch on the changes after a revision; revision 0 asks for the complete list.
async fn open_watch(addr: SocketAddr, revision: u64) -> Result<HttpWatch, WatchError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("discovery responded with {}", response.status()).into());
    }
    Ok(HttpWatch { body: response.into_body(), parser: ListParser::default(), _connection: connection })
}

impl WatchStream for HttpWatch {
    async fn next(&mut self) -> Result<Option<ServerList>, WatchError> {
        loop {
            match self.parser.next()? {
                Some(Item::KeepAlive) => return Ok(None),
                Some(Item::List(value)) => {
                    return Ok(Some(
                        ServerList::parse_without_findings(&value)
                            .ok_or("an object that is not a list of servers")?,
                    ));
                }
                None => {}
            }
            let frame = self.body.frame().await.ok_or("discovery closed the watch")?;
            if let Ok(chunk) = frame?.into_data() {
                self.parser.push(&chunk);
            }
        }
    }
}
