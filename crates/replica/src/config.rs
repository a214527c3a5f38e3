//! The configuration of a replica.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// The addresses of another replica of the cluster.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The peer's id.
    pub id: u64,
    /// The peer's address for Raft messages.
    #[serde(rename = "raft")]
    pub raft_addr: SocketAddr,
    /// The address of the peer's API, to which clients are redirected when the peer is the leader.
    #[serde(rename = "api")]
    pub api_addr: SocketAddr,
}

/// The configuration of a replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The number of the cluster: the same at all of its replicas, and different from any other cluster's.
    pub cluster: u64,
    /// This replica's id, 1 or more.
    pub id: u64,
    /// The address of the API.
    pub listen: SocketAddr,
    /// The address for Raft messages of the other replicas.
    pub raft_listen: SocketAddr,
    /// The directory of the replica's file.
    #[serde(rename = "data")]
    pub data_dir: PathBuf,
    /// The other replicas; empty for a cluster of one replica.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The interval of Raft's ticks.
    #[serde(rename = "tick_ms", default = "default_raft_tick_ms")]
    pub raft_tick_ms: u64,
    /// How many ticks without a message from a leader start an election.
    #[serde(default = "default_election_ticks")]
    pub election_ticks: usize,
    /// How many ticks lie between two heartbeats of a leader.
    #[serde(default = "default_heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// The interval at which the leader advances log time.
    #[serde(rename = "clock_ms", default = "default_clock_interval_ms")]
    pub clock_interval_ms: u64,
    /// The number of applied entries after which the log is replaced by a snapshot.
    #[serde(rename = "snapshot_every", default = "default_snapshot_interval_entries")]
    pub snapshot_interval_entries: u64,
    /// How many messages can wait for the event loop.
    #[serde(rename = "queue", default = "default_capacity")]
    pub queue_capacity: usize,
    /// How many commands can wait to be committed and applied.
    #[serde(rename = "pending", default = "default_capacity")]
    pub max_pending: usize,
    /// How many watches can be open.
    #[serde(rename = "watches", default = "default_max_watches")]
    pub max_watches: usize,
    /// The settings of the replicated state, which have to be the same at all replicas.
    #[serde(default)]
    pub state: registry::Config,
}

fn default_raft_tick_ms() -> u64 {
    50
}

fn default_election_ticks() -> usize {
    20
}

fn default_heartbeat_ticks() -> usize {
    4
}

fn default_clock_interval_ms() -> u64 {
    500
}

fn default_snapshot_interval_entries() -> u64 {
    20_000
}

fn default_capacity() -> usize {
    4_096
}

fn default_max_watches() -> usize {
    2_000
}

impl Config {
    /// Returns one message for each invalid setting, with its key and the values that are allowed.
    pub fn validate(&self) -> Vec<String> {
        let mut faults: Vec<String> =
            self.state.validate().iter().map(|fault| format!("state.{fault}")).collect();
        let mut expect = |is_valid: bool, fault: String| faults.extend((!is_valid).then_some(fault));
        expect(self.id > 0, "id: expected 1 or more, found 0".to_owned());
        let has_itself = self.peers.iter().any(|peer| peer.id == self.id);
        expect(
            !has_itself,
            format!("peers: expected other replicas only, found this replica's id {}", self.id),
        );
        let mut ids: Vec<u64> = self.peers.iter().map(|peer| peer.id).collect();
        ids.sort_unstable();
        ids.dedup();
        let are_ids_valid = ids.len() == self.peers.len() && !ids.contains(&0);
        expect(are_ids_valid, "peers: expected distinct ids of 1 or more".to_owned());
        let replicas = self.peers.len() + 1;
        let others = replicas - 1;
        expect(matches!(replicas, 1 | 3 | 5), format!("peers: expected 0, 2 or 4 others, found {others}"));
        let are_elections_slow_enough =
            self.election_ticks >= 2 * self.heartbeat_ticks && self.heartbeat_ticks > 0;
        expect(
            are_elections_slow_enough,
            "election_ticks: expected at least twice heartbeat_ticks, which has to be 1 or more".to_owned(),
        );
        let are_intervals_valid = self.raft_tick_ms > 0 && self.clock_interval_ms > 0;
        expect(are_intervals_valid, "tick_ms, clock_ms: expected more than 0".to_owned());
        let fits_tick = self.clock_interval_ms <= self.state.max_tick_ms;
        expect(fits_tick, "clock_ms: expected no more than state.longest_tick_ms".to_owned());
        let are_limits_valid = self.queue_capacity > 0
            && self.max_pending > 0
            && self.max_watches > 0
            && self.snapshot_interval_entries > 0;
        expect(are_limits_valid, "queue, pending, watches, snapshot_every: expected 1 or more".to_owned());
        faults
    }
}
