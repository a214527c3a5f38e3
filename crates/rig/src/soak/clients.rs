//! Clients to whose requests the node owes an answer, and clients that leave.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::record::{Effect, Recorder, RequestEnd, RequestRecord};
use super::server::{body_of, MAX_BODY_BYTES};
use super::targets::{NodeState, Targets};
use super::wire::{read_message, wait_for_byte, Message};

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than its time a client waits for an answer, so that late ones are seen.
const EXTRA_WAIT: Duration = Duration::from_millis(1_500);
/// Pause of a client that found no node, and the longest that it takes of a `Retry-After`.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER_S: f64 = 1.0;
/// The longest pause between two requests of a client.
const MAX_THINK_MS: u64 = 80;
/// Part of the requests with a long body, and with one of some kilobytes.
const LONG_BODY_SHARE: f64 = 0.05;
const MIDDLE_BODY_SHARE: f64 = 0.2;
/// A slow client writes its request in this many pieces, with this pause between them.
const SLOW_PIECES: usize = 12;
const SLOW_PAUSE: Duration = Duration::from_millis(25);
/// The longest time for which a leaving client stays.
const MAX_STAY_MS: u64 = 120;
/// What a leaving client leaves unread now and then.
const UNREAD_BYTES: usize = 150_000;

/// A class of requests, as the settings name it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its effect.
    pub effect: Effect,
    /// Its deadline.
    pub deadline: Duration,
}

/// What all clients share.
pub struct ClientGroup {
    /// The record of the run.
    pub recorder: Rc<Recorder>,
    /// The nodes, and whether clients go on.
    pub targets: Arc<Targets>,
    /// The classes of the settings.
    pub classes: Vec<Class>,
}

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Sends a request at once and waits for the answer.
    Sound,
    /// Sends it in pieces.
    Slow,
    /// Closes its connection before the answer.
    Leaving,
}

/// A client.
pub struct Client {
    group: Rc<ClientGroup>,
    conduct: Conduct,
    name: String,
    rng: RefCell<ChaCha8Rng>,
    next_id: Cell<u64>,
}

struct Connection {
    input: BufReader<OwnedReadHalf>,
    output: OwnedWriteHalf,
    node: usize,
    requests: u32,
}

/// A request that is to be sent.
#[derive(Clone)]
struct NewRequest {
    id: String,
    class: Class,
    time_left: Duration,
    bytes: Vec<u8>,
}

impl Client {
    /// Creates a client.
    pub fn new(group: Rc<ClientGroup>, conduct: Conduct, number: usize) -> Client {
        let name = format!("{conduct:?}{number}").to_lowercase();
        let seed =
            group.targets.seed.wrapping_mul(1_000).wrapping_add(number as u64) ^ (conduct as u64) << 48;
        let rng = RefCell::new(ChaCha8Rng::seed_from_u64(seed));
        Client { group, conduct, name, rng, next_id: Cell::new(0) }
    }

    /// Sends requests until the group is stopped.
    pub async fn run(self) {
        let mut connection: Option<Connection> = None;
        while !self.group.targets.is_stopped() {
            let Some(mut open) = self.reuse_or_connect(connection.take()).await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let request = self.draw_request();
            if self.conduct == Conduct::Leaving {
                self.send_and_leave(open, request).await;
                continue;
            }
            let (end, response) = self.send(&mut open, &request).await;
            if end == RequestEnd::Closed && open.requests > 1 {
                // The close may have crossed the request, which is sent once more.
                connection = self.send_again(open.node, &request).await;
            } else if response.as_ref().is_some_and(|response| !response.closes()) {
                connection = Some(open);
            }
            self.pause(response.as_ref()).await;
        }
    }

    async fn pause(&self, response: Option<&Message>) {
        let think_ms = self.rng.borrow_mut().random_range(0..=MAX_THINK_MS);
        let retry_after_s: f64 = response.and_then(|r| r.header("retry-after").parse().ok()).unwrap_or(0.0);
        let retry_after = Duration::from_secs_f64(retry_after_s.clamp(0.0, MAX_RETRY_AFTER_S));
        sleep(retry_after + Duration::from_millis(think_ms)).await;
    }

    async fn reuse_or_connect(&self, connection: Option<Connection>) -> Option<Connection> {
        match connection {
            Some(connection) => Some(connection),
            None => {
                let node = self.group.targets.choose_node(&mut self.rng.borrow_mut())?;
                connect(node).await
            }
        }
    }

    /// Connects to the node to which a request was sent before, if it takes connections. Nodes share nothing, so that another
    /// one would not know the request.
    async fn connect_again(&self, node: usize) -> Option<Connection> {
        connect(self.group.targets.nodes.get(node).filter(|node| node.is_accepting())?).await
    }

