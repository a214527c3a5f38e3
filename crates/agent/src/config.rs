//! What an agent is told.

use std::net::SocketAddr;
use std::path::PathBuf;

use registry::Member;
use serde::{Deserialize, Serialize};

/// The configuration of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where its node asks for the list, and its servers say what they saw.
    pub listen: SocketAddr,
    /// The APIs of the registry's replicas.
    pub registry: Vec<SocketAddr>,
    /// The file of its list.
    pub cache: PathBuf,
    /// The pool whose servers the list names.
    #[serde(default = "targets")]
    pub targets: String,
    /// The members on this machine. A node is registered once it has spoken: then its process is known.
    #[serde(default)]
    pub members: Vec<Member>,
    /// How long its members may be silent.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// How often it says that they are alive.
    #[serde(default = "renew_ms")]
    pub renew_ms: u64,
    /// How often it passes on what it heard.
    #[serde(default = "report_ms")]
    pub report_ms: u64,
    /// Where its host takes the order to drain and restart a node (POST with the node's name), where it does.
    #[serde(default)]
    pub host: Option<String>,
    /// Messages that wait for the loop.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Different sights that are kept while the registry is out of reach.
    #[serde(default = "queue")]
    pub sights: usize,
}

fn targets() -> String {
    "app".to_owned()
}

fn lease_ms() -> u64 {
    10_000
}

fn renew_ms() -> u64 {
    2_500
}

fn report_ms() -> u64 {
    500
}

fn queue() -> usize {
    1_024
}

impl Config {
    /// What is wrong with it, each with its key and what was expected.
    pub fn validate(&self) -> Vec<String> {
        let mut faults: Vec<String> = Vec::new();
        for (n, member) in self.members.iter().enumerate() {
            faults.extend(member.validate().map(|fault| format!("members[{n}].{fault}")));
        }
        let mut expect = |good: bool, what: &str| faults.extend((!good).then(|| what.to_owned()));
        expect(!self.registry.is_empty(), "registry: expected one address or more, found none");
        let renews = self.renew_ms > 0 && self.renew_ms.saturating_mul(2) <= self.lease_ms;
        expect(renews, "renew_ms: expected more than 0 and at most half of lease_ms");
        expect(self.report_ms > 0, "report_ms: expected more than 0");
        expect(self.queue > 0 && self.sights > 0, "queue, sights: expected 1 or more");
        faults
    }
}
