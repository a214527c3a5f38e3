//! The program `rig`: `rig site` demonstrates a deployment with faults, `rig capacity` measures what each role costs, `rig
//! soak` looks for violations of the rules under drawn faults.
//!
//! `rig site` runs three replicas, agents, nodes, fake servers and a load generator on loopback. One node is a
//! straggler and the leader is killed. The audit's verdicts are printed as they are made, and the guarantees are
//! checked at the end.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{ensure, Context};
use clap::Parser;
use rig::binaries::Binaries;
use rig::checker::{find_violations, RunRecord};
use rig::site::{audit_config, Site, SiteConfig};
use rig::soak::plan::Plan;
use rig::soak::{run_plan, Report};
use serde_json::Value;
use tokio::time::{sleep, Instant};

/// Time limit of the demonstration, from the start of the first process.
const DEMO_TIMEOUT: Duration = Duration::from_secs(60);
/// How long after its start the demonstration restarts the killed leader, once there is a new one.
const RESTART_LEADER_AFTER: Duration = Duration::from_secs(8);
/// Time between two changes of the list.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Index of the straggler: a node that ignores every list after its first.
const STUCK_NODE: usize = 4;

/// Runs several processes of fircroft on loopback, with faults. Exit codes: 0 all guarantees were kept, 1 a guarantee was
/// violated or a process failed, 2 wrong usage.
#[derive(Parser)]
enum Command {
    /// Demonstrates a deployment with faults, in at most a minute once it is built.
    Site {
        /// Draws the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures what each role costs by size, for docs/CAPACITY.md; takes some minutes.
    Capacity,
    /// Runs nodes under drawn faults and checks every answer, run and process; prints a table.
    Soak {
        /// Draws the first run; each further run has the next seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of runs.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Length of the load of each run, in seconds.
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// The node's program, instead of one that is built from this workspace.
        #[arg(long)]
        node: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let result = match Command::parse() {
        Command::Site { seed } => rig::site::run_scenario(|| run_interruptible_demo(seed)),
        Command::Capacity => rig::site::run_scenario(rig::capacity::measure),
        Command::Soak { seed, runs, seconds, node } => {
            run_soak(seed..seed + runs, Duration::from_secs(seconds), node)
        }
    };
    report_result(result)
}

/// Runs the soak once for each seed and prints the table, and the violations behind it.
fn run_soak(seeds: Range<u64>, duration: Duration, node: Option<PathBuf>) -> anyhow::Result<()> {
    let node = node.map_or_else(|| Ok(Binaries::build()?.node), anyhow::Ok)?;
    let mut violations = Vec::new();
    println!("{}", Report::HEAD);
    for seed in seeds {
        rig::site::run_scenario(|| async {
            let report = run_plan(Plan::draw(seed, duration), &node).await?;
            println!("{report}");
            violations.extend(report.violations.into_iter().map(|violation| (seed, violation)));
            Ok(())
        })?;
    }
    for (seed, violation) in &violations {
        eprintln!("seed {seed}: {violation}");
    }
    ensure!(violations.is_empty(), "{} violations", violations.len());
    Ok(())
}

fn report_result(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rig: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_interruptible_demo(seed: u64) -> anyhow::Result<()> {
    tokio::select! {
        result = run_demo(seed) => result,
        _ = tokio::signal::ctrl_c() => anyhow::bail!("stopped by Ctrl-C: no verdict"),
    }
}

/// Prints what happens with the time since the start, and the new entries of the audit's history.
struct DemoPrinter {
    next_entry: u64,
    start: Instant,
}

impl DemoPrinter {
    fn print(&self, text: &str) {
        println!("{:5.1} s  {text}", self.start.elapsed().as_secs_f64());
    }

    async fn print_new_entries(&mut self, site: &Site) -> anyhow::Result<()> {
        let path = format!("/v1/audit/history?from={}", self.next_entry);
        let Ok(response) = site.client.get(&path).await else {
            return Ok(());
        };
        for entry in response["lines"].as_array().into_iter().flatten() {
            self.next_entry = entry["number"].as_u64().context("a history entry has no number")? + 1;
            if let Some(text) = describe_record(&entry["what"]) {
                self.print(&text);
            }
        }
        Ok(())
    }
}

/// Describes a verdict of the audit's history. `None` for records that are no verdicts.
fn describe_record(record: &Value) -> Option<String> {
    let (kind, fields) = record.as_object()?.iter().next()?;
    let node = fields["node"].as_str().unwrap_or_default();
    let describe_evidence = |evidence: &Value| {
        let source = evidence["by"]["server"]
            .as_str()
            .map_or("its own report".to_owned(), |server| format!("server {server}"));
        format!("acts on {} where {} was due, by {source}", evidence["revision"], evidence["needed"])
    };
    Some(match kind.as_str() {
        "climbed" => {
            format!("audit: {node} is {}: {}", fields["to"].as_str()?, describe_evidence(&fields["why"]))
        }
        "recovered" => format!("audit: {node} has caught up"),
        "admitted" => format!("audit: {node} is admitted in {}", fields["to"].as_str()?),
        "floor_rose" => format!("audit: the floor is raised from {} to {}", fields["from"], fields["to"]),
        "held" => format!("audit: {node} is not shut out: {}", fields["why"].as_str()?),
        "lied" => format!("audit: {node} reports {} and acts on {}", fields["says"], fields["acts"]),
        "shared" => {
            let (behind, total, scope) = (&fields["behind"], &fields["all"], &fields["place"]);
            format!("audit: {behind} of {total} nodes are behind in {scope}: a shared cause")
        }
        "not_shared" => format!("audit: no shared cause any more in {}", fields["place"]),
        "lost" => format!("audit: the lease of {node} has expired"),
        _ => return None,
    })
}

async fn run_demo(seed: u64) -> anyhow::Result<()> {
    println!("building and starting 3 replicas, 12 nodes and 8 servers, each with its agent");
    let node_faults = BTreeMap::from([(STUCK_NODE, "stuck")]);
    let config = SiteConfig { node_faults, ..SiteConfig::default() };
    rig::binaries::Binaries::build()?;
    let start = Instant::now();
    let mut site = Site::start(config, seed).await?;
    let mut printer = DemoPrinter { next_entry: 1, start };
    printer.print("all processes are ready; the load generator sends 150 requests per second");
    let straggler = format!("n{STUCK_NODE}");
    let fetch_admission = async |site: &Site| {
        let audit = site.fetch_audit().await.unwrap_or_default();
        audit["nodes"][&straggler]["admission"].as_str().unwrap_or_default().to_owned()
    };
    let revision = site.change_list().await?;
    printer.print(&format!(
        "the list changes: revision {revision}; {straggler} takes it and does not act on it"
    ));
    sleep(Duration::from_secs(1)).await;
    if let Ok(response) = site.client.get(&format!("/v1/audit/revisions/{revision}")).await {
        let (propagation, acted) = (&response["spread"], response["acted"].as_array().map_or(0, Vec::len));
        printer.print(&format!(
            "revision {revision}: {acted} of {} nodes act on it, half of them after {} ms; waits for {}",
            propagation["nodes"], propagation["half_ms"], propagation["waits"]
        ));
    }
    let leader = site.find_leader().await.context("inconclusive: no leader to kill")?;
    site.kill_replica(leader).await?;
    printer.print(&format!("the leader, replica {leader}, is killed"));
    let mut is_repaired = false;
    let mut is_readmitted = false;
    let mut is_leader_restarted = false;
    while start.elapsed() < DEMO_TIMEOUT {
        sleep(CHANGE_INTERVAL).await;
        printer.print_new_entries(&site).await?;
        if !is_leader_restarted
            && start.elapsed() > RESTART_LEADER_AFTER
            && site.find_leader().await.is_some()
        {
            site.start_replica(leader).await?;
            printer.print(&format!("replica {leader} is restarted from its data directory"));
            is_leader_restarted = true;
        }
        let admission = fetch_admission(&site).await;
        if !is_repaired && admission == "out" {
            site.repair_node(STUCK_NODE).await?;
            printer.print(&format!("{straggler} is restarted without its fault"));
            is_repaired = true;
        } else if is_repaired && admission == "full" {
            is_readmitted = true;
            break;
        }
        site.change_list().await?;
    }
    site.load_generator.stop();
    sleep(Duration::from_secs(1)).await;
    printer.print_new_entries(&site).await?;
    let (sent, served) = site.load_generator.request_counts();
    printer.print(&format!("{served} of {sent} requests were served"));
    ensure!(
        is_readmitted,
        "{straggler} was not shut out and fully readmitted within {DEMO_TIMEOUT:?}\n{}",
        site.logs()
    );
    let violations = check_guarantees(&site, &straggler).await?;
    violations.iter().for_each(|violation| println!("VIOLATION {violation}"));
    ensure!(violations.is_empty(), "guarantees were violated {} times", violations.len());
    println!("checkers: all guarantees kept");
    Ok(())
}

async fn check_guarantees(site: &Site, faulty_node: &str) -> anyhow::Result<Vec<String>> {
    let (events, history) = (site.events.read()?, site.fetch_history().await?);
    let response = site.client.get("/v1/audit/revisions").await?;
    let revisions = response["revisions"].as_array().into_iter().flatten();
    let committed: BTreeSet<u64> =
        revisions.filter_map(|propagation| propagation["revision"].as_u64()).collect();
    let max_unavailable_part = audit_config(true)["most_out"].as_f64().unwrap_or(0.0);
    let max_shut_out = ((site.config.nodes as f64 * max_unavailable_part).floor() as usize).max(1);
    let faulty_nodes = BTreeSet::from([faulty_node.to_owned()]);
    Ok(find_violations(&RunRecord {
        events: &events,
        history: &history,
        committed: &committed,
        faulty_nodes: &faulty_nodes,
        max_shut_out,
    }))
}
