//! A stand-in for an app server. It runs requests, or does to them what its plan says, and records each attempt.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncWriteExt, BufReader, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use super::plan::ServerFaults;
use super::record::{AttemptRecord, Recorder};
use super::wire::{read_message, wait_for_byte, Message};

/// A server closes a connection that is idle for this long.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// The longest body of a response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long a response without end goes on.
const ENDLESS_TIME: Duration = Duration::from_secs(3);
const BACKLOG: u32 = 1_024;

/// What servers share: the keys of requests that ran, by which repeats are dropped, and their chance.
pub struct ServerGroup {
    /// The record of the run.
    pub recorder: Rc<Recorder>,
    /// How often a server does what.
    pub faults: ServerFaults,
    /// The longest work on a request.
    pub max_work_ms: u64,
    /// How long repeats of a key are dropped, in microseconds.
    pub key_ttl_us: u64,
    /// The run's random numbers for servers.
    pub rng: RefCell<ChaCha8Rng>,
    /// When the request with a key ran.
    pub keys: RefCell<HashMap<String, u64>>,
}

/// A running server process. Dropping it resets its connections, as the end of a process does.
pub struct Server {
    /// The id that discovery gives.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it drains: it turns new requests away.
    pub is_draining: Rc<Cell<bool>>,
    acceptor: AbortHandle,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
}

/// What a server does with a request.
#[derive(Clone, Copy, PartialEq)]
enum Deed {
    Serve { body_bytes: usize },
    TurnAway,
    Fail,
    Reset,
    Endless,
    Hang,
}

impl Server {
    /// Starts a server, on the address of another one if that has ended.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be taken.
    pub fn start(id: String, addr: SocketAddr, group: Rc<ServerGroup>) -> anyhow::Result<Server> {
        let socket = TcpSocket::new_v4().context("open a server's socket")?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr).with_context(|| format!("bind a server to {addr}"))?;
        let listener = socket.listen(BACKLOG)?;
        let addr = listener.local_addr()?;
        let (connections, is_draining) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(false)));
        let shared = Shared { id: id.clone(), group, is_draining: is_draining.clone() };
        let acceptor = spawn_local(accept(listener, shared, connections.clone())).abort_handle();
        Ok(Server { id, addr, is_draining, acceptor, connections })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.acceptor.abort();
        self.connections.borrow().iter().for_each(AbortHandle::abort);
    }
}

#[derive(Clone)]
struct Shared {
    id: String,
    group: Rc<ServerGroup>,
    is_draining: Rc<Cell<bool>>,
}

async fn accept(listener: TcpListener, shared: Shared, connections: Rc<RefCell<Vec<AbortHandle>>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        connections.push(spawn_local(shared.clone().serve(stream)).abort_handle());
    }
}

impl Shared {
    /// Serves a connection until it ends, is idle for too long, or a deed ends it.
    async fn serve(self, stream: TcpStream) {
        // The end of a process resets its connections.
        let _ = stream.set_zero_linger();
        // These halves, unlike the owned ones of a TCP stream, don't shut it down in order when they are dropped.
        let (input, mut output) = tokio::io::split(stream);
        let mut input = BufReader::new(input);
        while let Ok(true) = timeout(KEEPALIVE, wait_for_byte(&mut input)).await {
            let began_us = self.group.recorder.now_us();
            let Ok(request) = read_message(&mut input).await else { return };
            if request.start_line.contains("/-/") {
                let status = if self.is_draining.get() { "503 Draining" } else { "200 OK" };
                let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                if output.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let deed = self.choose_deed();
            let ran = deed != Deed::TurnAway && self.run_once(request.header("idempotency-key"));
            self.record_attempt(&request, began_us, ran);
            if !self.respond(deed, request.header("x-txn"), &mut output).await {
                return;
            }
        }
    }

    fn choose_deed(&self) -> Deed {
        let faults = &self.group.faults;
        let mut rng = self.group.rng.borrow_mut();
        if self.is_draining.get() {
            return Deed::TurnAway;
        }
        let serve = Deed::Serve { body_bytes: rng.random_range(40..400) };
        let long = Deed::Serve { body_bytes: rng.random_range(MAX_BODY_BYTES / 2..=MAX_BODY_BYTES) };
        let mut drawn: f64 = rng.random();
        for (share, deed) in [
            (faults.turned_away, Deed::TurnAway),
            (faults.failed, Deed::Fail),
            (faults.reset, Deed::Reset),
            (faults.endless, Deed::Endless),
            (faults.hung, Deed::Hang),
            (faults.long, long),
        ] {
            drawn -= share;
            if drawn < 0.0 {
                return deed;
            }
        }
        serve
    }

    /// Runs the effect of a request, unless a server of the group has run one with its key lately.
    fn run_once(&self, key: &str) -> bool {
        if key.is_empty() {
            return true;
        }
        let now_us = self.group.recorder.now_us();
        let mut keys = self.group.keys.borrow_mut();
        let is_known = keys.get(key).is_some_and(|&ran_us| now_us < ran_us + self.group.key_ttl_us);
        if !is_known {
            keys.insert(key.to_owned(), now_us);
        }
        !is_known
    }

    fn record_attempt(&self, request: &Message, began_us: u64, ran: bool) {
        let told_ms: u64 = request.header("x-remaining-ms").parse().unwrap_or(u64::MAX / 1_000);
        self.group.recorder.add_attempt(AttemptRecord {
            id: request.header("x-txn").to_owned(),
            server: self.id.clone(),
            began_us,
            complete_us: self.group.recorder.now_us(),
            told_us: told_ms * 1_000,
            ran,
        });
    }

    /// Does a deed. Returns whether the connection goes on.
    async fn respond(&self, deed: Deed, id: &str, output: &mut WriteHalf<TcpStream>) -> bool {
        let work_ms = self.group.rng.borrow_mut().random_range(1..=self.group.max_work_ms);
        let is_late = self.group.rng.borrow_mut().random::<f64>() < self.group.faults.late;
        sleep(Duration::from_millis(if is_late { work_ms * 20 } else { work_ms })).await;
        let head = |status: &str, length: usize| {
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n").into_bytes()
        };
        match deed {
            Deed::Serve { body_bytes } => {
                let mut response = head("200 OK", body_bytes.max(id.len() + 1));
                response.extend(body_of(id, body_bytes));
                output.write_all(&response).await.is_ok()
            }
            Deed::TurnAway => {
                let response = b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
                output.write_all(response).await.is_ok()
            }
            Deed::Fail => output.write_all(&head("500 Failed", 0)).await.is_ok(),
            Deed::Reset => false,
            Deed::Endless => {
                let _ = timeout(ENDLESS_TIME, write_endless(output)).await;
                false
            }
            Deed::Hang => {
                sleep(KEEPALIVE).await;
                false
            }
        }
    }
}

async fn write_endless(output: &mut WriteHalf<TcpStream>) {
    let _ = output.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
    while output.write_all(&[b'e'; 4_096]).await.is_ok() {
        sleep(Duration::from_millis(2)).await;
    }
}

/// The body that a server makes for a request.
pub fn body_of(id: &str, body_bytes: usize) -> Vec<u8> {
    let mut body = format!("{id} ").into_bytes();
    body.resize(body_bytes.max(body.len()), b'x');
    body
}
