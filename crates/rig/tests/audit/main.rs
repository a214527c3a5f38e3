//! Tests the audit with real processes: 3 replicas, 12 nodes and 8 servers, each node and server with its agent, and
//! faults injected into the processes and the links between them. `RIG_SEED=N` draws another load.

mod scenarios;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use rig::checker::{count_attempts, find_violations, RunRecord};
use rig::site::Site;
use serde_json::Value;

/// Held while a site runs. Each site has some fifty processes, so only one runs at a time.
static SITE_LOCK: Mutex<()> = Mutex::new(());
/// Largest part of a pool or zone that the site's audit may shut out at once.
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
    let (events, history) = (site.events.read()?, site.fetch_history().await?);
    let response = site.client.get("/v1/audit/revisions").await?;
    let committed: BTreeSet<u64> = response["revisions"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|propagation| propagation["revision"].as_u64())
        .collect();
    let faulty_nodes: BTreeSet<String> = faulty_nodes.iter().map(|name| (*name).to_owned()).collect();
    let max_shut_out = (site.config.nodes as f64 * MAX_UNAVAILABLE_PART).floor().max(1.0) as usize;
    let violations = find_violations(&RunRecord {
        events: &events,
        history: &history,
        committed: &committed,
        faulty_nodes: &faulty_nodes,
        max_shut_out,
    });
    anyhow::ensure!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations[..violations.len().min(MAX_PRINTED_VIOLATIONS)].join("\n")
    );
    Ok(())
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
        anyhow::ensure!(observed == expected, "observed {observed:?}, expected {expected:?}");
        Ok(true)
    })
    .await?;
    Ok(())
}

fn node<'a>(audit: &'a Value, name: &str) -> &'a Value {
    &audit["nodes"][name]
}
