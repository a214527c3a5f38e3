//! Measures the registry by members, watchers, reporting nodes and renewals, and an agent by the size of its list.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, MissedTickBehavior};

use super::{measure_cpu_s, Series, MEMBER_COUNTS, NODE_COUNTS};
use crate::process::{Process, ProcessSpec};
use crate::site::{Site, WAIT_TIMEOUT};

/// Number of commands in flight while members are registered.
const REGISTRATION_CONCURRENCY: usize = 64;
/// Number of commands in flight at a constant rate, beyond which commands are skipped.
const MAX_IN_FLIGHT_AT_RATE: usize = 512;
/// Number of changes that are sent for each measurement.
const CHANGE_COUNT: usize = 100;
/// How long each measurement at rest or at a constant rate takes.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);
/// The rates of renewals per second that are measured.
const RENEWAL_RATES_PER_S: [usize; 4] = [250, 500, 1_000, 2_000];
/// Fewest bytes per member of an agent's list file by which the file is taken for complete.
const MIN_LIST_BYTES_PER_MEMBER: u64 = 50;

/// A client of one replica, without a relay.
#[derive(Clone)]
struct Api {
    http: reqwest::Client,
    base_url: String,
}

impl Api {
    fn new(site: &Site, index: usize) -> anyhow::Result<Api> {
        let base_url = format!("http://{}", site.api_addr(index).context("the replica is down")?);
        Ok(Api { http: reqwest::Client::builder().no_proxy().build()?, base_url })
    }

    /// The host and port of the replica.
    fn authority(&self) -> &str {
        self.base_url.trim_start_matches("http://")
    }

    /// Sends a command. Returns its revision if it was carried out.
    async fn send_command(&self, request: &str, command: &Value) -> Option<u64> {
        let body = json!({"request": request, "command": command});
        let url = format!("{}/v1/commands", self.base_url);
        let response = self.http.post(url).json(&body).send().await.ok()?;
        let is_success = response.status().is_success();
        let outcome: Value = response.json().await.ok()?;
        outcome["done"]["revision"].as_u64().filter(|_| is_success)
    }

    async fn fetch_revision(&self) -> anyhow::Result<u64> {
        let url = format!("{}/api/targets", self.base_url);
        let list: Value = self.http.get(url).send().await?.json().await?;
        list["revision"].as_u64().context("the list has no revision")
    }
}

/// The command that registers server `n` in a phase.
fn put_command(n: usize, phase: &str) -> Value {
    json!({"put": {"member": {"id": format!("s-{n:08x}"), "role": "server", "pool": "app",
        "zone": format!("zone-{}", n % 34), "host_port": format!("127.{}.{}.{}:9", 2 + n / 62_500, 1 + n / 250 % 250, 1 + n % 250),
        "flavor": "m2", "cell": n / 4, "phase": phase}}})
}

pub async fn measure(site: &mut Site, leader: usize) -> anyhow::Result<()> {
    let api = Api::new(site, leader)?;
    let follower = (leader + 1) % site.replicas.len();
    measure_members(site, &api, leader, follower).await?;
    measure_watches(site, &api, leader).await?;
    measure_reports(site, &api, leader, follower).await?;
    measure_renewals(site, &api, leader, follower).await
}

fn replica_processes(site: &Site, indexes: [usize; 2]) -> anyhow::Result<Vec<&Process>> {
    indexes.iter().map(|&index| site.replicas[index].as_ref().context("the replica is down")).collect()
}

