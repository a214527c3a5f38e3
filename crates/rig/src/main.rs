//! `rig site`: a fleet at work on loopback. Three replicas, agents, nodes, stand-in servers and load; one node is a
//! straggler, the leader is killed, and what the audit says is printed as it goes.

use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{ensure, Context};
use rig::checker::{faults, Case};
use rig::site::{audit_times, Plan, Site};
use serde_json::Value;
use tokio::time::{sleep, Instant};

const USAGE: &str = "rig site [--seed N]   shows a fleet at work, in at most a minute once it is built\n\
    rig capacity          measures what each role costs by size, for docs/CAPACITY.md; some minutes\n\n\
    Exit codes: 0 all guarantees were kept, 1 one was not or a process failed, 2 wrong use";
/// The whole show, from the first process on.
const LONGEST: Duration = Duration::from_secs(60);
/// The straggler's place: it takes each list and acts on none.
const STUCK: usize = 4;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let seed = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["site"] => Some(1),
        ["site", "--seed", seed] => seed.parse().ok(),
        ["capacity"] => {
            return ended(rig::site::run(rig::capacity::measure));
        }
        _ => None,
    };
    let Some(seed) = seed else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    ended(rig::site::run(|| show(seed)))
}

fn ended(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rig: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn show(seed: u64) -> anyhow::Result<()> {
    tokio::select! {
        ended = play(seed) => ended,
        _ = tokio::signal::ctrl_c() => anyhow::bail!("stopped by Ctrl-C: no verdict"),
    }
}

/// Prints what the audit has written since the last look.
struct Reader {
    next: u64,
    start: Instant,
}

impl Reader {
    fn say(&self, text: &str) {
        println!("{:5.1} s  {text}", self.start.elapsed().as_secs_f64());
    }

    async fn read(&mut self, site: &Site) -> anyhow::Result<()> {
        let Ok(answer) = site.client.get(&format!("/v1/audit/history?from={}", self.next)).await else {
            return Ok(());
        };
        for line in answer["lines"].as_array().into_iter().flatten() {
            self.next = line["number"].as_u64().context("a line's number")? + 1;
            if let Some(text) = words(&line["what"]) {
                self.say(&text);
            }
        }
        Ok(())
    }
}

/// A verdict in words; what is merely seen has none.
fn words(what: &Value) -> Option<String> {
    let (kind, of) = what.as_object()?.iter().next()?;
    let node = of["node"].as_str().unwrap_or_default();
    let because = |why: &Value| {
        let by = why["by"]["server"]
            .as_str()
            .map_or("its own report".to_owned(), |server| format!("server {server}"));
        format!("acts on {} where {} was due, by {by}", why["revision"], why["needed"])
    };
    Some(match kind.as_str() {
        "climbed" => format!("audit: {node} is {}: {}", of["to"].as_str()?, because(&of["why"])),
        "recovered" => format!("audit: {node} has caught up"),
        "admitted" => format!("audit: {node} is admitted in {}", of["to"].as_str()?),
        "floor_rose" => format!("audit: the floor rises from {} to {}", of["from"], of["to"]),
        "held" => format!("audit: {node} is not shut out: {}", of["why"].as_str()?),
        "lied" => format!("audit: {node} says {} and acts on {}", of["says"], of["acts"]),
        "shared" => {
            format!("audit: {} of {} are behind in {}: a shared cause", of["behind"], of["all"], of["place"])
        }
        "not_shared" => format!("audit: no shared cause any more in {}", of["place"]),
        "lost" => format!("audit: nothing is heard of {node}'s agent"),
        _ => return None,
    })
}

async fn play(seed: u64) -> anyhow::Result<()> {
    println!("building and starting 3 replicas, 12 nodes and 8 servers, each with its agent");
    let plan = Plan { faults: BTreeMap::from([(STUCK, "stuck")]), ..Plan::default() };
    rig::binaries::Binaries::build()?;
    let start = Instant::now();
    let mut site = Site::start(plan, seed).await?;
    let mut reader = Reader { next: 1, start };
    reader.say("all are up; the front sends 150 requests a second");
    let name = format!("n{STUCK}");
    let admission = async |site: &Site| {
        let audit = site.audit().await.unwrap_or_default();
        audit["nodes"][&name]["admission"].as_str().unwrap_or_default().to_owned()
    };
    let revision = site.change().await?;
    reader.say(&format!("the list changes: revision {revision}; {name} takes it and does not act on it"));
    sleep(Duration::from_secs(1)).await;
    if let Ok(answer) = site.client.get(&format!("/v1/audit/revisions/{revision}")).await {
        let (spread, acted) = (&answer["spread"], answer["acted"].as_array().map_or(0, Vec::len));
        reader.say(&format!(
            "revision {revision}: {acted} of {} nodes act on it, half of them after {} ms; waits for {}",
            spread["nodes"], spread["half_ms"], spread["waits"]
        ));
    }
    let leader = site.leader().await.context("no leader to kill: void")?;
    site.kill_replica(leader).await?;
    reader.say(&format!("the leader, replica {leader}, is killed"));
    let mut repaired = false;
    let mut back = false;
    let mut restarted = false;
    while start.elapsed() < LONGEST {
        sleep(Duration::from_millis(700)).await;
        reader.read(&site).await?;
        if !restarted && start.elapsed() > Duration::from_secs(8) && site.leader().await.is_some() {
            site.start_replica(leader).await?;
            reader.say(&format!("replica {leader} is back, from its file"));
            restarted = true;
        }
        let now = admission(&site).await;
        if !repaired && now == "out" {
            site.repair_node(STUCK).await?;
            reader.say(&format!("{name} is restarted without its fault"));
            repaired = true;
        } else if repaired && now == "full" {
            back = true;
            break;
        }
        site.change().await?;
    }
    site.front.load_off();
    sleep(Duration::from_secs(1)).await;
    reader.read(&site).await?;
    let (sent, served) = site.front.counts();
    reader.say(&format!("{served} of {sent} requests were served"));
    ensure!(back, "{name} was not shut out and back within {LONGEST:?}\n{}", site.logs());
    let found = verdict(&site, &name).await?;
    found.iter().for_each(|fault| println!("FAULT {fault}"));
    ensure!(found.is_empty(), "{} guarantees were broken", found.len());
    println!("checkers: all guarantees kept");
    Ok(())
}

async fn verdict(site: &Site, faulty: &str) -> anyhow::Result<Vec<String>> {
    let (events, history) = (site.events.read()?, site.history().await?);
    let known = site.client.get("/v1/audit/revisions").await?;
    let revisions = known["revisions"].as_array().into_iter().flatten();
    let committed: BTreeSet<u64> = revisions.filter_map(|spread| spread["revision"].as_u64()).collect();
    let part = audit_times(true)["most_out"].as_f64().unwrap_or(0.0);
    let cap = ((site.plan.nodes as f64 * part).floor() as usize).max(1);
    let faulty = BTreeSet::from([faulty.to_owned()]);
    Ok(faults(&Case { events: &events, history: &history, committed: &committed, faulty: &faulty, cap }))
}
