//! Counts the requests that this node sent to cold servers, so that the sends of all nodes can be added up. A
//! server is cold for the duration of its ramp, which begins when its process starts.
//!
//! With `RUST_LOG=woodgap::cold=debug` the node logs a line twice a second with its sends by server, start of the
//! server's process and tenth of a second; `fircroft fleet` adds up the lines of all nodes. Without that filter
//! nothing is recorded.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use woodgap::config::Ramp;

/// The span of time over which sends are added up.
const BUCKET_MS: u64 = 100;

/// One start of a server's process.
#[derive(Clone, Debug)]
pub struct ServerStart<'a> {
    pub id: &'a str,
    /// When the process started: Unix time in milliseconds.
    pub started_at_ms: u64,
    pub size: f64,
}

/// The sends to a server after one of its starts.
struct Sends {
    /// The server's size.
    size: f64,
    /// The number of sends, by the Unix time in milliseconds at which their bucket begins.
    buckets: BTreeMap<u64, u32>,
}

/// The sends to cold servers that are not logged yet.
pub struct ColdSends {
    ramp: Ramp,
    is_enabled: bool,
    /// By the server's id and the Unix time in milliseconds of its start.
    sends: RefCell<BTreeMap<(String, u64), Sends>>,
}

impl ColdSends {
    /// Creates an empty record. The log filter at this time decides whether sends are recorded.
    pub fn new(ramp: Ramp) -> Self {
        let is_enabled = tracing::enabled!(target: "woodgap::cold", tracing::Level::DEBUG);
        ColdSends { ramp, is_enabled, sends: RefCell::default() }
    }

    /// Whether the log filter asks for cold sends. If not, nothing is to be recorded.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records a send, if the server started less than the duration of the ramp ago.
    pub fn record(&self, server: &ServerStart<'_>) {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        if unix_ms.saturating_sub(server.started_at_ms) < self.ramp.duration_ms {
            let mut sends = self.sends.borrow_mut();
            let new_sends = || Sends { size: server.size, buckets: BTreeMap::new() };
            let Sends { buckets, .. } =
                sends.entry((server.id.to_owned(), server.started_at_ms)).or_insert_with(new_sends);
            *buckets.entry(unix_ms / BUCKET_MS * BUCKET_MS).or_insert(0) += 1;
        }
    }

    /// Logs the sends recorded since the previous call. For each server the line has
    /// `id@start/size,time=sends,...`, with times in Unix milliseconds. `total_size` is that of all servers in
    /// service.
    pub fn log(&self, total_size: f64) {
        let sends = std::mem::take(&mut *self.sends.borrow_mut());
        if sends.is_empty() {
            return;
        }
        let mut cold = String::new();
        for ((id, started_at_ms), Sends { size, buckets }) in sends {
            let _ = write!(cold, "{id}@{started_at_ms}/{size}");
            for (bucket_start_ms, count) in buckets {
                let _ = write!(cold, ",{bucket_start_ms}={count}");
            }
            cold.push(' ');
        }
        let Ramp { start_capacity, duration_ms, cold_overload_multiple, overload_window_ms } = self.ramp;
        tracing::debug!(
            target: "woodgap::cold",
            cold = cold.trim_end(),
            able = total_size,
            start = start_capacity,
            span_ms = duration_ms,
            multiple = cold_overload_multiple,
            window_ms = overload_window_ms,
            "cold"
        );
    }
}
