//! The configuration of an agent.

use std::net::SocketAddr;
use std::path::PathBuf;

use registry::Member;
use serde::{Deserialize, Serialize};

/// The configuration of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address where the node gets its list, and where nodes and servers send their reports.
    pub listen: SocketAddr,
    /// The API addresses of the registry's replicas.
    #[serde(rename = "registry")]
    pub registry_endpoints: Vec<SocketAddr>,
    /// The file in which the list is cached.
    #[serde(rename = "cache")]
    pub cache_file: PathBuf,
    /// The pool whose servers are in the list.
    #[serde(rename = "targets", default = "default_targets_pool")]
    pub targets_pool: String,
    /// The members on this machine. A server is registered at the start; a node with its first report, which says
    /// which incarnation of its process runs.
    #[serde(default)]
    pub members: Vec<Member>,
    /// How long the members' registrations last without a renewal.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// The interval at which the leases are renewed.
    #[serde(rename = "renew_ms", default = "default_renew_interval_ms")]
    pub renew_interval_ms: u64,
    /// The interval at which reports are forwarded to the registry.
    #[serde(rename = "report_ms", default = "default_report_interval_ms")]
    pub report_interval_ms: u64,
    /// The URL at which this machine's host takes requests to drain and restart a node: a POST with the node's name.
    /// Without a URL, no node is restarted.
    #[serde(rename = "host", default)]
    pub restart_url: Option<String>,
    /// How many messages can wait for the agent's event loop.
    #[serde(rename = "queue", default = "default_capacity")]
    pub queue_capacity: usize,
    /// How many observations are kept while the registry is unreachable. One observation covers all attempts of one
    /// node's incarnation on one revision at one server.
    #[serde(rename = "sights", default = "default_capacity")]
    pub max_observations: usize,
}

fn default_targets_pool() -> String {
    "app".to_owned()
}

fn default_lease_ms() -> u64 {
    10_000
}

fn default_renew_interval_ms() -> u64 {
    2_500
}

fn default_report_interval_ms() -> u64 {
    500
}

fn default_capacity() -> usize {
    1_024
}

impl Config {
    /// Returns one message for each invalid setting, with its key and the values that are allowed.
    pub fn validate(&self) -> Vec<String> {
        let mut faults: Vec<String> = Vec::new();
        for (n, member) in self.members.iter().enumerate() {
            faults.extend(member.validate().map(|fault| format!("members[{n}].{fault}")));
        }
        let mut expect = |is_valid: bool, fault: &str| faults.extend((!is_valid).then(|| fault.to_owned()));
        expect(!self.registry_endpoints.is_empty(), "registry: expected one address or more, found none");
        let is_renewed_in_time =
            self.renew_interval_ms > 0 && self.renew_interval_ms.saturating_mul(2) <= self.lease_ms;
        expect(is_renewed_in_time, "renew_ms: expected more than 0 and at most half of lease_ms");
        expect(self.report_interval_ms > 0, "report_ms: expected more than 0");
        expect(self.queue_capacity > 0 && self.max_observations > 0, "queue, sights: expected 1 or more");
        faults
    }
}
