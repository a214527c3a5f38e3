//! Tests the audit with real processes: 3 replicas, 12 nodes and 8 servers, each node and server with its agent, and
//! faults injected into the processes and the links between them. `RIG_SEED=N` draws another load.

mod scenarios;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use anyhow::{ensure, Context};
use client::Client;
use rig::checker::{count_attempts, find_violations, RunRecord};
use rig::site::{fetch_history, Site};
use serde_json::Value;

/// Held while a site runs. Each site has some fifty processes, so only one runs at a time.
static SITE_LOCK: Mutex<()> = Mutex::new(());
/// Largest part of a pool or zone that the audit may shut out at once: `most_out` of [`rig::site::audit_config`].
const MAX_UNAVAILABLE_PART: f64 = 0.17;
/// Number of violations that a failed check prints.
const MAX_PRINTED_VIOLATIONS: usize = 8;

fn seed() -> u64 {
    std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

fn run_test<F: std::future::Future<Output = anyhow::Result<()>>>(scenario: impl FnOnce() -> F) {
    let _lock = SITE_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    if let Err(error) = rig::site::run_scenario(scenario) {
        panic!("{error:?}");
    }
}

/// Checks what happened against the guarantees.
async fn check_guarantees(site: &Site, faulty_nodes: &[&str]) -> anyhow::Result<()> {
    let events = site.events.read()?;
    let newest = events.iter().filter_map(|event| event["revision"].as_u64()).max().unwrap_or(0);
    let leader = wait_for_leader_with_revision(site, newest).await?;
    let (history, committed) = (fetch_history(&leader).await?, fetch_committed(&leader).await?);
    let faulty_nodes: BTreeSet<String> = faulty_nodes.iter().map(|name| (*name).to_owned()).collect();
    let max_shut_out = (site.config.nodes as f64 * MAX_UNAVAILABLE_PART).floor().max(1.0) as usize;
    let violations = find_violations(&RunRecord {
        events: &events,
        history: &history,
        committed: &committed,
        faulty_nodes: &faulty_nodes,
        max_shut_out,
    });
    ensure!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations[..violations.len().min(MAX_PRINTED_VIOLATIONS)].join("\n")
    );
    Ok(())
}

/// Waits until the leader has applied a revision, and returns a client of the leader only. Any other replica may have
/// been restarted a moment ago and lack the newest revisions and history entries.
async fn wait_for_leader_with_revision(site: &Site, revision: u64) -> anyhow::Result<Client> {
    let found = RefCell::new(None);
    site.wait_until(&format!("the leader has revision {revision} of the event file"), async |site| {
        let leader = site.find_leader().await.context("no replica leads")?;
        let client = site.new_replica_client(leader)?;
        let newest = fetch_committed(&client).await?.last().copied();
        ensure!(newest >= Some(revision), "the newest revision of replica {leader} is {newest:?}");
        found.replace(Some(client));
        Ok(true)
    })
    .await?;
    found.into_inner().context("no leader was found")
}

/// Returns the committed revisions by the audit of the replica that the client reaches.
async fn fetch_committed(client: &Client) -> anyhow::Result<BTreeSet<u64>> {
    let response = client.get("/v1/audit/revisions").await?;
    let revisions = response["revisions"].as_array().context("the response has no revisions")?;
    Ok(revisions.iter().filter_map(|propagation| propagation["revision"].as_u64()).collect())
}

/// Waits until the audit has observed exactly the attempts that the event file has.
async fn wait_for_equal_counts(site: &Site) -> anyhow::Result<()> {
    site.wait_until("the audit has the event file's counts of attempts", async |site| {
        let mut observed = Vec::new();
        let mut expected = Vec::new();
        for ((revision, node), count) in count_attempts(&site.events.read()?) {
            let response = site.client.get(&format!("/v1/audit/revisions/{revision}")).await?;
            let mut activities = response["acted"].as_array().into_iter().flatten();
            let activity = activities.find(|activity| activity["node"] == *node);
            observed.push(activity.map_or(0, |activity| activity["seen"].as_u64().unwrap_or(0)));
            expected.push(count);
        }
        ensure!(observed == expected, "observed {observed:?}, expected {expected:?}");
        Ok(true)
    })
    .await?;
    Ok(())
}

fn node<'a>(audit: &'a Value, name: &str) -> &'a Value {
    &audit["nodes"][name]
}
