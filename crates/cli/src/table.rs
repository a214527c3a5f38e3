//! `fircroft table`: builds the policy's Maglev table for a list of servers and shows how many slots each
//! server owns and how many a change of servers moves.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::path::Path;

use anyhow::Context;
use serde::Serialize;
use serde_json::Value;
use woodgap::findings::Findings;
use woodgap::list::{assign_server_number, ServerList};
use woodgap::policy::{build_table, TABLE_SLOTS};
use woodgap::{ServerId, ServerState};

use crate::args::Table as TableArgs;
use crate::{print_json, ExitStatus, UsageError};

/// The longest input that is read: a list of some hundred thousand servers.
const MAX_INPUT_BYTES: u64 = 64 << 20;

/// Sizes of the servers by id.
type ServerSizes = BTreeMap<String, f64>;

/// A server and its slots.
#[derive(Debug, PartialEq, Serialize)]
struct Row {
    id: String,
    size: f64,
    slots: usize,
    /// Slots in exact proportion to the size.
    #[serde(rename = "due")]
    proportional_slots: f64,
    /// Slots before the change, if there is one.
    #[serde(rename = "before", skip_serializing_if = "Option::is_none")]
    slots_before: Option<usize>,
}

/// The lowest and the highest ratio of a server's slots to its proportional slots.
#[derive(Debug, PartialEq, Serialize)]
struct Spread {
    #[serde(rename = "least")]
    min_ratio: f64,
    #[serde(rename = "most")]
    max_ratio: f64,
}

/// What a change of servers moves.
#[derive(Debug, PartialEq, Serialize)]
struct Moved {
    /// Slots with another owner than before.
    slots: usize,
    /// Fewest slots that any table has to move to give each server its present number of slots.
    #[serde(rename = "least")]
    min_slots: usize,
}

#[derive(Debug, PartialEq, Serialize)]
struct Report {
    table_slots: usize,
    servers: Vec<Row>,
    spread: Spread,
    #[serde(skip_serializing_if = "Option::is_none")]
    moved: Option<Moved>,
}

/// Prints the table of the servers that the arguments name.
pub fn run(args: &TableArgs, out: &mut impl Write) -> anyhow::Result<ExitStatus> {
    let mut servers = match (&args.list, args.servers) {
        (Some(path), _) => read_servers(path)?,
        (None, count) => (0..count.unwrap_or(0)).map(|n| (format!("s-{n}"), 1.0)).collect(),
    };
    if args.even {
        servers.values_mut().for_each(|size| *size = 1.0);
    }
    let before = (!args.change.is_empty()).then(|| servers.clone());
    apply_changes(&mut servers, &args.change)?;
    anyhow::ensure!(!servers.is_empty(), "no server is in service");
    let report = Report::new(&servers, before.as_ref());
    if args.json {
        print_json(out, &report)?;
    } else {
        report.print(out)?;
    }
    Ok(ExitStatus::Success)
}

/// Reads the servers in service from a list, or from the list in a node's configuration; `-` is standard
/// input.
fn read_servers(path: &Path) -> anyhow::Result<ServerSizes> {
    let (name, mut text) = (path.display().to_string(), String::new());
    let input: Box<dyn Read> = match path.to_str() {
        Some("-") => Box::new(std::io::stdin().lock()),
        _ => Box::new(std::fs::File::open(path).with_context(|| name.clone())?),
    };
    input.take(MAX_INPUT_BYTES + 1).read_to_string(&mut text).with_context(|| name.clone())?;
    if text.len() as u64 > MAX_INPUT_BYTES {
        return Err(UsageError(format!("{name}: longer than {MAX_INPUT_BYTES} bytes")).into());
    }
    let value: Value = serde_json::from_str(&text).map_err(|error| UsageError(format!("{name}: {error}")))?;
    let (list, list_path) = value.get("known").map_or((&value, "list"), |known| (known, "known"));
    let mut findings = Findings::default();
    let list = ServerList::parse(list, list_path, &mut findings);
    let list = list.ok_or_else(|| UsageError(format!("{name}: {findings}")))?;
    for finding in findings.all() {
        tracing::warn!(file = %name, "ignored in the list: {finding}");
    }
    let in_service = list.entries.into_iter().filter(|entry| entry.state == ServerState::InService);
    // The policy also replaces a size that is not a positive number by 1.
    let valid_size = |size: f64| if size.is_finite() && size > 0.0 { size } else { 1.0 };
    Ok(in_service.map(|entry| (entry.id, valid_size(entry.size))).collect())
}

