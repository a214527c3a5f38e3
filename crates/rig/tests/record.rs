//! The record with processes: what was acknowledged survives the kill of any minority at any time, and of all
//! replicas; nothing is applied twice; a watch loses and doubles nothing. `RIG_SEED=N` draws another schedule.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{ensure, Context};
use client::Client;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rig::relay::Mode;
use rig::site::{Plan, Site, PATIENCE};
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

const WRITERS: usize = 4;
const WRITES: usize = 60;

/// What was acknowledged: the member's id, and the revision.
type Acked = Rc<RefCell<BTreeMap<String, u64>>>;

fn seed() -> u64 {
    std::env::var("RIG_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Writes members of its own until all are acknowledged.
async fn write(client: Client, writer: usize, acked: Acked) -> anyhow::Result<()> {
    for n in 0..WRITES {
        let id = format!("w{writer}-{n}");
        let member = json!({"id": id, "role": "server", "pool": "app", "host_port": "127.0.0.1:9"});
        let command = json!({"put": {"member": member, "expect": "absent"}});
        let request = Client::generate_request_id();
        let start = std::time::Instant::now();
        let outcome = loop {
            let command = serde_json::from_value(command.clone())?;
            match client.propose(&request, command, Duration::from_secs(10)).await {
                Ok(outcome) => break serde_json::to_value(&outcome)?,
                // It may have happened: the same id asks again.
                Err(error) if start.elapsed() > PATIENCE => return Err(error).context(format!("write {id}")),
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        };
        let revision = outcome["done"]["revision"].as_u64();
        let revision =
            revision.with_context(|| format!("{id} was applied before it was acknowledged: {outcome}"))?;
        acked.borrow_mut().insert(id, revision);
    }
    Ok(())
}

/// Keeps the list that a watch tells.
async fn watch(mut watch: client::Watch, list: Rc<RefCell<(u64, BTreeMap<String, Value>)>>) {
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
        assert!(line["revision"].as_u64() >= Some(list.0), "a watch went back: {line}");
        list.0 = line["revision"].as_u64().unwrap_or(0);
    }
}

async fn site() -> anyhow::Result<Site> {
    Site::start(Plan { nodes: 0, servers: 0, load: 1.0, ..Plan::default() }, seed()).await
}

/// Starts the writers and a watch, plays faults beside them, and holds what is left against what was acknowledged.
async fn play(
    faults: impl AsyncFnOnce(&mut Site, &mut ChaCha8Rng) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let mut site = site().await?;
    let acked = Acked::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|writer| Ok(spawn_local(write(site.client()?, writer, acked.clone()))))
        .collect::<anyhow::Result<_>>()?;
    let seen = Rc::new(RefCell::new((0, BTreeMap::new())));
    spawn_local(watch(site.client()?.watch(None), seen.clone()));
    let mut rng = ChaCha8Rng::seed_from_u64(seed());
    faults(&mut site, &mut rng).await?;
    for writer in writers {
        writer.await?.with_context(|| site.logs())?;
    }
    let acked = acked.borrow().clone();
    ensure!(acked.len() == WRITERS * WRITES, "{} writes were acknowledged", acked.len());
    let last = acked.values().copied().max().unwrap_or(0);
    for place in 0..3 {
        site.wait(&format!("replica {place} has all"), async |site| {
            let members = site.replica(place)?.get("/v1/members").await?;
            let held: BTreeMap<String, u64> = members
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|held| {
                    Some((held["member"]["id"].as_str()?.to_owned(), held["revision"].as_u64()?))
                })
                .collect();
            let lost = acked.iter().find(|(id, revision)| held.get(*id) != Some(revision));
            ensure!(lost.is_none(), "{lost:?} is not there, of {} members", held.len());
            Ok(held.len() == acked.len())
        })
        .await?;
    }
    site.wait("the watch has all", async |_| Ok(seen.borrow().0 >= last)).await?;
    let watched: Vec<String> = seen.borrow().1.keys().cloned().collect();
    ensure!(
        watched == acked.keys().cloned().collect::<Vec<_>>(),
        "the watch has {} of {}",
        watched.len(),
        acked.len()
    );
    Ok(())
}

fn run<F: std::future::Future<Output = anyhow::Result<()>>>(scenario: impl FnOnce() -> F) {
    if let Err(error) = rig::site::run(scenario) {
        panic!("{error:?}");
    }
}

#[test]
fn acknowledged_writes_survive_kills_of_minorities_and_of_all() {
    run(|| {
        play(async |site, rng| {
            for round in 0..6 {
                sleep(Duration::from_millis(rng.random_range(50..600))).await;
                let leader = site.leader().await;
                let place = if round % 2 == 0 { leader.unwrap_or(0) } else { rng.random_range(0..3) };
                site.kill_replica(place).await?;
                if round == 3 {
                    for other in (0..3).filter(|&other| other != place) {
                        site.kill_replica(other).await?;
                    }
                    for other in (0..3).filter(|&other| other != place) {
                        site.start_replica(other).await?;
                    }
                }
                sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
                site.start_replica(place).await?;
            }
            Ok(())
        })
    });
}

#[test]
fn acknowledged_writes_survive_cuts_one_way_links_and_resets() {
    run(|| {
        play(async |site, rng| {
            let modes =
                [Mode::Cut, Mode::Silent, Mode::SilentThere, Mode::Delay(80), Mode::ResetAfter(3_000)];
            for round in 0..8 {
                let alone = site.leader().await.filter(|_| round % 2 == 0).unwrap_or(rng.random_range(0..3));
                let mode = modes[rng.random_range(0..modes.len())];
                let links: Vec<_> =
                    site.raft_links.iter().filter(|((from, to), _)| *from == alone || *to == alone).collect();
                links.iter().for_each(|(_, link)| link.set(mode));
                sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
                links.iter().for_each(|(_, link)| link.set(Mode::Cut));
                sleep(Duration::from_millis(20)).await;
                links.iter().for_each(|(_, link)| link.set(Mode::Pass));
                sleep(Duration::from_millis(rng.random_range(100..800))).await;
            }
            Ok(())
        })
    });
}
