//! Members: the app servers and the nodes of the load balancer.

use serde::{Deserialize, Serialize};

use crate::{Ms, Revision};

/// The role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An app server, which is on the list that nodes get.
    Server,
    /// A node of the load balancer, which the audit tracks.
    Node,
}

/// The phase of a member, as the discovery protocol names it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The member takes requests.
    #[default]
    InService,
    /// The member finishes its requests and takes no new ones.
    Terminating,
}

/// A member as it registers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The member's id, the same after a restart.
    pub id: String,
    /// The member's role.
    pub role: Role,
    /// The member's pool.
    pub pool: String,
    /// The member's zone.
    #[serde(default)]
    pub zone: String,
    /// The address that the member listens on.
    pub host_port: String,
    /// The type of the machine.
    #[serde(default)]
    pub flavor: String,
    /// The member's cell.
    #[serde(default)]
    pub cell: u64,
    /// The member's phase.
    #[serde(default)]
    pub phase: Phase,
    /// The member's weight relative to other members.
    #[serde(default = "default_size")]
    pub size: f64,
    /// When the member's process last started, in Unix milliseconds; 0 stands for long ago.
    #[serde(default)]
    pub up_since_ms: u64,
    /// The incarnation of the member's process: each start has a greater one.
    #[serde(default)]
    pub incarnation: u64,
    /// The version of the member's program.
    #[serde(default)]
    pub program: String,
    /// The version of the member's configuration.
    #[serde(default)]
    pub config: String,
}

fn default_size() -> f64 {
    1.0
}

/// The longest text that a field of a member may hold.
const MAX_TEXT_BYTES: usize = 256;

impl Member {
    /// Returns what is wrong with the first invalid field, with the field's name and what was expected.
    pub fn validate(&self) -> Option<String> {
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
            if text.len() > MAX_TEXT_BYTES {
                return Some(format!(
                    "{name}: expected at most {MAX_TEXT_BYTES} bytes, found {}",
                    text.len()
                ));
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

/// A registered member with its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Registration {
    pub(crate) member: Member,
    /// The revision at which the member was last changed.
    pub(crate) revision: Revision,
    /// The duration of the lease; without one the member stays until it is removed.
    #[serde(rename = "lease")]
    pub(crate) lease_ms: Option<Ms>,
    /// The log time at which the lease was last renewed.
    #[serde(rename = "renewed")]
    pub(crate) renewed_at: Ms,
}
