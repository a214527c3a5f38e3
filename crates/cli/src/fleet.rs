//! `fircroft fleet`: adds up what the nodes of a run counted, and says where requests, attempts, connections and
//! refusals went.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use anyhow::Context;
use serde::Serialize;
use serde_json::Value;

use crate::args::Fleet as Request;
use crate::cold::{ColdStarts, Window};
use crate::{print_json, Verdict, WrongUse};

type Counts = BTreeMap<String, u64>;

/// What all nodes did together.
#[derive(Debug, Default, PartialEq, Serialize)]
struct Report {
    /// Files with counts, and processes: a node that was started again counts anew.
    nodes: usize,
    processes: usize,
    /// Files without a line of counts.
    silent: usize,
    counts: Counts,
    /// The most requests that one node took, as a multiple of the mean.
    busiest: f64,
    /// What went to cold servers, where the nodes wrote it: the windows nearest to what topples one.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    cold: Vec<Window>,
}

/// Adds up the logs and prints the sum.
pub fn run(request: &Request, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let mut report = Report::default();
    let mut most = 0;
    let mut cold = ColdStarts::default();
    for file in files(&request.logs)? {
        let log = File::open(&file).with_context(|| file.display().to_string())?;
        let processes =
            processes(BufReader::new(log), &mut cold).with_context(|| file.display().to_string())?;
        report.nodes += usize::from(!processes.is_empty());
        report.silent += usize::from(processes.is_empty());
        report.processes += processes.len();
        let taken = processes.iter().filter_map(|counts| counts.get("requests")).sum::<u64>();
        most = most.max(taken);
        for (name, count) in processes.into_iter().flatten() {
            *report.counts.entry(name).or_insert(0) += count;
        }
    }
    if report.nodes == 0 {
        let asked = "nodes write counts with RUST_LOG=woodgap::counts=debug and BALANCER_LOG_FORMAT=json";
        return Err(WrongUse(format!("no line of counts in {} logs: {asked}", report.silent)).into());
    }
    let mean = report.count("requests") as f64 / report.nodes as f64;
    report.busiest = if mean > 0.0 { most as f64 / mean } else { 0.0 };
    report.cold = cold.nearest();
    if request.json {
        print_json(out, &report)?;
    } else {
        report.print(out)?;
    }
    Ok(Verdict::Done)
}

/// The files named, and those that lie in the folders named.
fn files(paths: &[PathBuf]) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let named = |path: &Path| path.display().to_string();
            for entry in path.read_dir().with_context(|| named(path))? {
                let entry = entry.with_context(|| named(path))?.path();
                files.extend(entry.is_file().then_some(entry));
            }
        } else {
            files.push(path.clone());
        }
    }
    files.sort();
    Ok(files)
}

/// The last counts of each process that wrote the log, one after the other. Lines that are none are passed over:
/// a killed process leaves half a line, and other programs may write to the same file.
fn processes(mut log: impl BufRead, cold: &mut ColdStarts) -> std::io::Result<Vec<Counts>> {
    let mut all: Vec<Counts> = Vec::new();
    let (mut line, mut fresh) = (Vec::new(), true);
    while log.read_until(b'\n', &mut line)? > 0 {
        // Whoever keeps the logs may have put a time before each line.
        let start = line.iter().position(|&byte| byte == b'{').unwrap_or(0);
        let value: Value = serde_json::from_slice(&line[start..]).unwrap_or_default();
        line.clear();
        let fields = &value["fields"];
        fresh |= fields["message"] == "ready";
        cold.take(fields);
        let Some(text) = fields["counts"].as_str() else { continue };
        let pairs = text.split(' ').filter_map(|pair| pair.split_once('='));
        let counts: Counts =
            pairs.filter_map(|(name, count)| Some((name.to_owned(), count.parse().ok()?))).collect();
        let served = counts.get("ok").copied().unwrap_or(0);
        let before = all.last().filter(|_| !fresh).and_then(|last| last.get("ok")).copied().unwrap_or(0);
        cold.served(value["timestamp"].as_str(), served.saturating_sub(before));
        if std::mem::take(&mut fresh) || all.is_empty() {
            all.push(counts);
        } else if let Some(last) = all.last_mut() {
            *last = counts;
        }
    }
    Ok(all)
}

impl Report {
    fn count(&self, name: &str) -> u64 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    fn sum(&self, names: &[&str]) -> u64 {
        names.iter().map(|name| self.count(name)).sum()
    }

    fn print(&self, out: &mut impl Write) -> std::io::Result<()> {
        let Report { nodes, processes, silent, busiest, .. } = self;
        writeln!(out, "{nodes} nodes, {processes} processes, {silent} logs without counts")?;
        writeln!(out, "busiest node {busiest:.2} times the mean")?;
        const ATTEMPTS: [&str; 8] =
            ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"];
        let ends = [
            "served",
            "refused_untried",
            "refused_tried",
            "failed_untried",
            "failed_tried",
            "late",
            "disconnected",
        ];
        let links = ["reused", "dialled", "dial_refused", "dial_silent", "no_socket"];
        let idle = ["idle_expired", "idle_freed", "idle_evicted", "idle_broken"];
        let requests = self.count("requests");
        let attempts = self.sum(&ATTEMPTS);
        self.part(out, "requests", requests, &ends)?;
        self.part(out, "attempts", attempts, &ATTEMPTS)?;
        self.part(out, "connections asked for", self.sum(&["reused", "dialled", "no_socket"]), &links)?;
        self.part(out, "idle connections closed", self.sum(&idle), &idle)?;
        writeln!(out, "probes {}", self.count("probes"))?;
        let each = |count: u64| count as f64 / requests.max(1) as f64;
        let (dialled, probes) = (each(self.count("dialled")), each(self.count("probes")));
        writeln!(
            out,
            "a request: {:.3} attempts, {dialled:.3} new connections, {probes:.3} probes",
            each(attempts)
        )?;
        for Window { server, from_ms, sent, bears, part } in &self.cold {
            writeln!(
                out,
                "cold {server}: {sent} sent from {from_ms} ms after its start, {bears:.0} topple it: {part:.2}"
            )?;
        }
        Ok(())
    }

    /// A sum and its parts.
    fn part(&self, out: &mut impl Write, what: &str, whole: u64, names: &[&str]) -> std::io::Result<()> {
        writeln!(out, "{what} {whole}")?;
        for name in names.iter().filter(|name| self.count(name) > 0) {
            let count = self.count(name);
            writeln!(out, "  {name:<16} {count:>9}  {:5.1}%", count as f64 / whole.max(1) as f64 * 100.0)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