/// Adds and removes the servers that `--change` names.
fn apply_changes(servers: &mut ServerSizes, changes: &[String]) -> Result<(), UsageError> {
    for text in changes {
        let error = |message: &str| UsageError(format!("--change '{text}': {message}"));
        if let Some(id) = text.strip_prefix('-').filter(|id| !id.is_empty()) {
            servers.remove(id).ok_or_else(|| error("no server in service has this id"))?;
        } else if let Some(added) = text.strip_prefix('+').filter(|id| !id.is_empty()) {
            let (id, size) = added.split_once('=').unwrap_or((added, "1"));
            let size = size.parse().ok().filter(|size: &f64| size.is_finite() && *size > 0.0);
            let size = size.ok_or_else(|| error("the size after = has to be a number above 0"))?;
            if servers.insert(id.to_owned(), size).is_some() {
                return Err(error("a server with this id is in service already"));
            }
        } else {
            return Err(error("expected +ID, +ID=SIZE or -ID"));
        }
    }
    Ok(())
}

/// The owner of each slot, as every node with this list computes it.
fn slot_owners(servers: &ServerSizes) -> Vec<&str> {
    let mut taken = HashMap::new();
    let mut weights = Vec::with_capacity(servers.len());
    for (id, size) in servers {
        let number = assign_server_number(id, &taken);
        taken.insert(number, id.clone());
        weights.push((ServerId(number), *size));
    }
    let ids: Vec<&str> = servers.keys().map(String::as_str).collect();
    build_table(&weights).iter().map(|&owner| ids[owner as usize]).collect()
}

fn count_slots<'a>(owners: &[&'a str]) -> HashMap<&'a str, usize> {
    let mut counts = HashMap::new();
    for owner in owners {
        *counts.entry(*owner).or_insert(0) += 1;
    }
    counts
}

impl Report {
    fn new(servers: &ServerSizes, before: Option<&ServerSizes>) -> Report {
        let owners = slot_owners(servers);
        let owners_before = before.map(slot_owners);
        let (slots, slots_before) = (count_slots(&owners), owners_before.as_deref().map(count_slots));
        let total_size: f64 = servers.values().sum();
        let row = |(id, size): (&String, &f64)| Row {
            id: id.clone(),
            size: *size,
            slots: slots.get(id.as_str()).copied().unwrap_or(0),
            proportional_slots: size / total_size * TABLE_SLOTS as f64,
            slots_before: slots_before
                .as_ref()
                .map(|slots_before| slots_before.get(id.as_str()).copied().unwrap_or(0)),
        };
        let rows: Vec<Row> = servers.iter().map(row).collect();
        let ratios = rows.iter().map(|row| row.slots as f64 / row.proportional_slots);
        let spread = Spread {
            min_ratio: ratios.clone().fold(f64::INFINITY, f64::min),
            max_ratio: ratios.fold(0.0, f64::max),
        };
        let moved = owners_before.zip(slots_before).map(|(owners_before, slots_before)| Moved {
            slots: owners_before.iter().zip(&owners).filter(|(before, now)| before != now).count(),
            min_slots: slots_before
                .iter()
                .map(|(id, before)| before.saturating_sub(slots.get(id).copied().unwrap_or(0)))
                .sum(),
        });
        Report { table_slots: TABLE_SLOTS, servers: rows, spread, moved }
    }

    fn print(&self, out: &mut impl Write) -> std::io::Result<()> {
        let width = self.servers.iter().map(|row| row.id.chars().count()).max().unwrap_or(0).max(6);
        let is_changed = self.moved.is_some();
        writeln!(
            out,
            "{:width$}  {:>8}  {:>6}  {:>8}  {:>8}{}",
            "server",
            "size",
            "slots",
            "due",
            "off",
            if is_changed { "  before" } else { "" }
        )?;
        for row in &self.servers {
            let deviation_percent = (row.slots as f64 / row.proportional_slots - 1.0) * 100.0;
            let before = row.slots_before.map_or(String::new(), |before| format!("  {before:>6}"));
            writeln!(
                out,
                "{:width$}  {:>8}  {:>6}  {:>8.1}  {:>+7.2}%{before}",
                row.id, row.size, row.slots, row.proportional_slots, deviation_percent
            )?;
        }
        let Spread { min_ratio, max_ratio } = self.spread;
        writeln!(
            out,
            "{} servers share {} slots; each has {min_ratio:.3} to {max_ratio:.3} of the slots due to its size",
            self.servers.len(),
            self.table_slots
        )?;
        if let Some(Moved { slots, min_slots }) = self.moved {
            let percent = slots as f64 / self.table_slots as f64 * 100.0;
            let ratio =
                if min_slots > 0 { format!("{:.2}", slots as f64 / min_slots as f64) } else { "none".into() };
            writeln!(
                out,
                "the change moves {slots} slots ({percent:.2}%); lowest possible number {min_slots}, ratio {ratio}"
            )?;
        }
        Ok(())
    }
}
