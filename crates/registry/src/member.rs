//! A member: an app server, or a node of the load balancer.

use serde::{Deserialize, Serialize};

use crate::{Ms, Revision};

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An app server: it stands on the list that nodes get.
    Server,
    /// A node: the audit follows it.
    Node,
}

/// What discovery says of it, in the protocol's words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes what comes.
    #[default]
    InService,
    /// It finishes what it has and wants nothing new.
    Terminating,
}

/// A member as it registers itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its id, the same after a restart.
    pub id: String,
    /// What it is.
    pub role: Role,
    /// Its pool.
    pub pool: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Where it listens.
    pub host_port: String,
    /// The kind of its machine.
    #[serde(default)]
    pub flavor: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its state.
    #[serde(default)]
    pub phase: Phase,
    /// Its weight against others.
    #[serde(default = "one")]
    pub size: f64,
    /// When its process last started, Unix time in milliseconds; 0 is long ago.
    #[serde(default)]
    pub up_since_ms: u64,
    /// Its process: each start has a greater one.
    #[serde(default)]
    pub incarnation: u64,
    /// The version of its program.
    #[serde(default)]
    pub program: String,
    /// The version of its configuration.
    #[serde(default)]
    pub config: String,
}

fn one() -> f64 {
    1.0
}

/// The longest text of a member's field.
const LONGEST: usize = 256;

impl Member {
    /// What is wrong with it, with the field and what was expected.
    pub fn fault(&self) -> Option<String> {
        let texts = [
            ("id", &self.id),
            ("pool", &self.pool),
            ("zone", &self.zone),
            ("host_port", &self.host_port),
            ("flavor", &self.flavor),
            ("program", &self.program),
            ("config", &self.config),
        ];
        for (name, text) in texts {
            if text.len() > LONGEST {
                return Some(format!("{name}: expected at most {LONGEST} bytes, found {}", text.len()));
            }
        }
        for (name, text) in [("id", &self.id), ("pool", &self.pool)] {
            if text.is_empty() {
                return Some(format!("{name}: expected a name, found nothing"));
            }
        }
        if self.host_port.parse::<std::net::SocketAddr>().is_err() {
            let found = &self.host_port;
            return Some(format!("host_port: expected an address such as 10.1.0.18:5000, found '{found}'"));
        }
        if !(self.size.is_finite() && self.size > 0.0) {
            return Some(format!("size: expected a number above 0, found {}", self.size));
        }
        None
    }
}

/// A member as the state holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Held {
    pub(crate) member: Member,
    /// The revision of its last change.
    pub(crate) revision: Revision,
    /// How long it may be silent, and the log time of its last word; without one it stays until it is removed.
    pub(crate) lease: Option<Ms>,
    pub(crate) renewed: Ms,
}
