//! The audit with processes: 3 replicas, 12 nodes and 8 servers, each with its agent, and faults between them.
//! `RIG_SEED=N` draws another load.

mod scenarios;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use rig::checker::{attempts_by, faults, Case};
use rig::site::Site;
use serde_json::Value;

/// One site at a time: each has some fifty processes.
static ONE: Mutex<()> = Mutex::new(());

fn seed() -> u64 {
    std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Runs a scenario.
fn play<F: std::future::Future<Output = anyhow::Result<()>>>(scenario: impl FnOnce() -> F) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Err(error) = rig::site::run(scenario) {
        panic!("{error:?}");
    }
}

/// Holds what happened against the guarantees.
async fn check(site: &Site, faulty: &[&str]) -> anyhow::Result<()> {
    let (events, history) = (site.events.read()?, site.history().await?);
    let known = site.client.get("/v1/audit/revisions").await?;
    let committed: BTreeSet<u64> = known["revisions"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|spread| spread["revision"].as_u64())
        .collect();
    let faulty: BTreeSet<String> = faulty.iter().map(|name| (*name).to_owned()).collect();
    let cap = (site.plan.nodes as f64 * 0.17).floor().max(1.0) as usize;
    let found =
        faults(&Case { events: &events, history: &history, committed: &committed, faulty: &faulty, cap });
    anyhow::ensure!(found.is_empty(), "{} faults:\n{}", found.len(), found[..found.len().min(8)].join("\n"));
    Ok(())
}

/// Waits until the audit has counted exactly the attempts that the event file has.
async fn counts_agree(site: &Site) -> anyhow::Result<()> {
    site.wait("the audit counts what the event file has", async |site| {
        let mut said = Vec::new();
        let mut due = Vec::new();
        for ((revision, node), count) in attempts_by(&site.events.read()?) {
            let answer = site.client.get(&format!("/v1/audit/revisions/{revision}")).await?;
            let of = answer["acted"].as_array().into_iter().flatten().find(|acted| acted["node"] == *node);
            said.push(of.map_or(0, |of| of["seen"].as_u64().unwrap_or(0)));
            due.push(count);
        }
        anyhow::ensure!(said == due, "said {said:?}, due {due:?}");
        Ok(true)
    })
    .await?;
    Ok(())
}

fn node<'a>(audit: &'a Value, name: &str) -> &'a Value {
    &audit["nodes"][name]
}