    fn draw_request(&self) -> NewRequest {
        let mut rng = self.rng.borrow_mut();
        let number = self.next_id.replace(self.next_id.get() + 1);
        let id = format!("{}-{number}", self.name);
        let class = self.group.classes[rng.random_range(0..self.group.classes.len())];
        let time_left = class.deadline.mul_f64(rng.random_range(0.5..1.0));
        let drawn: f64 = rng.random();
        let body_bytes = match drawn {
            _ if class.effect == Effect::Safe => 0,
            drawn if drawn < LONG_BODY_SHARE => MAX_BODY_BYTES,
            drawn if drawn < MIDDLE_BODY_SHARE => rng.random_range(1_000..20_000),
            _ => rng.random_range(0..300),
        };
        let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
        let key = match class.effect {
            Effect::Keyed => format!("Idempotency-Key: {id}\r\n"),
            Effect::Safe | Effect::Unsafe => String::new(),
        };
        let length = match class.effect {
            Effect::Safe => String::new(),
            Effect::Unsafe | Effect::Keyed => format!("Content-Length: {body_bytes}\r\n"),
        };
        let head = format!(
            "{method} /api?key=k{} HTTP/1.1\r\nHost: soak\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Org: acme\r\n\
            X-Remaining-Ms: {}\r\n{key}{length}\r\n",
            rng.random_range(0..2_000),
            class.name,
            time_left.as_millis()
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body_bytes, b'b');
        NewRequest { id, class, time_left, bytes }
    }

    /// Sends a request, waits for its end and records it.
    async fn send(&self, connection: &mut Connection, request: &NewRequest) -> (RequestEnd, Option<Message>) {
        connection.requests += 1;
        let (mut end, mut response) = (RequestEnd::Closed, None);
        let write = match self.conduct {
            Conduct::Slow => write_slowly(&mut connection.output, &request.bytes).await,
            Conduct::Sound | Conduct::Leaving => connection.output.write_all(&request.bytes).await,
        };
        let written_us = self.group.recorder.now_us();
        match timeout(request.time_left + EXTRA_WAIT, read_message(&mut connection.input)).await {
            Ok(Ok(message)) => {
                let is_own_body = message.body == body_of(&request.id, message.body.len());
                end = RequestEnd::Answered { status: message.status(), is_own_body };
                response = Some(message);
            }
            Ok(Err(_)) => {}
            Err(_) => end = RequestEnd::Unanswered,
        }
        // A request that the node would not read to its end was not taken.
        if write.is_ok() || response.is_some() {
            self.record(request, connection, written_us, end);
        }
        (end, response)
    }

    fn record(&self, request: &NewRequest, connection: &Connection, written_us: u64, end: RequestEnd) {
        self.group.recorder.add_request(RequestRecord {
            id: request.id.clone(),
            effect: request.class.effect,
            node: connection.node,
            time_left_us: request.time_left.as_micros() as u64,
            written_us,
            is_first: connection.requests == 1,
            end,
            ended_us: self.group.recorder.now_us(),
        });
    }

    /// Sends a request once more under its id, to the same node on a new connection.
    async fn send_again(&self, node: usize, request: &NewRequest) -> Option<Connection> {
        let mut connection = self.connect_again(node).await?;
        let (_, response) = self.send(&mut connection, request).await;
        response.is_some_and(|response| !response.closes()).then_some(connection)
    }

    /// Sends a request and closes the connection before the answer, now and then with more bytes behind it. Every other time
    /// the request comes again under its id.
    async fn send_and_leave(&self, mut connection: Connection, request: NewRequest) {
        let (stay_ms, leaves_unread, comes_again) = {
            let mut rng = self.rng.borrow_mut();
            (rng.random_range(0..=MAX_STAY_MS), rng.random_bool(0.3), rng.random_bool(0.5))
        };
        connection.requests += 1;
        if connection.output.write_all(&request.bytes).await.is_err() {
            return;
        }
        let written_us = self.group.recorder.now_us();
        if leaves_unread {
            let flood = request.bytes.iter().copied().cycle().take(UNREAD_BYTES).collect::<Vec<_>>();
            let _ = timeout(Duration::from_millis(20), connection.output.write_all(&flood)).await;
        }
        let stay = Duration::from_millis(stay_ms);
        let is_answered = timeout(stay, wait_for_byte(&mut connection.input)).await.is_ok();
        if !is_answered {
            self.record(&request, &connection, written_us, RequestEnd::Left);
        }
        let node = connection.node;
        drop(connection);
        if comes_again && !is_answered {
            self.send_again(node, &request).await;
        }
    }
}

async fn connect(node: &NodeState) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.addr)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (input, output) = stream.into_split();
    Some(Connection { input: BufReader::new(input), output, node: node.number, requests: 0 })
}

async fn write_slowly(output: &mut OwnedWriteHalf, bytes: &[u8]) -> io::Result<()> {
    for piece in bytes.chunks(bytes.len().div_ceil(SLOW_PIECES).max(1)) {
        output.write_all(piece).await?;
        sleep(SLOW_PAUSE).await;
    }
    Ok(())
}
