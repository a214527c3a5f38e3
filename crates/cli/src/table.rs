//! `fircroft table`: the module's own Maglev table over a list, and what a change of servers moves.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::path::Path;

use anyhow::Context;
use serde::Serialize;
use serde_json::Value;
use woodgap::findings::Findings;
use woodgap::list::{server_number, List};
use woodgap::policy::{build_table, TABLE_SLOTS};
use woodgap::{ServerId, ServerState};

use crate::args::Table as Request;
use crate::{print_json, Verdict, WrongUse};

/// The longest input that is read: a list of some hundred thousand servers.
const LONGEST_INPUT: u64 = 64 << 20;

/// Servers by id, with their sizes.
type Fleet = BTreeMap<String, f64>;

/// What the table gives a server.
#[derive(Debug, PartialEq, Serialize)]
struct Row {
    id: String,
    size: f64,
    slots: usize,
    /// Slots that its size comes to.
    due: f64,
    /// Slots before the change, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    before: Option<usize>,
}

/// How evenly the slots are spread: the least and the most that any server has, as a part of its due.
#[derive(Debug, PartialEq, Serialize)]
struct Spread {
    least: f64,
    most: f64,
}

/// What a change moves.
#[derive(Debug, PartialEq, Serialize)]
struct Moved {
    /// Slots with another owner than before.
    slots: usize,
    /// The fewest that have to move to give each server as many as it has now.
    least: usize,
}

#[derive(Debug, PartialEq, Serialize)]
struct Report {
    table_slots: usize,
    servers: Vec<Row>,
    spread: Spread,
    #[serde(skip_serializing_if = "Option::is_none")]
    moved: Option<Moved>,
}

/// Prints the table of the servers that were asked for.
pub fn run(request: &Request, out: &mut impl Write) -> anyhow::Result<Verdict> {
    let mut fleet = match (&request.list, request.servers) {
        (Some(path), _) => read(path)?,
        (None, count) => (0..count.unwrap_or(0)).map(|n| (format!("s-{n}"), 1.0)).collect(),
    };
    if request.even {
        fleet.values_mut().for_each(|size| *size = 1.0);
    }
    let before = (!request.change.is_empty()).then(|| fleet.clone());
    change(&mut fleet, &request.change)?;
    anyhow::ensure!(!fleet.is_empty(), "no server is in service");
    let report = Report::new(&fleet, before.as_ref());
    if request.json {
        print_json(out, &report)?;
    } else {
        report.print(out)?;
    }
    Ok(Verdict::Done)
}

/// The servers in service of a list, or of the list that a node's configuration holds.
fn read(path: &Path) -> anyhow::Result<Fleet> {
    let (name, mut text) = (path.display().to_string(), String::new());
    let input: Box<dyn Read> = match path.to_str() {
        Some("-") => Box::new(std::io::stdin().lock()),
        _ => Box::new(std::fs::File::open(path).with_context(|| name.clone())?),
    };
    input.take(LONGEST_INPUT + 1).read_to_string(&mut text).with_context(|| name.clone())?;
    if text.len() as u64 > LONGEST_INPUT {
        return Err(WrongUse(format!("{name}: longer than {LONGEST_INPUT} bytes")).into());
    }
    let value: Value = serde_json::from_str(&text).map_err(|error| WrongUse(format!("{name}: {error}")))?;
    let (list, at) = value.get("known").map_or((&value, "list"), |known| (known, "known"));
    let mut findings = Findings::default();
    let list = List::read(list, at, &mut findings);
    let list = list.ok_or_else(|| WrongUse(format!("{name}: {findings}")))?;
    for finding in findings.all() {
        tracing::warn!(file = %name, "left out: {finding}");
    }
    let serving = list.entries.into_iter().filter(|entry| entry.state == ServerState::InService);
    let size = |size: f64| if size.is_finite() && size > 0.0 { size } else { 1.0 };
    Ok(serving.map(|entry| (entry.id, size(entry.size))).collect())
}