/// Registers members and measures the leader, a follower and an agent at each number of them.
async fn measure_members(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut leader_memory = Series::new("leader, memory by members", "MB");
    let mut follower_memory = Series::new("follower, memory by members", "MB");
    let mut cpu =
        [Series::new("leader, a command by members", "ms"), Series::new("follower, the same", "ms")];
    let mut agent_memory = Series::new("agent, memory by members", "MB");
    let mut agent_file = Series::new("agent, its file by members", "kB");
    let mut registered = 0;
    for size in MEMBER_COUNTS {
        let processes = replica_processes(site, [leader, follower])?;
        let (cpu_s, ()) = measure_cpu_s(&processes, async || {
            let next = Rc::new(Cell::new(registered));
            let tasks = (0..REGISTRATION_CONCURRENCY).map(|_| {
                let (api, next) = (api.clone(), next.clone());
                spawn_local(async move {
                    while next.get() < size {
                        let n = next.replace(next.get() + 1);
                        let command = put_command(n, "in_service");
                        while api.send_command(&format!("put-{n}"), &command).await.is_none() {
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
        for (series, cpu_s) in cpu.iter_mut().zip(cpu_s) {
            series.add_point(size, cpu_s / (size - registered) as f64 * 1e3);
        }
        registered = size;
        let (process, file_bytes) = start_agent_with_list(site, api, size).await?;
        agent_memory.add_point(size, process.usage()?.resident_mb);
        agent_file.add_point(size, file_bytes as f64 / 1e3);
        process.kill().await?;
        leader_memory.add_point(size, processes[0].usage()?.resident_mb);
        follower_memory.add_point(size, processes[1].usage()?.resident_mb);
    }
    let series = [leader_memory, follower_memory];
    series.iter().chain(&cpu).chain(&[agent_memory, agent_file]).for_each(Series::print_row);
    Ok(())
}

/// Starts an agent and waits until it has a list of `size` members on disk. Returns it with the size of the file.
async fn start_agent_with_list(site: &Site, api: &Api, size: usize) -> anyhow::Result<(Process, u64)> {
    let cache = site.dir().join(format!("capacity-{size}.list"));
    let config = json!({"agent": {"listen": "127.0.0.1:0", "registry": [api.authority()], "cache": cache,
        "members": []}});
    let file = site.dir().join("capacity-agent.toml");
    std::fs::write(&file, agent_toml(&config))?;
    let args = vec!["agent".into(), "--config".into(), file.to_string_lossy().into_owned()];
    let spec = ProcessSpec { name: "agent", executable: &site.binaries().fircroft, args, env: Vec::new() };
    let (process, ()) = Process::start(spec, |line| line.starts_with("agent ready ").then_some(())).await?;
    let start = Instant::now();
    loop {
        let bytes = std::fs::metadata(&cache).map_or(0, |file| file.len());
        if bytes > size as u64 * MIN_LIST_BYTES_PER_MEMBER {
            sleep(Duration::from_millis(300)).await;
            return Ok((process, bytes));
        }
        anyhow::ensure!(
            start.elapsed() < WAIT_TIMEOUT,
            "the agent has not written the list:\n{}",
            process.log()
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Formats an agent's configuration as TOML: it has one table, `agent`.
fn agent_toml(config: &Value) -> String {
    let fields = config["agent"].as_object().into_iter().flatten();
    let lines = fields.map(|(name, value)| format!("{name} = {value}\n")).collect::<String>();
    format!("[agent]\n{lines}")
}

/// What the open watches have received.
#[derive(Default)]
struct WatchStats {
    bytes: Cell<u64>,
    /// The id, in quotes, of the member whose change is waited for; empty if none is.
    awaited_id: RefCell<String>,
    /// Number of watches that have received that change.
    notified: Cell<usize>,
}

async fn open_watch(authority: String, from: u64, stats: Rc<WatchStats>) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(authority).await?;
    let request = format!("GET /v1/watch?index={from} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = vec![0; 1 << 16];
    loop {
        let read = stream.read(&mut buffer).await?;
        anyhow::ensure!(read > 0, "the watch ended");
        stats.bytes.set(stats.bytes.get() + read as u64);
        let id = stats.awaited_id.borrow();
        if !id.is_empty() && buffer[..read].windows(id.len()).any(|part| part == id.as_bytes()) {
            stats.notified.set(stats.notified.get() + 1);
        }
    }
}

/// Measures the leader by the number of watches that are open on it, at rest and for a change. All watches are the
/// leader's, so the result is what any replica needs for as many.
async fn measure_watches(site: &Site, api: &Api, leader: usize) -> anyhow::Result<()> {
    let mut at_rest = Series::new("a replica, a second at rest by agents that watch it", "ms");
    let mut change = Series::new("a replica, a change by agents that watch it", "ms");
    let mut memory = Series::new("a replica, memory by agents that watch it", "MB");
    let mut latency = Series::new("a change to the last of the agents that watch, median", "ms");
    let (mut rest_bytes_per_s, mut change_bytes) = (0.0, 0.0);
    let process = [site.replicas[leader].as_ref().context("the replica is down")?];
    for (round, watchers) in NODE_COUNTS.into_iter().enumerate() {
        let (stats, from) = (Rc::new(WatchStats::default()), api.fetch_revision().await?);
        let watches: Vec<_> = (0..watchers)
            .map(|_| spawn_local(open_watch(api.authority().to_owned(), from, stats.clone())))
            .collect();
        sleep(Duration::from_secs(1)).await;
        stats.bytes.set(0);
        let (cpu_s, ()) = measure_cpu_s(&process, async || {
            sleep(MEASUREMENT_TIME).await;
            Ok(())
        })
        .await?;
        let rest_cpu_ms_per_s = cpu_s[0] / MEASUREMENT_TIME.as_secs_f64() * 1e3;
        at_rest.add_point(watchers, rest_cpu_ms_per_s);
        rest_bytes_per_s = stats.bytes.replace(0) as f64 / watchers as f64 / MEASUREMENT_TIME.as_secs_f64();
        let mut latencies_ms = Vec::new();
        let start = Instant::now();
        let (cpu_s, ()) = measure_cpu_s(&process, async || {
            for n in 0..CHANGE_COUNT {
                *stats.awaited_id.borrow_mut() = format!("\"s-{n:08x}\"");
                stats.notified.set(0);
                let phase = if round % 2 == 0 { "terminating" } else { "in_service" };
                let sent_at = Instant::now();
                api.send_command(&format!("change-{watchers}-{n}"), &put_command(n, phase))
                    .await
                    .context("the change was not carried out")?;
                while stats.notified.get() < watchers {
                    anyhow::ensure!(
                        sent_at.elapsed() < WAIT_TIMEOUT,
                        "only {} watches received the change",
                        stats.notified.get()
                    );
                    sleep(Duration::from_millis(1)).await;
                }
                latencies_ms.push(sent_at.elapsed().as_secs_f64() * 1e3);
                sleep(Duration::from_millis(20)).await;
            }
            Ok(())
        })
        .await?;
        let rest_cpu_s = rest_cpu_ms_per_s * start.elapsed().as_secs_f64() / 1e3;
        change.add_point(watchers, (cpu_s[0] - rest_cpu_s).max(0.0) / CHANGE_COUNT as f64 * 1e3);
        let bytes = stats.bytes.get() as f64 / watchers as f64;
        change_bytes = (bytes - rest_bytes_per_s * start.elapsed().as_secs_f64()) / CHANGE_COUNT as f64;
        latencies_ms.sort_by(f64::total_cmp);
        latency.add_point(watchers, latencies_ms[latencies_ms.len() / 2]);
        memory.add_point(watchers, process[0].usage()?.resident_mb);
        watches.iter().for_each(tokio::task::JoinHandle::abort);
    }
    [at_rest, change, memory, latency].iter().for_each(Series::print_row);
    println!(
        "| an agent's watch | {rest_bytes_per_s:.0} bytes a second at rest, {change_bytes:.0} a change | | |"
    );
    Ok(())
}

/// Sends commands at a constant rate for [`MEASUREMENT_TIME`]. Returns the processor time of each replica in seconds,
/// and the part of the commands that were carried out within that time.
async fn send_at_rate(
    site: &Site,
    api: &Api,
    replicas: [usize; 2],
    per_s: f64,
    command: impl Fn(usize) -> Value,
) -> anyhow::Result<(Vec<f64>, f64)> {
    static ROUND: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let round = ROUND.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let (done, in_flight) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0usize)));
    let count = (per_s * MEASUREMENT_TIME.as_secs_f64()) as usize;
    let (cpu_s, ()) = measure_cpu_s(&replica_processes(site, replicas)?, async || {
        let mut timer = interval(Duration::from_secs_f64(1.0 / per_s));
        timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
        for n in 0..count {
            timer.tick().await;
            // Bounds the backlog if the replica is slower than the rate.
            if in_flight.get() >= MAX_IN_FLIGHT_AT_RATE {
                continue;
            }
            let (api, done, in_flight, command) = (api.clone(), done.clone(), in_flight.clone(), command(n));
            in_flight.set(in_flight.get() + 1);
            spawn_local(async move {
                let is_done = api.send_command(&format!("rate-{round}-{n}"), &command).await.is_some();
                done.set(done.get() + usize::from(is_done));
                in_flight.set(in_flight.get() - 1);
            });
        }
        Ok(())
    })
    .await?;
    let done_part = done.get() as f64 / count as f64;
    let start = Instant::now();
    while in_flight.get() > 0 && start.elapsed() < Duration::from_secs(10) {
        sleep(Duration::from_millis(20)).await;
    }
    Ok((cpu_s, done_part))
}

/// Measures the reports that the agents of nodes send twice a second, by the number of nodes.
async fn measure_reports(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut cpu = [
        Series::new("leader, a second of the audit by nodes that report", "ms"),
        Series::new("follower, the same", "ms"),
    ];
    let mut done = Series::new("reports that were taken in time, by nodes", "of 1");
    for n in 0..NODE_COUNTS[NODE_COUNTS.len() - 1] {
        let member = json!({"id": format!("n{n}"), "role": "node", "pool": "nodes", "zone": format!("zone-{}", n % 34),
            "host_port": format!("127.1.1.1:{}", n + 1), "incarnation": 1});
        api.send_command(&format!("node-{n}"), &json!({"put": {"member": member}}))
            .await
            .context("the node was not registered")?;
    }
    let revision = api.fetch_revision().await?;
    let mut bytes = 0;
    for nodes in NODE_COUNTS {
        let report = |n: usize| {
            json!({"audit": [{"reported": {"node": format!("n{}", n % nodes), "incarnation": 1, "standing": revision,
                "oldest": revision, "decided": [[revision, 10]], "refuses": null,
                "at": {"after": 0, "unix_ms": 0}}}]})
        };
        bytes =
            json!({"request": "0123456789abcdef0123456789abcdef", "command": report(0)}).to_string().len();
        let (cpu_s, done_part) =
            send_at_rate(site, api, [leader, follower], nodes as f64 * 2.0, report).await?;
        for (series, cpu_s) in cpu.iter_mut().zip(cpu_s) {
            series.add_point(nodes, cpu_s / MEASUREMENT_TIME.as_secs_f64() * 1e3);
        }
        anyhow::ensure!(done_part > 0.0, "no report was applied");
        done.add_point(nodes, done_part);
    }
    cpu.iter().chain(&[done]).for_each(Series::print_row);
    println!("| a report | {bytes} bytes of body, two a second | | |");
    Ok(())
}

/// Measures renewals of leases, each a command of the log, by their rate.
async fn measure_renewals(site: &Site, api: &Api, leader: usize, follower: usize) -> anyhow::Result<()> {
    let mut cpu =
        [Series::new("leader, a second by renewals a second", "ms"), Series::new("follower, the same", "ms")];
    let mut done = Series::new("renewals that were taken in time, by renewals a second", "of 1");
    for per_s in RENEWAL_RATES_PER_S {
        let renew = |n: usize| json!({"renew": {"ids": [format!("s-{:08x}", n % 12_000)]}});
        let (cpu_s, done_part) = send_at_rate(site, api, [leader, follower], per_s as f64, renew).await?;
        for (series, cpu_s) in cpu.iter_mut().zip(cpu_s) {
            series.add_point(per_s, cpu_s / MEASUREMENT_TIME.as_secs_f64() * 1e3);
        }
        done.add_point(per_s, done_part);
    }
    cpu.iter().chain(&[done]).for_each(Series::print_row);
    Ok(())
}
