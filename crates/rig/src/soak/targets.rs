//! What clients know of the nodes, shared by the threads on which clients run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A node, as clients see it.
pub struct NodeState {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub addr: SocketAddr,
    is_accepting: AtomicBool,
}

/// All nodes of a run, and whether clients go on.
pub struct Targets {
    /// The nodes by their numbers.
    pub nodes: Vec<Arc<NodeState>>,
    /// The seed of the run.
    pub seed: u64,
    is_stopped: AtomicBool,
}

impl NodeState {
    /// A node that takes no connections yet.
    pub fn new(number: usize, addr: SocketAddr) -> NodeState {
        NodeState { number, addr, is_accepting: AtomicBool::new(false) }
    }

    /// Whether clients make new connections.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.load(Ordering::Relaxed)
    }

    /// Sets whether clients make new connections.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.store(is_accepting, Ordering::Relaxed);
    }
}

impl Targets {
    /// The nodes of a run.
    pub fn new(nodes: Vec<Arc<NodeState>>, seed: u64) -> Targets {
        Targets { nodes, seed, is_stopped: AtomicBool::new(false) }
    }

    /// A node that takes new connections.
    pub fn choose_node(&self, rng: &mut ChaCha8Rng) -> Option<&NodeState> {
        let accepting: Vec<_> = self.nodes.iter().filter(|node| node.is_accepting()).collect();
        let index = rng.random_range(0..accepting.len().max(1));
        accepting.get(index).map(|&node| node.as_ref())
    }

    /// Whether clients are to send no further requests.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Tells all clients to send no further requests.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
