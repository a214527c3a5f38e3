//! The registry by members, watchers, reporters and renewals, and an agent by the size of its list.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};

use super::{cpu_of, Series, MEMBERS, NODES};
use crate::process::{Process, Program};
use crate::site::Site;

/// Commands that are out at a time.
const OUT: usize = 64;
const CHANGES: usize = 100;
const SPAN: Duration = Duration::from_secs(5);
/// Renewals a second that are tried.
const RENEWALS: [usize; 4] = [250, 500, 1_000, 2_000];

/// Asks one replica, over connections of its own.
#[derive(Clone)]
struct Api {
    http: reqwest::Client,
    at: String,
}

impl Api {
    fn new(site: &Site, place: usize) -> anyhow::Result<Api> {
        let at = format!("http://{}", site.api(place).context("the replica is down")?);
        Ok(Api { http: reqwest::Client::builder().no_proxy().build()?, at })
    }

    /// Whether a command was answered as done, and its revision.
    async fn command(&self, request: &str, command: &Value) -> Option<u64> {
        let body = json!({"request": request, "command": command});
        let answer = self.http.post(format!("{}/v1/commands", self.at)).json(&body).send().await.ok()?;
        let ok = answer.status().is_success();
        let answer: Value = answer.json().await.ok()?;
        answer["done"]["revision"].as_u64().filter(|_| ok)
    }

    async fn revision(&self) -> anyhow::Result<u64> {
        let list: Value = self.http.get(format!("{}/api/targets", self.at)).send().await?.json().await?;
        list["revision"].as_u64().context("a revision")
    }
}

fn put(n: usize, phase: &str) -> Value {
    json!({"put": {"member": {"id": format!("s-{n:08x}"), "role": "server", "pool": "app",
        "zone": format!("zone-{}", n % 34), "host_port": format!("127.{}.{}.{}:9", 2 + n / 62_500, 1 + n / 250 % 250, 1 + n % 250),
        "flavor": "m2", "cell": n / 4, "phase": phase}}})
}

pub async fn measure(site: &mut Site, leader: usize) -> anyhow::Result<()> {
    let api = Api::new(site, leader)?;
    let follower = (leader + 1) % site.replicas.len();
    members(site, &api, leader, follower).await?;
    watches(site, &api, leader).await?;
    reports(site, &api, leader, follower).await?;
    renewals(site, &api, leader, follower).await
}

fn processes(site: &Site, places: [usize; 2]) -> anyhow::Result<Vec<&Process>> {
    places.iter().map(|&place| site.replicas[place].as_ref().context("the replica is down")).collect()
}

async fn members(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut memory = Series::new("leader, memory by members", "MB");
    let mut other = Series::new("follower, memory by members", "MB");
    let mut cpu =
        [Series::new("leader, a command by members", "ms"), Series::new("follower, the same", "ms")];
    let mut agent = Series::new("agent, memory by members", "MB");
    let mut disk = Series::new("agent, its file by members", "kB");
    let mut there = 0;
    for size in MEMBERS {
        let watched = processes(site, [leader, follower])?;
        let (used, ()) = cpu_of(&watched, async || {
            let next = Rc::new(Cell::new(there));
            let tasks = (0..OUT).map(|_| {
                let (api, next) = (api.clone(), next.clone());
                spawn_local(async move {
                    while next.get() < size {
                        let n = next.replace(next.get() + 1);
                        while api.command(&format!("put-{n}"), &put(n, "in_service")).await.is_none() {
                            sleep(Duration::from_millis(20)).await;
                        }
                    }
                })
            });
            for task in tasks.collect::<Vec<_>>() {
                task.await?;
            }
            Ok(())
        })
        .await?;
        for (series, used) in cpu.iter_mut().zip(used) {
            series.add(size, used / (size - there) as f64 * 1e3);
        }
        there = size;
        let (process, bytes) = agent_with(site, api, size).await?;
        agent.add(size, process.usage()?.resident_mb);
        disk.add(size, bytes as f64 / 1e3);
        process.kill().await?;
        memory.add(size, watched[0].usage()?.resident_mb);
        other.add(size, watched[1].usage()?.resident_mb);
    }
    [memory, other].iter().chain(&cpu).chain(&[agent, disk]).for_each(Series::print);
    Ok(())
}

