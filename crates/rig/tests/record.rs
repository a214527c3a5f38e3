//! Tests the registry with real processes: acknowledged writes survive the kill of any minority of the replicas at any
//! time, and of all replicas; no command is applied twice; a watch neither loses nor repeats a change.
//! `RIG_SEED=N` draws another schedule.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{ensure, Context};
use client::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::relay::Mode;
use rig::site::{Site, SiteConfig, WAIT_TIMEOUT};
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

const WRITER_COUNT: usize = 4;
const WRITES_PER_WRITER: usize = 60;

/// The acknowledged writes: the revision by the member's id.
type AcknowledgedWrites = Rc<RefCell<BTreeMap<String, u64>>>;

/// The list that a watch has received: its revision, and the members by id.
type WatchedList = Rc<RefCell<(u64, BTreeMap<String, Value>)>>;

fn seed() -> u64 {
    std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Registers members until all are acknowledged. No other writer uses the same ids.
async fn write_members(
    client: Client,
    writer: usize,
    acknowledged: AcknowledgedWrites,
) -> anyhow::Result<()> {
    for n in 0..WRITES_PER_WRITER {
        let id = format!("w{writer}-{n}");
        let member = json!({"id": id, "role": "server", "pool": "app", "host_port": "127.0.0.1:9"});
        let command = json!({"put": {"member": member, "expect": "absent"}});
        let request = Client::generate_request_id();
        let start = std::time::Instant::now();
        let outcome = loop {
            let command = serde_json::from_value(command.clone())?;
            match client.propose(&request, command, Duration::from_secs(10)).await {
                Ok(outcome) => break serde_json::to_value(&outcome)?,
                Err(error) if start.elapsed() > WAIT_TIMEOUT => {
                    return Err(error).context(format!("write {id}"))
                }
                // The command may have been applied, so it is retried under the same request id.
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        };
        let revision = outcome["done"]["revision"].as_u64();
        let revision = revision
            .with_context(|| format!("{id} was applied before, and not acknowledged then: {outcome}"))?;
        acknowledged.borrow_mut().insert(id, revision);
    }
    Ok(())
}

/// Applies each line of a watch to a list.
async fn follow_watch(mut watch: client::Watch, list: WatchedList) {
    loop {
        let line = watch.next_line().await;
        let mut list = list.borrow_mut();
        if line["complete"] == true {
            list.1.clear();
        }
        for member in line["members"].as_array().into_iter().flatten() {
            let id = member["id"].as_str().unwrap_or_default().to_owned();
            if member["phase"] == "terminated" {
                list.1.remove(&id);
            } else {
                list.1.insert(id, member.clone());
            }
        }
        assert!(line["revision"].as_u64() >= Some(list.0), "a watch went back to an older revision: {line}");
        list.0 = line["revision"].as_u64().unwrap_or(0);
    }
}

async fn start_registry() -> anyhow::Result<Site> {
    let config = SiteConfig { nodes: 0, servers: 0, requests_per_s: 1.0, ..SiteConfig::default() };
    Site::start(config, seed()).await
}

/// Runs the writers and a watch while `inject_faults` runs. Then checks that each replica and the watch have exactly
/// the acknowledged writes.
async fn check_writes_during(
    inject_faults: impl AsyncFnOnce(&mut Site, &mut ChaCha8Rng) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let mut site = start_registry().await?;
    let acknowledged = AcknowledgedWrites::default();
    let writers: Vec<_> = (0..WRITER_COUNT)
        .map(|writer| Ok(spawn_local(write_members(site.new_client()?, writer, acknowledged.clone()))))
        .collect::<anyhow::Result<_>>()?;
    let watched = WatchedList::default();
    spawn_local(follow_watch(site.new_client()?.watch(None), watched.clone()));
    let mut rng = ChaCha8Rng::seed_from_u64(seed());
    inject_faults(&mut site, &mut rng).await?;
    for writer in writers {
        writer.await?.with_context(|| site.logs())?;
    }
    let acknowledged = acknowledged.borrow().clone();
    ensure!(
        acknowledged.len() == WRITER_COUNT * WRITES_PER_WRITER,
        "{} writes were acknowledged",
        acknowledged.len()
    );
    let last = acknowledged.values().copied().max().unwrap_or(0);
    for replica in 0..3 {
        site.wait_until(&format!("replica {replica} has all acknowledged writes"), async |site| {
            let response = site.new_replica_client(replica)?.get("/v1/members").await?;
            let members: BTreeMap<String, u64> = response
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|entry| {
                    Some((entry["member"]["id"].as_str()?.to_owned(), entry["revision"].as_u64()?))
                })
                .collect();
            let lost = acknowledged.iter().find(|(id, revision)| members.get(*id) != Some(revision));
            ensure!(lost.is_none(), "{lost:?} is missing among {} members", members.len());
            Ok(members.len() == acknowledged.len())
        })
        .await?;
    }
    site.wait_until("the watch has the last write", async |_| Ok(watched.borrow().0 >= last)).await?;
    let watched: Vec<String> = watched.borrow().1.keys().cloned().collect();
    ensure!(
        watched == acknowledged.keys().cloned().collect::<Vec<_>>(),
        "the watch has {} of {} members",
        watched.len(),
        acknowledged.len()
    );
    Ok(())
}

fn run_test<F: std::future::Future<Output = anyhow::Result<()>>>(scenario: impl FnOnce() -> F) {
    if let Err(error) = rig::site::run_scenario(scenario) {
        panic!("{error:?}");
    }
}

#[test]
fn acknowledged_writes_survive_kills_of_minorities_and_of_all_replicas() {
    run_test(|| {
        check_writes_during(async |site, rng| {
            for round in 0..6 {
                sleep(Duration::from_millis(rng.random_range(50..600))).await;
                let leader = site.find_leader().await;
                let killed = if round % 2 == 0 { leader.unwrap_or(0) } else { rng.random_range(0..3) };
                site.kill_replica(killed).await?;
                if round == 3 {
                    for other in (0..3).filter(|&other| other != killed) {
                        site.kill_replica(other).await?;
                    }
                    for other in (0..3).filter(|&other| other != killed) {
                        site.start_replica(other).await?;
                    }
                }
                sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
                site.start_replica(killed).await?;
            }
            Ok(())
        })
    });
}

#[test]
fn acknowledged_writes_survive_cut_silent_slow_and_closing_links() {
    run_test(|| {
        check_writes_during(async |site, rng| {
            let modes = [
                Mode::Cut,
                Mode::Silent,
                Mode::SilentToTarget,
                Mode::DelayMs(80),
                Mode::CloseAfterBytes(3_000),
            ];
            for round in 0..8 {
                let isolated =
                    site.find_leader().await.filter(|_| round % 2 == 0).unwrap_or(rng.random_range(0..3));
                let mode = modes[rng.random_range(0..modes.len())];
                let links: Vec<_> = site
                    .raft_links
                    .iter()
                    .filter(|((from, to), _)| *from == isolated || *to == isolated)
                    .collect();
                links.iter().for_each(|(_, link)| link.set_mode(mode));
                sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
                links.iter().for_each(|(_, link)| link.set_mode(Mode::Cut));
                sleep(Duration::from_millis(20)).await;
                links.iter().for_each(|(_, link)| link.set_mode(Mode::Forward));
                sleep(Duration::from_millis(rng.random_range(100..800))).await;
            }
            Ok(())
        })
    });
}

/// The registered phase of a member; `None` if it is not registered.
async fn registered_phase(site: &Site, id: &str) -> anyhow::Result<Option<Value>> {
    let members = site.client.get("/v1/members").await?;
    let mut entries = members.as_array().into_iter().flatten();
    Ok(entries.find(|entry| entry["member"]["id"] == id).map(|entry| entry["member"]["phase"].clone()))
}

// An agent that comes back registers its server again. An operator's drain, which the registry has acknowledged, must stay in
// force, whatever phase the agent's file names.
#[test]
fn an_agent_that_comes_back_does_not_undo_a_drain() {
    /// Longer than the lease of the agent's server: it is registered after that only if the agent has renewed it.
    const WATCHED_FOR: Duration = Duration::from_secs(9);
    run_test(|| async {
        let config = SiteConfig { nodes: 0, servers: 1, requests_per_s: 1.0, ..SiteConfig::default() };
        let mut site = Site::start(config, seed()).await?;
        let drain = json!({"set_phase": {"id": "s-0", "phase": "terminating"}});
        let request = Client::generate_request_id();
        site.client.propose(&request, serde_json::from_value(drain)?, Duration::from_secs(10)).await?;
        let mut machine = site.server_machines.remove(0);
        machine.agent = None;
        site.start_agent("s-0", &mut machine).await?;
        let start = std::time::Instant::now();
        while start.elapsed() < WATCHED_FOR {
            let phase = registered_phase(&site, "s-0").await?;
            ensure!(
                phase == Some(json!("terminating")),
                "the registered phase is {phase:?}\n{}",
                site.logs()
            );
            sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    });
}
