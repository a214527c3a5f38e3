//! The budget of bytes that the process may hold, derived from `memory_mb`.
//!
//! Aim: whatever clients and servers send, the resident set stays under [`MAX_RESIDENT_FRACTION`] of the limit. What the
//! allocator keeps, and lists and tables, are covered by margins; everything else that grows with traffic takes its bytes from the budget before it is filled, in one of four shares, so
//! that none of them can take the memory that another needs to make progress:
//!
//! - connections: the buffers and the state of a client connection, and of an idle connection to a server;
//! - arriving requests: long heads, many fields, and bodies, from their arrival until the request has ended;
//! - open requests: the connection to a server and the copies of the head, from the moment at which the request is
//!   complete until its last attempt has ended;
//! - responses: long bodies of responses, until they are written to the client.
//!
//! Where a share is used up, requests and responses are not read further until bytes are given back, in the order in
//! which they began to wait; connections and requests that the node has not taken are refused.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::exchange::MAX_BODY_BYTES;

/// The part of the memory limit that the resident set may reach.
const MAX_RESIDENT_FRACTION: f64 = 0.8;
/// The part of the memory limit that is left for what is not drawn from the budget: lists that are being parsed,
/// counts and tables of the policy, log lines.
const UNBUDGETED_FRACTION: f64 = 0.0625;
/// What the allocator keeps of freed memory, as a part of the bytes in use.
const ALLOCATOR_OVERHEAD: f64 = 0.15;
/// The shares of the budget.
const CONNECTIONS_FRACTION: f64 = 0.38;
const ARRIVING_FRACTION: f64 = 0.20;
const OPEN_REQUESTS_FRACTION: f64 = 0.26;
const RESPONSES_FRACTION: f64 = 0.16;
/// Assumed where the system does not tell how much memory the process holds at its start.
const DEFAULT_RESIDENT_BYTES: usize = 8 << 20;
/// The smallest share: one request with the largest head, body and response passes at a time.
const MIN_SHARE_BYTES: usize = 192 * 1024;
/// The unit in which shares are counted.
const UNIT_BYTES: usize = 1024;

/// What a client connection holds: its state, and buffers for requests with a head of up to [`UNRESERVED_HEAD_BYTES`].
pub const CLIENT_CONNECTION_BYTES: usize = 28 * 1024;
/// What an idle connection to a server holds.
pub const SERVER_CONNECTION_BYTES: usize = 20 * 1024;
/// What an open request holds besides its body: a connection to a server and the copies of the head.
pub const OPEN_REQUEST_BYTES: usize = 30 * 1024;
/// The longest head that is read without bytes for a long head.
pub const UNRESERVED_HEAD_BYTES: usize = 8 * 1024;
/// What a longer head takes: the buffer in which it arrives, the copy that is checked, and the parsed fields.
pub const LONG_HEAD_BYTES: usize = 48 * 1024;
/// More fields in a head than this take bytes of their own, however short they are.
pub const UNRESERVED_FIELDS: usize = 24;
/// What the parsed fields of a head take if there are more of them.
pub const MANY_FIELDS_BYTES: usize = 20 * 1024;
/// The longest body of a request or a response that takes no bytes of its own.
pub const UNRESERVED_BODY_BYTES: usize = 4 * 1024;

/// The right to hold a number of bytes; dropping it returns them to the budget.
pub type MemoryPermit = OwnedSemaphorePermit;

/// One share of the budget.
#[derive(Clone)]
pub struct MemoryShare {
    free_units: Arc<Semaphore>,
    total_units: usize,
}

/// The memory budget of the process.
pub struct MemoryBudget {
    /// Client connections and idle connections to servers.
    pub connections: MemoryShare,
    /// Requests that arrive, and their bodies.
    pub arriving: MemoryShare,
    /// Complete requests.
    pub open_requests: MemoryShare,
    /// Bodies of responses.
    pub responses: MemoryShare,
}

impl MemoryShare {
    fn new(bytes: usize) -> Self {
        let total_units = bytes.max(MIN_SHARE_BYTES) / UNIT_BYTES;
        MemoryShare { free_units: Arc::new(Semaphore::new(total_units)), total_units }
    }

    /// The size of the whole share.
    pub fn total_bytes(&self) -> usize {
        self.total_units * UNIT_BYTES
    }

    /// The number of units for this many bytes. No request for bytes is larger than the whole share, because it would
    /// never be granted.
    pub fn units(&self, bytes: usize) -> u32 {
        bytes.div_ceil(UNIT_BYTES).min(self.total_units) as u32
    }

    /// Takes bytes if they are free.
    pub fn try_acquire(&self, bytes: usize) -> Option<MemoryPermit> {
        self.free_units.clone().try_acquire_many_owned(self.units(bytes)).ok()
    }

    /// Takes bytes once they are free. Those who wait are served in order.
    pub async fn acquire(&self, bytes: usize) -> Option<MemoryPermit> {
        // The semaphore is never closed, so there always is a permit in the end.
        self.free_units.clone().acquire_many_owned(self.units(bytes)).await.ok()
    }

    /// Whether so little is left that a largest body would have to wait.
    pub fn is_short(&self) -> bool {
        self.free_units.available_permits() < MAX_BODY_BYTES / UNIT_BYTES
    }

    /// The semaphore behind the share, for code that polls.
    pub fn semaphore(&self) -> Arc<Semaphore> {
        self.free_units.clone()
    }
}

impl MemoryBudget {
    /// Divides what the limit leaves over `resident_bytes`, which the process holds before it serves clients.
    pub fn new(max_memory_bytes: usize, resident_bytes: Option<usize>) -> Rc<Self> {
        let usable_fraction = MAX_RESIDENT_FRACTION - UNBUDGETED_FRACTION;
        let usable_bytes = (max_memory_bytes as f64 * usable_fraction) as usize;
        let free_bytes = usable_bytes.saturating_sub(resident_bytes.unwrap_or(DEFAULT_RESIDENT_BYTES));
        let budget_bytes = free_bytes as f64 / (1.0 + ALLOCATOR_OVERHEAD);
        let share = |fraction: f64| MemoryShare::new((budget_bytes * fraction) as usize);
        Rc::new(MemoryBudget {
            connections: share(CONNECTIONS_FRACTION),
            arriving: share(ARRIVING_FRACTION),
            open_requests: share(OPEN_REQUESTS_FRACTION),
            responses: share(RESPONSES_FRACTION),
        })
    }
}

/// Reads how many bytes of the process are resident; `None` if the system does not tell.
pub fn read_resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = resident.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kib * 1024)
}

/// Bytes together with the permit for them.
struct PermittedBytes {
    bytes: Bytes,
    _permit: MemoryPermit,
}

impl AsRef<[u8]> for PermittedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Ties a permit to bytes: it is returned when the last reference to them is dropped.
pub fn hold_permit(bytes: Bytes, permit: Option<MemoryPermit>) -> Bytes {
    match permit {
        Some(permit) => Bytes::from_owner(PermittedBytes { bytes, _permit: permit }),
        None => bytes,
    }
}

#[cfg(test)]
mod tests;