/// An agent that has a list of this size, and the size of its file.
async fn agent_with(site: &Site, api: &Api, size: usize) -> anyhow::Result<(Process, u64)> {
    let cache = site.folder().join(format!("capacity-{size}.list"));
    let config = json!({"agent": {"listen": "127.0.0.1:0", "registry": [api.at.trim_start_matches("http://")],
        "cache": cache, "members": []}});
    let file = site.folder().join("capacity-agent.toml");
    std::fs::write(&file, toml(&config))?;
    let args = vec!["agent".into(), "--config".into(), file.to_string_lossy().into_owned()];
    let program = Program { name: "agent", file: &site.programs().fircroft, args, env: Vec::new() };
    let (process, ()) =
        Process::start(program, |line| line.starts_with("agent ready ").then_some(())).await?;
    let start = Instant::now();
    loop {
        let bytes = std::fs::metadata(&cache).map_or(0, |file| file.len());
        if bytes > size as u64 * 50 {
            sleep(Duration::from_millis(300)).await;
            return Ok((process, bytes));
        }
        anyhow::ensure!(start.elapsed() < crate::site::PATIENCE, "no list:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
}

/// The one table that an agent's file has.
fn toml(config: &Value) -> String {
    let fields = config["agent"].as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("{name} = {value}\n")).collect::<String>();
    format!("[agent]\n{lines}")
}

/// What the watches of one part heard.
#[derive(Default)]
struct Heard {
    bytes: Cell<u64>,
    /// Watches that have heard of the change that is looked for.
    of: RefCell<String>,
    count: Cell<usize>,
}

async fn watch(at: String, from: u64, heard: Rc<Heard>) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(at.trim_start_matches("http://")).await?;
    let asks = format!("GET /v1/watch?index={from} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(asks.as_bytes()).await?;
    let mut buffer = vec![0; 1 << 16];
    loop {
        let read = stream.read(&mut buffer).await?;
        anyhow::ensure!(read > 0, "the watch ended");
        heard.bytes.set(heard.bytes.get() + read as u64);
        let of = heard.of.borrow();
        if !of.is_empty() && buffer[..read].windows(of.len()).any(|part| part == of.as_bytes()) {
            heard.count.set(heard.count.get() + 1);
        }
    }
}

/// The watches are the leader's: what a replica pays for as many.
async fn watches(site: &Site, api: &Api, leader: usize) -> anyhow::Result<()> {
    let mut rest = Series::new("a replica, a second at rest by agents that watch it", "ms");
    let mut change = Series::new("a replica, a change by agents that watch it", "ms");
    let mut memory = Series::new("a replica, memory by agents that watch it", "MB");
    let mut late = Series::new("a change to the last of the agents that watch, median", "ms");
    let (mut rest_bytes, mut change_bytes) = (0.0, 0.0);
    let process = [site.replicas[leader].as_ref().context("the replica is down")?];
    for (round, nodes) in NODES.into_iter().enumerate() {
        let (heard, from) = (Rc::new(Heard::default()), api.revision().await?);
        let open: Vec<_> =
            (0..nodes).map(|_| spawn_local(watch(api.at.clone(), from, heard.clone()))).collect();
        sleep(Duration::from_secs(1)).await;
        heard.bytes.set(0);
        let (cpu, ()) = cpu_of(&process, async || {
            sleep(SPAN).await;
            Ok(())
        })
        .await?;
        rest.add(nodes, cpu[0] / SPAN.as_secs_f64() * 1e3);
        let quiet = heard.bytes.replace(0) as f64 / nodes as f64 / SPAN.as_secs_f64();
        let mut times = Vec::new();
        let start = Instant::now();
        let (cpu, ()) = cpu_of(&process, async || {
            for n in 0..CHANGES {
                *heard.of.borrow_mut() = format!("\"s-{n:08x}\"");
                heard.count.set(0);
                let phase = if round % 2 == 0 { "terminating" } else { "in_service" };
                let began = Instant::now();
                api.command(&format!("change-{nodes}-{n}"), &put(n, phase)).await.context("a change")?;
                while heard.count.get() < nodes {
                    anyhow::ensure!(began.elapsed() < crate::site::PATIENCE, "{} heard", heard.count.get());
                    sleep(Duration::from_millis(1)).await;
                }
                times.push(began.elapsed().as_secs_f64() * 1e3);
                sleep(Duration::from_millis(20)).await;
            }
            Ok(())
        })
        .await?;
        let quiet_cpu = cpu_rest(&rest) * start.elapsed().as_secs_f64() / 1e3;
        change.add(nodes, (cpu[0] - quiet_cpu).max(0.0) / CHANGES as f64 * 1e3);
        let all = heard.bytes.get() as f64 / nodes as f64;
        change_bytes = (all - quiet * start.elapsed().as_secs_f64()) / CHANGES as f64;
        rest_bytes = quiet;
        times.sort_by(f64::total_cmp);
        late.add(nodes, times[times.len() / 2]);
        memory.add(nodes, process[0].usage()?.resident_mb);
        open.iter().for_each(tokio::task::JoinHandle::abort);
    }
    [rest, change, memory, late].iter().for_each(Series::print);
    println!("| an agent's watch | {rest_bytes:.0} bytes a second at rest, {change_bytes:.0} a change | | |");
    Ok(())
}

/// The last figure of a series.
fn cpu_rest(series: &Series) -> f64 {
    series.points.last().map_or(0.0, |point| point.1)
}

/// Commands at a rate for a time: the processor time of the leader and of a follower, and what part was answered
/// as done within the time.
async fn at_rate(
    site: &Site,
    api: &Api,
    places: [usize; 2],
    per_s: f64,
    command: impl Fn(usize) -> Value,
) -> anyhow::Result<(Vec<f64>, f64)> {
    static ROUND: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let round = ROUND.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let (done, out) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0usize)));
    let count = (per_s * SPAN.as_secs_f64()) as usize;
    let (cpu, ()) = cpu_of(&processes(site, places)?, async || {
        let mut timer = interval(Duration::from_secs_f64(1.0 / per_s));
        timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for n in 0..count {
            timer.tick().await;
            // What does not get through is not heaped up.
            if out.get() >= 512 {
                continue;
            }
            let (api, done, out, command) = (api.clone(), done.clone(), out.clone(), command(n));
            out.set(out.get() + 1);
            spawn_local(async move {
                let ok = api.command(&format!("rate-{round}-{n}"), &command).await.is_some();
                done.set(done.get() + usize::from(ok));
                out.set(out.get() - 1);
            });
        }
        Ok(())
    })
    .await?;
    let part = done.get() as f64 / count as f64;
    let start = Instant::now();
    while out.get() > 0 && start.elapsed() < Duration::from_secs(10) {
        sleep(Duration::from_millis(20)).await;
    }
    Ok((cpu, part))
}

