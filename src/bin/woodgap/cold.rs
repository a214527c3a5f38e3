//! What this node wrote to servers while they were cold, for a count over all nodes of a fleet.
//!
//! With `RUST_LOG=woodgap::cold=debug` a line twice a second has the sends by server, start and tenth of a second;
//! `fircroft fleet` adds them up. Without it nothing is kept.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use woodgap::config::Ramp;

/// Milliseconds of a bucket.
const BUCKET: u64 = 100;

/// A server's start: its id, when its process started, its size.
#[derive(Clone, Debug)]
pub struct Start<'a> {
    pub id: &'a str,
    pub since_ms: u64,
    pub size: f64,
}

/// A server's size, and the sends of each bucket.
struct Sends {
    size: f64,
    buckets: BTreeMap<u64, u32>,
}

pub struct ColdSends {
    ramp: Ramp,
    on: bool,
    /// By id and start.
    sends: RefCell<BTreeMap<(String, u64), Sends>>,
}

impl ColdSends {
    pub fn new(ramp: Ramp) -> Self {
        let on = tracing::enabled!(target: "woodgap::cold", tracing::Level::DEBUG);
        ColdSends { ramp, on, sends: RefCell::default() }
    }

    /// Whether anything is kept.
    pub fn is_on(&self) -> bool {
        self.on
    }

    /// Notes a send.
    pub fn sent(&self, to: &Start<'_>) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        if unix.saturating_sub(to.since_ms) < self.ramp.duration_ms {
            let mut sends = self.sends.borrow_mut();
            let fresh = || Sends { size: to.size, buckets: BTreeMap::new() };
            let Sends { buckets, .. } = sends.entry((to.id.to_owned(), to.since_ms)).or_insert_with(fresh);
            *buckets.entry(unix / BUCKET * BUCKET).or_insert(0) += 1;
        }
    }

    /// Writes what was noted since the last time. `able` is the size of all servers in service.
    pub fn write(&self, able: f64) {
        let sends = std::mem::take(&mut *self.sends.borrow_mut());
        if sends.is_empty() {
            return;
        }
        let mut cold = String::new();
        for ((id, since_ms), Sends { size, buckets }) in sends {
            let _ = write!(cold, "{id}@{since_ms}/{size}");
            for (at, count) in buckets {
                let _ = write!(cold, ",{at}={count}");
            }
            cold.push(' ');
        }
        let Ramp { start_capacity, duration_ms, cold_overload_multiple, overload_window_ms } = self.ramp;
        tracing::debug!(
            target: "woodgap::cold",
            cold = cold.trim_end(),
            able,
            start = start_capacity,
            span_ms = duration_ms,
            multiple = cold_overload_multiple,
            window_ms = overload_window_ms,
            "cold"
        );
    }
}
