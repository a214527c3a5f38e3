//! A stand-in for discovery's agent beside one node: it sends the whole list to each watch and then each change.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::record::{DrainRecord, Recorder};
use super::wire::read_message;

/// How often a watch gets an empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The list of servers, which all agents know.
pub struct ServerList {
    entries: RefCell<Vec<Value>>,
    /// The changes with their revisions, the first one having revision 1.
    changes: RefCell<Vec<Value>>,
    revision: watch::Sender<u64>,
}

impl ServerList {
    /// An empty list.
    pub fn new() -> Rc<ServerList> {
        Rc::new(ServerList {
            entries: RefCell::default(),
            changes: RefCell::default(),
            revision: watch::Sender::new(0),
        })
    }

    /// Adds an entry, or changes that with its id.
    pub fn put(&self, entry: Value) {
        let mut entries = self.entries.borrow_mut();
        entries.retain(|known| known["id"] != entry["id"]);
        if entry["phase"] != "terminated" {
            entries.push(entry.clone());
        }
        self.changes.borrow_mut().push(entry);
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// The whole list in discovery's form.
    pub fn whole(&self) -> Value {
        json!({"revision": *self.revision.borrow(), "complete": true, "members": *self.entries.borrow()})
    }

    fn changes_since(&self, revision: u64) -> Vec<Value> {
        self.changes.borrow().iter().skip(revision as usize).cloned().collect()
    }
}

/// The agent of a node.
pub struct Agent {
    /// Its address.
    pub addr: SocketAddr,
    /// While it is set, discovery is down: the agent accepts connections and is silent.
    pub is_silent: Rc<Cell<bool>>,
}

#[derive(Clone)]
struct Shared {
    node: usize,
    list: Rc<ServerList>,
    recorder: Rc<Recorder>,
    is_silent: Rc<Cell<bool>>,
}

impl Agent {
    /// Starts the agent of a node.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no socket.
    pub async fn start(node: usize, list: Rc<ServerList>, recorder: Rc<Recorder>) -> anyhow::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("open an agent's socket")?;
        let (addr, is_silent) = (listener.local_addr()?, Rc::new(Cell::new(false)));
        let shared = Shared { node, list, recorder, is_silent: is_silent.clone() };
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(shared.clone().serve(stream));
                }
            }
        });
        Ok(Agent { addr, is_silent })
    }
}

impl Shared {
    async fn serve(self, stream: TcpStream) -> std::io::Result<()> {
        let (input, mut output) = stream.into_split();
        let mut input = BufReader::new(input);
        read_message(&mut input).await?;
        if self.is_silent.get() {
            std::future::pending::<()>().await;
        }
        output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut revisions = self.list.revision.subscribe();
        let mut told = *revisions.borrow_and_update();
        let mut line = format!("{}\n", self.list.whole());
        loop {
            output.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
            let _ = timeout(KEEPALIVE_INTERVAL, revisions.changed()).await;
            while self.is_silent.get() {
                sleep(Duration::from_millis(50)).await;
            }
            let changes = self.list.changes_since(told);
            told += changes.len() as u64;
            line = match changes.is_empty() {
                true => "\n".to_owned(),
                false => format!("{}\n", json!({"revision": told, "complete": false, "members": changes})),
            };
            self.record_drains(&changes);
        }
    }

    fn record_drains(&self, changes: &[Value]) {
        for change in changes.iter().filter(|change| change["phase"] != "in_service") {
            self.recorder.add_drain(DrainRecord {
                node: self.node,
                server: change["id"].as_str().unwrap_or_default().to_owned(),
                told_us: self.recorder.now_us(),
            });
        }
    }
}