/// Agents of nodes that say twice a second what their node acts on.
async fn reports(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut cpu = [
        Series::new("leader, a second of the audit by nodes that report", "ms"),
        Series::new("follower, the same", "ms"),
    ];
    let mut through = Series::new("reports that were taken in time, by nodes", "of 1");
    for n in 0..NODES[NODES.len() - 1] {
        let member = json!({"id": format!("n{n}"), "role": "node", "pool": "nodes", "zone": format!("zone-{}", n % 34),
            "host_port": format!("127.1.1.1:{}", n + 1), "incarnation": 1});
        api.command(&format!("node-{n}"), &json!({"put": {"member": member}})).await.context("a node")?;
    }
    let revision = api.revision().await?;
    let mut bytes = 0;
    for nodes in NODES {
        let word = |n: usize| {
            json!({"audit": [{"reported": {"node": format!("n{}", n % nodes), "incarnation": 1, "standing": revision,
                "oldest": revision, "decided": [[revision, 10]], "refuses": null,
                "at": {"after": 0, "unix_ms": 0}}}]})
        };
        bytes = json!({"request": "0123456789abcdef0123456789abcdef", "command": word(0)}).to_string().len();
        let (used, part) = at_rate(site, api, [leader, follower], nodes as f64 * 2.0, word).await?;
        for (series, used) in cpu.iter_mut().zip(used) {
            series.add(nodes, used / SPAN.as_secs_f64() * 1e3);
        }
        anyhow::ensure!(part > 0.0, "no report was taken");
        through.add(nodes, part);
    }
    cpu.iter().chain(&[through]).for_each(Series::print);
    println!("| a report | {bytes} bytes of body, two a second | | |");
    Ok(())
}

/// Leases that are renewed through the log.
async fn renewals(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut cpu =
        [Series::new("leader, a second by renewals a second", "ms"), Series::new("follower, the same", "ms")];
    let mut through = Series::new("renewals that were taken in time, by renewals a second", "of 1");
    for per_s in RENEWALS {
        let renew = |n: usize| json!({"renew": {"ids": [format!("s-{:08x}", n % 12_000)]}});
        let (used, part) = at_rate(site, api, [leader, follower], per_s as f64, renew).await?;
        for (series, used) in cpu.iter_mut().zip(used) {
            series.add(per_s, used / SPAN.as_secs_f64() * 1e3);
        }
        through.add(per_s, part);
    }
    cpu.iter().chain(&[through]).for_each(Series::print);
    Ok(())
}
