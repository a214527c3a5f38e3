//! The load generator: clients and a load balancer in front of the nodes, in one. It sends requests at a constant
//! rate to the nodes that are ready, in proportion to the share that the audit allows each.

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

/// Time between two readiness checks of a node.
const READINESS_INTERVAL: Duration = Duration::from_millis(200);
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);
/// The deadline that a request gives the node.
const REQUEST_DEADLINE_MS: u64 = 2_000;
/// How much longer than the deadline a client waits for the response.
const DEADLINE_MARGIN_MS: u64 = 500;
/// Number of keys that requests are drawn from.
const KEY_COUNT: u64 = 2_000;

/// A load generator. It ends with the runtime.
#[derive(Clone)]
pub struct LoadGenerator(Rc<Inner>);

struct Inner {
    http: reqwest::Client,
    nodes: RefCell<BTreeMap<String, Node>>,
    events: Events,
    rng: RefCell<ChaCha8Rng>,
    sent: Cell<u64>,
    served: Cell<u64>,
    is_running: Cell<bool>,
}

struct Node {
    addr: SocketAddr,
    is_ready: bool,
    /// The part of its usual share of requests that the audit allows the node, from 0 to 1.
    allowed_part: f64,
}

impl LoadGenerator {
    /// Creates a load generator without nodes.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    pub fn new(events: Events, seed: u64) -> anyhow::Result<LoadGenerator> {
        let timeout = Duration::from_millis(REQUEST_DEADLINE_MS + DEADLINE_MARGIN_MS);
        let http = reqwest::Client::builder().no_proxy().timeout(timeout).build()?;
        let inner = Inner {
            http,
            nodes: RefCell::default(),
            events,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            sent: Cell::new(0),
            served: Cell::new(0),
            is_running: Cell::new(true),
        };
        let generator = LoadGenerator(Rc::new(inner));
        spawn_local(generator.clone().poll_readiness());
        Ok(generator)
    }

    /// Adds a node. It gets requests once it is ready.
    pub fn add_node(&self, name: &str, addr: SocketAddr) {
        let node = Node { addr, is_ready: false, allowed_part: 1.0 };
        self.0.nodes.borrow_mut().insert(name.to_owned(), node);
    }

    /// Applies the directives of a watch on the registry: how much of its share each node may get.
    pub fn follow_directives(&self, mut watch: client::Watch) {
        let generator = self.clone();
        spawn_local(async move {
            loop {
                let line = watch.next_line().await;
                if !line["directives"].is_object() {
                    continue;
                }
                for (name, node) in generator.0.nodes.borrow_mut().iter_mut() {
                    let part = line["directives"]["nodes"][name]["part"].as_f64().unwrap_or(1.0);
                    if part != node.allowed_part {
                        node.allowed_part = part;
                        generator.0.events.emit("admission", json!({"node": name, "part": part}));
                    }
                }
            }
        });
    }

    /// Starts to send requests at a constant rate, until [`LoadGenerator::stop`] is called.
    pub fn start(&self, requests_per_s: f64) {
        let generator = self.clone();
        spawn_local(async move {
            let mut timer = interval(Duration::from_secs_f64(1.0 / requests_per_s));
            timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
            loop {
                timer.tick().await;
                if !generator.0.is_running.get() {
                    return;
                }
                let Some((name, addr)) = generator.choose_node() else { continue };
                let generator = generator.clone();
                spawn_local(async move { generator.send_request(&name, addr).await });
            }
        });
    }

    /// Sends no new requests from now on.
    pub fn stop(&self) {
        self.0.is_running.set(false);
    }

    /// Returns the number of requests that were sent so far, and of those that were served.
    pub fn request_counts(&self) -> (u64, u64) {
        (self.0.sent.get(), self.0.served.get())
    }

    /// Draws a ready node, weighted by the allowed parts.
    fn choose_node(&self) -> Option<(String, SocketAddr)> {
        let nodes = self.0.nodes.borrow();
        let ready = nodes.iter().filter(|(_, node)| node.is_ready && node.allowed_part > 0.0);
        let total: f64 = ready.clone().map(|(_, node)| node.allowed_part).sum();
        let mut remaining = self.0.rng.borrow_mut().random::<f64>() * total;
        for (name, node) in ready {
            remaining -= node.allowed_part;
            if remaining <= 0.0 {
                return Some((name.clone(), node.addr));
            }
        }
        None
    }

    async fn send_request(&self, name: &str, addr: SocketAddr) {
        let number = self.0.sent.get() + 1;
        self.0.sent.set(number);
        let key: u64 = self.0.rng.borrow_mut().random_range(0..KEY_COUNT);
        let request = self
            .0
            .http
            .get(format!("http://{addr}/api?key={key:x}"))
            .header("x-txn", format!("t{number}"))
            .header("x-lane", "look")
            .header("x-remaining-ms", REQUEST_DEADLINE_MS.to_string());
        let status = request.send().await.map_or(0, |response| response.status().as_u16());
        self.0.served.set(self.0.served.get() + u64::from(status == 200));
        self.0
            .events
            .emit("request", json!({"node": name, "request": format!("t{number}"), "status": status}));
    }

    /// Checks at regular intervals which nodes are ready.
    async fn poll_readiness(self) {
        loop {
            let nodes: Vec<(String, SocketAddr)> =
                self.0.nodes.borrow().iter().map(|(name, node)| (name.clone(), node.addr)).collect();
            for (name, addr) in nodes {
                let generator = self.clone();
                spawn_local(async move {
                    let request = generator.0.http.get(format!("http://{addr}/-/ready"));
                    let response = request.timeout(READINESS_TIMEOUT).send().await;
                    let is_ready = response.is_ok_and(|response| response.status().is_success());
                    if let Some(node) = generator.0.nodes.borrow_mut().get_mut(&name) {
                        if node.is_ready != is_ready {
                            node.is_ready = is_ready;
                            generator.0.events.emit("ready", json!({"node": name, "ready": is_ready}));
                        }
                    }
                });
            }
            sleep(READINESS_INTERVAL).await;
        }
    }
}
