//! The front and its clients: requests at a steady rate to nodes that are ready and admitted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};

use crate::events::Events;

/// How often the front asks whether a node is ready.
const ASK: Duration = Duration::from_millis(200);
/// How long a client waits.
const PATIENCE_MS: u64 = 2_000;

/// A front with its clients; it ends with the run.
#[derive(Clone)]
pub struct LoadGenerator(Rc<Inner>);

struct Inner {
    http: reqwest::Client,
    nodes: RefCell<BTreeMap<String, Node>>,
    events: Events,
    rng: RefCell<ChaCha8Rng>,
    sent: Cell<u64>,
    served: Cell<u64>,
    on: Cell<bool>,
}

struct Node {
    addr: SocketAddr,
    ready: bool,
    /// The part of its share that the audit allows it.
    part: f64,
}

impl LoadGenerator {
    /// A front without nodes.
    ///
    /// # Errors
    ///
    /// Where the system gives no sockets.
    pub fn new(events: Events, seed: u64) -> anyhow::Result<LoadGenerator> {
        let patience = Duration::from_millis(PATIENCE_MS + 500);
        let http = reqwest::Client::builder().no_proxy().timeout(patience).build()?;
        let inner = Inner {
            http,
            nodes: RefCell::default(),
            events,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            sent: Cell::new(0),
            served: Cell::new(0),
            on: Cell::new(true),
        };
        let front = LoadGenerator(Rc::new(inner));
        spawn_local(front.clone().ask_ready());
        Ok(front)
    }

    /// Takes in a node at an address.
    pub fn add(&self, name: &str, addr: SocketAddr) {
        self.0.nodes.borrow_mut().insert(name.to_owned(), Node { addr, ready: false, part: 1.0 });
    }

    /// Goes by what the registry says of admissions, from its own watch.
    pub fn follow(&self, mut watch: client::Watch) {
        let front = self.clone();
        spawn_local(async move {
            loop {
                let line = watch.next_line().await;
                if !line["directives"].is_object() {
                    continue;
                }
                for (name, node) in front.0.nodes.borrow_mut().iter_mut() {
                    let part = line["directives"]["nodes"][name]["part"].as_f64().unwrap_or(1.0);
                    if part != node.part {
                        node.part = part;
                        front.0.events.emit("admission", json!({"node": name, "part": part}));
                    }
                }
            }
        });
    }

    /// Sends so many requests a second, for as long as the run lasts.
    pub fn load(&self, per_s: f64) {
        let front = self.clone();
        spawn_local(async move {
            let mut timer = interval(Duration::from_secs_f64(1.0 / per_s));
            timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
            loop {
                timer.tick().await;
                if !front.0.on.get() {
                    return;
                }
                let Some((name, addr)) = front.pick() else { continue };
                let front = front.clone();
                spawn_local(async move { front.ask(&name, addr).await });
            }
        });
    }

    /// Sends nothing new from now on.
    pub fn load_off(&self) {
        self.0.on.set(false);
    }

    /// Requests so far, and those that were served.
    pub fn counts(&self) -> (u64, u64) {
        (self.0.sent.get(), self.0.served.get())
    }

    fn pick(&self) -> Option<(String, SocketAddr)> {
        let nodes = self.0.nodes.borrow();
        let ready = nodes.iter().filter(|(_, node)| node.ready && node.part > 0.0);
        let total: f64 = ready.clone().map(|(_, node)| node.part).sum();
        let mut at = self.0.rng.borrow_mut().random::<f64>() * total;
        for (name, node) in ready {
            at -= node.part;
            if at <= 0.0 {
                return Some((name.clone(), node.addr));
            }
        }
        None
    }

    async fn ask(&self, name: &str, addr: SocketAddr) {
        let number = self.0.sent.get() + 1;
        self.0.sent.set(number);
        let key: u64 = self.0.rng.borrow_mut().random_range(0..2_000);
        let call = self
            .0
            .http
            .get(format!("http://{addr}/api?key={key:x}"))
            .header("x-txn", format!("t{number}"))
            .header("x-lane", "look")
            .header("x-remaining-ms", PATIENCE_MS.to_string());
        let status = call.send().await.map_or(0, |answer| answer.status().as_u16());
        self.0.served.set(self.0.served.get() + u64::from(status == 200));
        self.0
            .events
            .emit("request", json!({"node": name, "request": format!("t{number}"), "status": status}));
    }

    async fn ask_ready(self) {
        loop {
            let nodes: Vec<(String, SocketAddr)> =
                self.0.nodes.borrow().iter().map(|(name, node)| (name.clone(), node.addr)).collect();
            for (name, addr) in nodes {
                let front = self.clone();
                spawn_local(async move {
                    let call = front.0.http.get(format!("http://{addr}/-/ready"));
                    let answer = call.timeout(Duration::from_secs(1)).send().await;
                    let ready = answer.is_ok_and(|answer| answer.status().is_success());
                    if let Some(node) = front.0.nodes.borrow_mut().get_mut(&name) {
                        if node.ready != ready {
                            node.ready = ready;
                            front.0.events.emit("ready", json!({"node": name, "ready": ready}));
                        }
                    }
                });
            }
            sleep(ASK).await;
        }
    }
}
