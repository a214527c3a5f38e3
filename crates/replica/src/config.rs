//! What a replica is told.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Where another replica is found.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number.
    pub id: u64,
    /// Its address for Raft.
    pub raft: SocketAddr,
    /// Its API, for clients that ask here and have to ask the leader.
    pub api: SocketAddr,
}

/// The configuration of a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The group's number: the same at each of its replicas, and no other group's.
    pub cluster: u64,
    /// This replica's number, 1 or more.
    pub id: u64,
    /// The API's address.
    pub listen: SocketAddr,
    /// The address for other replicas.
    pub raft_listen: SocketAddr,
    /// The folder of its file.
    pub data: PathBuf,
    /// The other replicas; none for a group of one.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// A tick of Raft.
    #[serde(default = "tick_ms")]
    pub tick_ms: u64,
    /// Ticks without a leader's word before an election.
    #[serde(default = "election_ticks")]
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    #[serde(default = "heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// How often the leader writes the passing of time to the log.
    #[serde(default = "clock_ms")]
    pub clock_ms: u64,
    /// Entries after which the log is replaced by a snapshot.
    #[serde(default = "snapshot_every")]
    pub snapshot_every: u64,
    /// Messages that wait for the loop.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Commands that wait for a majority.
    #[serde(default = "queue")]
    pub pending: usize,
    /// Open watches.
    #[serde(default = "watches")]
    pub watches: usize,
    /// The state's own, the same at every replica.
    #[serde(default)]
    pub state: registry::Config,
}

fn tick_ms() -> u64 {
    50
}

fn election_ticks() -> usize {
    20
}

fn heartbeat_ticks() -> usize {
    4
}

fn clock_ms() -> u64 {
    500
}

fn snapshot_every() -> u64 {
    20_000
}

fn queue() -> usize {
    4_096
}

fn watches() -> usize {
    2_000
}

impl Config {
    /// What is wrong with it, each with its key and what was expected.
    pub fn validate(&self) -> Vec<String> {
        let mut faults: Vec<String> =
            self.state.validate().iter().map(|fault| format!("state.{fault}")).collect();
        let mut expect = |good: bool, what: String| faults.extend((!good).then_some(what));
        expect(self.id > 0, "id: expected 1 or more, found 0".to_owned());
        let own = self.peers.iter().any(|peer| peer.id == self.id);
        expect(!own, format!("peers: {} is this replica itself", self.id));
        let mut ids: Vec<u64> = self.peers.iter().map(|peer| peer.id).collect();
        ids.sort_unstable();
        ids.dedup();
        let good = ids.len() == self.peers.len() && !ids.contains(&0);
        expect(good, "peers: expected each number once, and 1 or more".to_owned());
        let all = self.peers.len() + 1;
        expect(matches!(all, 1 | 3 | 5), format!("peers: expected 0, 2 or 4 others, found {}", all - 1));
        let slow = self.election_ticks >= 2 * self.heartbeat_ticks && self.heartbeat_ticks > 0;
        expect(
            slow,
            "election_ticks: expected at least twice heartbeat_ticks, and that 1 or more".to_owned(),
        );
        expect(self.tick_ms > 0 && self.clock_ms > 0, "tick_ms, clock_ms: expected more than 0".to_owned());
        let clock = self.clock_ms <= self.state.max_tick_ms;
        expect(clock, "clock_ms: expected no more than state.longest_tick_ms".to_owned());
        let bounds = self.queue > 0 && self.pending > 0 && self.watches > 0 && self.snapshot_every > 0;
        expect(bounds, "queue, pending, watches, snapshot_every: expected 1 or more".to_owned());
        faults
    }
}
