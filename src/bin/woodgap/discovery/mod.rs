//! Discovery: the list of servers and the watch on its changes.
//!
//! The guarantee: what discovery's agent has when a watch falls silent, breaks or is reset is known to the
//! node within [`keep::SILENCE`] and the time of the first try that the agent answers; tries begin at a pace
//! that the settings' time for drains bounds, however many of them are swallowed.

mod keep;
mod lists;

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
pub use keep::Answerer;
use keep::Feed;
use lists::{Item, Lists};

/// Why a watch did not come up, or ended.
type Fault = Box<dyn std::error::Error>;

/// Watches from a revision on, for as long as it is polled, and hands on what comes. `grace` is the time in
/// which sends to a draining server have to cease.
pub async fn watch(
    addr: SocketAddr,
    revision: u64,
    grace: Duration,
    answerer: Answerer,
    tell: impl FnMut(ServerList),
) {
    keep::keep(&addr, |revision| open(addr, revision), revision, grace, answerer, tell).await;
}

/// An open watch.
struct Watch {
    body: Incoming,
    lists: Lists,
    _connection: AbortOnDrop,
}

async fn open(addr: SocketAddr, revision: u64) -> Result<Watch, Fault> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop::spawn(async move { drop(connection.await) });
    let request = Request::get(format!("/api/targets?stream=1&index={revision}"))
        .header("host", addr.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(format!("watch answered {}", response.status()).into());
    }
    Ok(Watch { body: response.into_body(), lists: Lists::default(), _connection: connection })
}

impl Feed for Watch {
    async fn next(&mut self) -> Result<Option<ServerList>, Fault> {
        loop {
            match self.lists.next()? {
                Some(Item::Beat) => return Ok(None),
                Some(Item::List(value)) => {
                    return Ok(Some(
                        ServerList::parse_without_findings(&value).ok_or("an object that is no list")?,
                    ));
                }
                None => {}
            }
            let frame = self.body.frame().await.ok_or("watch ended")?;
            if let Ok(chunk) = frame?.into_data() {
                self.lists.push(&chunk);
            }
        }
    }
}
