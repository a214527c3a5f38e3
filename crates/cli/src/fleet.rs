//! `fircroft fleet`: adds up the counts in the logs of nodes and prints how requests, attempts and
//! connections ended.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::Serialize;
use serde_json::Value;

use crate::args::Fleet as FleetArgs;
use crate::cold_starts::{ColdStarts, Window};
use crate::{print_json, ExitStatus, UsageError};

/// Counts by name, as in a node's `counts` line.
type Counts = BTreeMap<String, u64>;

/// The counts of all nodes together.
#[derive(Debug, Default, PartialEq, Serialize)]
struct Report {
    /// Logs with counts.
    nodes: usize,
    /// Processes that wrote them: a node that restarts begins to count at zero.
    processes: usize,
    /// Logs without counts.
    #[serde(rename = "silent")]
    logs_without_counts: usize,
    counts: Counts,
    /// Requests of the node with the most requests, as a multiple of the mean.
    #[serde(rename = "busiest")]
    busiest_node_ratio: f64,
    /// The windows in which cold servers came closest to an overload, if the nodes logged what they sent to
    /// them.
    #[serde(rename = "cold", skip_serializing_if = "Vec::is_empty")]
    cold_windows: Vec<Window>,
}

/// Adds up the logs and prints the report.
pub fn run(args: &FleetArgs, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let mut report = Report::default();
    let mut most_requests = 0;
    let mut cold_starts = ColdStarts::default();
    for file in log_files(&args.logs)? {
        let log = File::open(&file).with_context(|| file.display().to_string())?;
        let processes = read_processes(BufReader::new(log), &mut cold_starts)
            .with_context(|| file.display().to_string())?;
        report.nodes += usize::from(!processes.is_empty());
        report.logs_without_counts += usize::from(processes.is_empty());
        report.processes += processes.len();
        let requests = processes.iter().filter_map(|counts| counts.get("requests")).sum::<u64>();
        most_requests = most_requests.max(requests);
        for (name, count) in processes.into_iter().flatten() {
            *report.counts.entry(name).or_insert(0) += count;
        }
    }
    if report.nodes == 0 {
        let logs = report.logs_without_counts;
        let hint = "nodes write counts with RUST_LOG=woodgap::counts=debug and BALANCER_LOG_FORMAT=json";
        return Err(UsageError(format!("no line of counts in {logs} logs: {hint}")).into());
    }
    let mean = report.count("requests") as f64 / report.nodes as f64;
    report.busiest_node_ratio = if mean > 0.0 { most_requests as f64 / mean } else { 0.0 };
    report.cold_windows = cold_starts.closest_windows();
    if args.json {
        print_json(out, &report)?;
    } else {
        report.print(out)?;
    }
    Ok(ExitStatus::Success)
}

/// The files of `paths`, and the files in the folders of `paths`, in order of their paths.
fn log_files(paths: &[PathBuf]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let path_text = |path: &Path| path.display().to_string();
            for entry in path.read_dir().with_context(|| path_text(path))? {
                let entry = entry.with_context(|| path_text(path))?.path();
                files.extend(entry.is_file().then_some(entry));
            }
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    Ok(files)
}

/// Reads the last counts of each process that wrote to the log, in order. Lines without counts are skipped: a
/// killed process leaves an incomplete line, and other programs may write to the same file.
fn read_processes(mut log: impl BufRead, cold_starts: &mut ColdStarts) -> std::io::Result<Vec<Counts>> {
    let mut processes: Vec<Counts> = Vec::new();
    let (mut line, mut is_new_process) = (Vec::new(), true);
    while log.read_until(b'\n', &mut line)? > 0 {
        // A log collector may have put a timestamp before the JSON.
        let start = line.iter().position(|&byte| byte == b'{').unwrap_or(0);
        let value: Value = serde_json::from_slice(&line[start..]).unwrap_or_default();
        line.clear();
        let fields = &value["fields"];
        is_new_process |= fields["message"] == "ready";
        cold_starts.add_line(fields);
        let Some(text) = fields["counts"].as_str() else { continue };
        let pairs = text.split(' ').filter_map(|pair| pair.split_once('='));
        let counts: Counts =
            pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?))).collect();
        let served = counts.get("ok").copied().unwrap_or(0);
        let previous = processes.last().filter(|_| !is_new_process);
        let served_before = previous.and_then(|counts| counts.get("ok")).copied().unwrap_or(0);
        cold_starts.add_served(value["timestamp"].as_str(), served.saturating_sub(served_before));
        if std::mem::take(&mut is_new_process) || processes.is_empty() {
            processes.push(counts);
        } else if let Some(last) = processes.last_mut() {
            *last = counts;
        }
    }
    Ok(processes)
}

impl Report {
    fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    fn sum(&self, names: &[&str]) -> u64 {
        names.iter().map(|name| self.count(name)).sum()
    }

    fn print(&self, out: &mut impl Write) -> std::io::Result<()> {
        let Report { nodes, processes, logs_without_counts, busiest_node_ratio, .. } = self;
        writeln!(out, "{nodes} nodes, {processes} processes, {logs_without_counts} logs without counts")?;
        writeln!(out, "busiest node {busiest_node_ratio:.2} times the mean")?;
        const REQUEST_ENDS: [&str; 7] = [
            "served",
            "refused_untried",
            "refused_tried",
            "failed_untried",
            "failed_tried",
            "late",
            "disconnected",
        ];
        const ATTEMPT_OUTCOMES: [&str; 8] =
            ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"];
        // A refused or timed-out dial counts as `dialled` as well, so the total is the sum of only three.
        const CONNECTION_OUTCOMES: [&str; 5] =
            ["reused", "dialled", "dial_refused", "dial_silent", "no_socket"];
        const IDLE_CLOSES: [&str; 4] = ["idle_expired", "idle_freed", "idle_evicted", "idle_broken"];
        let requests = self.count("requests");
        let attempts = self.sum(&ATTEMPT_OUTCOMES);
        let connections = self.sum(&["reused", "dialled", "no_socket"]);
        self.print_breakdown(out, "requests", requests, &REQUEST_ENDS)?;
        self.print_breakdown(out, "attempts", attempts, &ATTEMPT_OUTCOMES)?;
        self.print_breakdown(out, "connections requested", connections, &CONNECTION_OUTCOMES)?;
        self.print_breakdown(out, "idle connections closed", self.sum(&IDLE_CLOSES), &IDLE_CLOSES)?;
        writeln!(out, "probes {}", self.count("probes"))?;
        let per_request = |count: u64| count as f64 / requests.max(1) as f64;
        let (dialled, probes) = (per_request(self.count("dialled")), per_request(self.count("probes")));
        writeln!(
            out,
            "per request: {:.3} attempts, {dialled:.3} new connections, {probes:.3} probes",
            per_request(attempts)
        )?;
        for Window { server, from_ms, sent, limit, ratio } in &self.cold_windows {
            writeln!(
                out,
                "cold {server}: {sent} requests sent in the window from {from_ms} ms after its start, overloaded \
                above {limit:.0}, ratio {ratio:.2}"
            )?;
        }
        Ok(())
    }

    /// Prints a total, and below it each count that is not 0 with its percentage of the total.
    fn print_breakdown(
        &self,
        out: &mut impl Write,
        label: &str,
        total: u64,
        names: &[&str],
    ) -> std::io::Result<()> {
        writeln!(out, "{label} {total}")?;
        for name in names.iter().filter(|name| self.count(name) > 0) {
            let count = self.count(name);
            writeln!(out, "  {name:<16} {count:>9}  {:5.1}%", count as f64 / total.max(1) as f64 * 100.0)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