/// Adds and takes away what `--change` names.
fn change(fleet: &mut Fleet, changes: &[String]) -> Result<(), WrongUse> {
    for text in changes {
        let wrong = |what: &str| WrongUse(format!("--change '{text}': {what}"));
        if let Some(id) = text.strip_prefix('-').filter(|id| !id.is_empty()) {
            fleet.remove(id).ok_or_else(|| wrong("no server in service has this id"))?;
        } else if let Some(added) = text.strip_prefix('+').filter(|id| !id.is_empty()) {
            let (id, size) = added.split_once('=').unwrap_or((added, "1"));
            let size = size.parse().ok().filter(|size: &f64| size.is_finite() && *size > 0.0);
            let size = size.ok_or_else(|| wrong("the size after = has to be a number above 0"))?;
            if fleet.insert(id.to_owned(), size).is_some() {
                return Err(wrong("a server with this id is in service already"));
            }
        } else {
            return Err(wrong("expected +ID, +ID=SIZE or -ID"));
        }
    }
    Ok(())
}

/// Who owns each slot, as every node that has this list works it out.
fn owners(fleet: &Fleet) -> Vec<&str> {
    let mut taken = HashMap::new();
    let mut pairs = Vec::with_capacity(fleet.len());
    for (id, size) in fleet {
        let number = server_number(id, &taken);
        taken.insert(number, id.clone());
        pairs.push((ServerId(number), *size));
    }
    let ids: Vec<&str> = fleet.keys().map(String::as_str).collect();
    build_table(&pairs).iter().map(|&owner| ids[owner as usize]).collect()
}

fn counts<'a>(owners: &[&'a str]) -> HashMap<&'a str, usize> {
    let mut counts = HashMap::new();
    for owner in owners {
        *counts.entry(*owner).or_insert(0) += 1;
    }
    counts
}

impl Report {
    fn new(fleet: &Fleet, before: Option<&Fleet>) -> Report {
        let now = owners(fleet);
        let was = before.map(owners);
        let (held, held_before) = (counts(&now), was.as_deref().map(counts));
        let total: f64 = fleet.values().sum();
        let row = |(id, size): (&String, &f64)| Row {
            id: id.clone(),
            size: *size,
            slots: held.get(id.as_str()).copied().unwrap_or(0),
            due: size / total * TABLE_SLOTS as f64,
            before: held_before.as_ref().map(|held| held.get(id.as_str()).copied().unwrap_or(0)),
        };
        let servers: Vec<Row> = fleet.iter().map(row).collect();
        let parts = servers.iter().map(|row| row.slots as f64 / row.due);
        let spread =
            Spread { least: parts.clone().fold(f64::INFINITY, f64::min), most: parts.fold(0.0, f64::max) };
        let moved = was.zip(held_before).map(|(was, held_before)| Moved {
            slots: was.iter().zip(&now).filter(|(was, now)| was != now).count(),
            least: held_before
                .iter()
                .map(|(id, slots)| slots.saturating_sub(held.get(id).copied().unwrap_or(0)))
                .sum(),
        });
        Report { table_slots: TABLE_SLOTS, servers, spread, moved }
    }

    fn print(&self, out: &mut impl Write) -> std::io::Result<()> {
        let width = self.servers.iter().map(|row| row.id.chars().count()).max().unwrap_or(0).max(6);
        let changed = self.moved.is_some();
        writeln!(
            out,
            "{:width$}  {:>8}  {:>6}  {:>8}  {:>8}{}",
            "server",
            "size",
            "slots",
            "due",
            "off",
            if changed { "  before" } else { "" }
        )?;
        for row in &self.servers {
            let off = (row.slots as f64 / row.due - 1.0) * 100.0;
            let before = row.before.map_or(String::new(), |before| format!("  {before:>6}"));
            writeln!(
                out,
                "{:width$}  {:>8}  {:>6}  {:>8.1}  {:>+7.2}%{before}",
                row.id, row.size, row.slots, row.due, off
            )?;
        }
        let Spread { least, most } = self.spread;
        writeln!(
            out,
            "{} servers share {} slots; each has {least:.3} to {most:.3} of its due",
            self.servers.len(),
            self.table_slots
        )?;
        if let Some(Moved { slots, least }) = self.moved {
            let part = slots as f64 / self.table_slots as f64 * 100.0;
            let more =
                if least > 0 { format!("{:.2} times", slots as f64 / least as f64) } else { "none".into() };
            writeln!(out, "the change moves {slots} slots ({part:.2}%), {more} the least possible, {least}")?;
        }
        Ok(())
    }
}
