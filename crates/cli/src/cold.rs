//! What all nodes together sent to servers while they were cold, against what topples one.
//!
//! A cold server falls when it gets more than N + 2 root N + 2 requests of mean work in the settings' window, N being
//! the settings' multiple of what it can do then. What a warm server can do is not told: it is taken as the most that
//! the fleet was seen to serve in a second for its servers' sizes, so a fleet with room to spare looks nearer to the
//! limit than it is.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// Windows that are shown.
const SHOWN: usize = 5;

/// The settings' figures, as the nodes' lines repeat them.
#[derive(Clone, Copy, Default)]
struct Rules {
    start: f64,
    span_ms: f64,
    multiple: f64,
    window_ms: u64,
}

/// What went to one server in one window.
#[derive(Debug, PartialEq, Serialize)]
pub struct Window {
    pub server: String,
    /// After its process started.
    pub from_ms: u64,
    pub sent: u64,
    /// More than this topples it.
    pub bears: f64,
    /// One as a part of the other.
    pub part: f64,
}

/// A start of a server: its size, and sends by the time of their bucket.
struct Start {
    size: f64,
    buckets: BTreeMap<u64, u64>,
}

/// What the logs say of cold servers.
#[derive(Default)]
pub struct ColdStarts {
    rules: Rules,
    /// The least size of all servers in service that a node named.
    able: Option<f64>,
    /// By server and time of its start.
    starts: BTreeMap<(String, u64), Start>,
    /// Attempts served in each second of the log.
    served: BTreeMap<String, u64>,
}

impl ColdStarts {
    /// Takes a line's fields; one that says nothing of cold servers is passed over.
    pub fn take(&mut self, fields: &Value) {
        let Some(text) = fields["cold"].as_str() else { return };
        let real = |name: &str| fields[name].as_f64().unwrap_or(0.0);
        self.rules = Rules {
            start: real("start"),
            span_ms: real("span_ms"),
            multiple: real("multiple"),
            window_ms: fields["window_ms"].as_u64().unwrap_or(0),
        };
        let able = real("able");
        self.able = Some(self.able.map_or(able, |least| least.min(able)));
        for start in text.split(' ') {
            let mut parts = start.split(',');
            let head = parts.next().and_then(|head| {
                let (id, rest) = head.rsplit_once('@')?;
                let (since, size) = rest.split_once('/')?;
                Some(((id.to_owned(), since.parse().ok()?), size.parse::<f64>().ok()?))
            });
            let Some((key, size)) = head else { continue };
            let Start { buckets, .. } =
                self.starts.entry(key).or_insert_with(|| Start { size, buckets: BTreeMap::new() });
            let pairs = parts.filter_map(|part| part.split_once('='));
            for (at, count) in pairs.filter_map(|(at, n)| Some((at.parse().ok()?, n.parse::<u64>().ok()?))) {
                *buckets.entry(at).or_insert(0) += count;
            }
        }
    }

    /// Attempts that a node saw served up to a line's time, since its line before.
    pub fn served(&mut self, at: Option<&str>, count: u64) {
        let second = at.and_then(|text| text.split('.').next()).unwrap_or_default();
        *self.served.entry(second.to_owned()).or_insert(0) += count;
    }

    /// The windows that came nearest to toppling their server, one for each start.
    pub fn nearest(&self) -> Vec<Window> {
        let most = self.served.values().copied().max().unwrap_or(0) as f64;
        let Some(able) = self.able.filter(|&able| able > 0.0 && most > 0.0) else { return Vec::new() };
        let Rules { start, span_ms, multiple, window_ms } = self.rules;
        let nearest = |((id, since), Start { size, buckets }): (&(String, u64), &Start)| {
            let window = |&from: &u64| {
                let sent: u64 = buckets.range(from..from + window_ms).map(|(_, count)| count).sum();
                let from_ms = from.saturating_sub(*since);
                // What it can do when the window begins: it only grows.
                let warmth = start + (1.0 - start) * (from_ms as f64 / span_ms.max(1.0)).min(1.0);
                let n = multiple * most / able * size * warmth * window_ms as f64 / 1_000.0;
                let bears = n + 2.0 * n.sqrt() + 2.0;
                Window { server: id.clone(), from_ms, sent, bears, part: sent as f64 / bears }
            };
            buckets.keys().map(window).max_by(|a, b| a.part.total_cmp(&b.part))
        };
        let mut all: Vec<Window> = self.starts.iter().filter_map(nearest).collect();
        all.sort_by(|a, b| b.part.total_cmp(&a.part));
        all.truncate(SHOWN);
        all
    }
}

#[cfg(test)]
mod tests;
