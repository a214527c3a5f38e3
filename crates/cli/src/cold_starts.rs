//! How close all nodes together came to overloading a server that was still cold.
//!
//! A cold server breaks down when it is sent more than N + 2 sqrt(N) + 2 requests of mean work within the
//! settings' window. N is the settings' multiple of what the server can serve at that time. The logs don't
//! give the capacity of a warm server. It is estimated as the most requests that the fleet served in a
//! second, in proportion to the servers' sizes, so a fleet with spare capacity appears closer to the limit
//! than it is.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// Windows in the report.
const MAX_REPORTED_WINDOWS: usize = 5;

/// The settings of the ramp, as the nodes repeat them in each line.
#[derive(Clone, Copy, Default)]
struct Ramp {
    start_capacity: f64,
    duration_ms: f64,
    cold_overload_multiple: f64,
    overload_window_ms: u64,
}

/// The requests that all nodes sent to a cold server in one window.
#[derive(Debug, PartialEq, Serialize)]
pub struct Window {
    /// Id of the server.
    pub server: String,
    /// Time from the start of the server's process to the start of the window.
    pub from_ms: u64,
    /// Requests sent in the window.
    pub sent: u64,
    /// More requests than this overload the server.
    #[serde(rename = "bears")]
    pub limit: f64,
    /// `sent` divided by `limit`.
    #[serde(rename = "part")]
    pub ratio: f64,
}

/// A start of a server's process: the server's size, and the requests sent to it by the Unix milliseconds at
/// which their bucket begins.
struct ServerStart {
    size: f64,
    buckets: BTreeMap<u64, u64>,
}

/// What the logs say about cold servers.
#[derive(Default)]
pub struct ColdStarts {
    ramp: Ramp,
    /// Total size of the servers in service: the lowest that any node logged.
    total_size: Option<f64>,
    /// By server id and the Unix milliseconds of the start.
    starts: BTreeMap<(String, u64), ServerStart>,
    /// Attempts served, by the second of the log's timestamps.
    served: BTreeMap<String, u64>,
}

impl ColdStarts {
    /// Adds the fields of a log line; a line without the field `cold` is ignored. The field has a group for
    /// each start of a server, separated by spaces: `ID@START_MS/SIZE,BUCKET_MS=COUNT,...`.
    pub fn add_line(&mut self, fields: &Value) {
        let Some(text) = fields["cold"].as_str() else { return };
        let read_number = |name: &str| fields[name].as_f64().unwrap_or(0.0);
        self.ramp = Ramp {
            start_capacity: read_number("start"),
            duration_ms: read_number("span_ms"),
            cold_overload_multiple: read_number("multiple"),
            overload_window_ms: fields["window_ms"].as_u64().unwrap_or(0),
        };
        let total_size = read_number("able");
        self.total_size = Some(self.total_size.map_or(total_size, |lowest| lowest.min(total_size)));
        for group in text.split(' ') {
            let mut parts = group.split(',');
            let head = parts.next().and_then(|head| {
                let (id, rest) = head.rsplit_once('@')?;
                let (since, size) = rest.split_once('/')?;
                Some(((id.to_owned(), since.parse().ok()?), size.parse::<f64>().ok()?))
            });
            let Some((key, size)) = head else { continue };
            let ServerStart { buckets, .. } =
                self.starts.entry(key).or_insert_with(|| ServerStart { size, buckets: BTreeMap::new() });
            let pairs = parts.filter_map(|part| part.split_once('='));
            for (at, count) in pairs.filter_map(|(at, n)| Some((at.parse().ok()?, n.parse::<u64>().ok()?))) {
                *buckets.entry(at).or_insert(0) += count;
            }
        }
    }

    /// Adds the attempts that a node counted as served between its previous line and the line with this
    /// timestamp.
    pub fn add_served(&mut self, timestamp: Option<&str>, count: u64) {
        let second = timestamp.and_then(|text| text.split('.').next()).unwrap_or_default();
        *self.served.entry(second.to_owned()).or_insert(0) += count;
    }

    /// The windows with the highest ratios, at most one for each start of a server, in descending order.
    pub fn closest_windows(&self) -> Vec<Window> {
        let most_served = self.served.values().copied().max().unwrap_or(0) as f64;
        let Some(total_size) = self.total_size.filter(|&size| size > 0.0 && most_served > 0.0) else {
            return Vec::new();
        };
        let Ramp { start_capacity, duration_ms, cold_overload_multiple, overload_window_ms } = self.ramp;
        let closest = |((id, since), ServerStart { size, buckets }): (&(String, u64), &ServerStart)| {
            let window = |&from: &u64| {
                let sent: u64 = buckets.range(from..from + overload_window_ms).map(|(_, count)| count).sum();
                let from_ms = from.saturating_sub(*since);
                // The capacity at the start of the window: it only grows after that.
                let warm_part = (from_ms as f64 / duration_ms.max(1.0)).min(1.0);
                let capacity_part = start_capacity + (1.0 - start_capacity) * warm_part;
                let n = cold_overload_multiple * most_served / total_size
                    * size
                    * capacity_part
                    * overload_window_ms as f64
                    / 1_000.0;
                let limit = n + 2.0 * n.sqrt() + 2.0;
                Window { server: id.clone(), from_ms, sent, limit, ratio: sent as f64 / limit }
            };
            buckets.keys().map(window).max_by(|a, b| a.ratio.total_cmp(&b.ratio))
        };
        let mut windows: Vec<Window> = self.starts.iter().filter_map(closest).collect();
        windows.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
        windows.truncate(MAX_REPORTED_WINDOWS);
        windows
    }
}

#[cfg(test)]
mod tests;
