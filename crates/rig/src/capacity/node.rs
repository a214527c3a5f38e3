//! Measures a node by the number of servers on its list: at rest, for a change, and for a complete list. The test
//! itself takes the place of the node's agent.

use std::time::Duration;

use anyhow::Context;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{measure_cpu_s, Series, MEMBER_COUNTS};
use crate::process::{Process, ProcessSpec};
use crate::site::{parse_node_ready, Site};

/// Number of changes that are sent for each measurement.
const CHANGE_COUNT: usize = 100;
/// Number of complete lists that are sent for each measurement.
const COMPLETE_LIST_COUNT: usize = 10;
/// How long a node at rest is measured.
const REST_TIME: Duration = Duration::from_secs(3);
/// Time between two keepalives of the watch. A node takes a watch that is silent for 2.5 s for broken.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A server of the list. Nothing listens at its address.
fn server(n: usize, phase: &str) -> Value {
    json!({"id": format!("s-{n:08x}"), "host_port": format!("127.{}.{}.{}:9", 2 + n / 62_500, 1 + n / 250 % 250, 1 + n % 250),
        "locality": format!("zone-{}", n % 34), "flavor": "m2", "cell": n / 4, "phase": phase, "size": 1.0,
        "up_since_ms": 0})
}

pub async fn measure(site: &Site) -> anyhow::Result<()> {
    let mut memory = Series::new("node, memory by servers", "MB");
    let mut at_rest = Series::new("node, a second at rest by servers", "ms");
    let mut change = Series::new("node, a change and the request after it, by servers", "ms");
    let mut complete_list = Series::new("node, a whole list by servers", "ms");
    let mut list_size = Series::new("the whole list by servers", "kB");
    let mut change_bytes = 0;
    for servers in MEMBER_COUNTS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let members: Vec<Value> = (0..servers).map(|n| server(n, "in_service")).collect();
        let cached_list = json!({"revision": 1, "complete": true, "members": members});
        list_size.add_point(servers, cached_list.to_string().len() as f64 / 1e3);
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": listener.local_addr()?.to_string(), "seed": "1",
            "limits": {"memory_mb": 256, "sockets": 1024}, "known": cached_list,
            "settings": {
                "group-size": 350, "registry-mode": "push", "weight-source": "nominal",
                "classes": [{"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "semantics": "safe"}],
                "bounds": {"max-attempts": 1, "cancelling": true, "dial-timeout": 250_000, "keepalive": 5_000_000},
                "rules": {"stop-sending-within": 1_000_000},
            },
        });
        let file = site.dir().join("capacity-node.json");
        std::fs::write(&file, config.to_string())?;
        let env = vec![
            ("BALANCER_CONFIG".to_owned(), file.to_string_lossy().into_owned()),
            ("BALANCER_LOG_FORMAT".to_owned(), "json".to_owned()),
        ];
        let spec = ProcessSpec { name: "node", executable: &site.binaries().node, args: Vec::new(), env };
        let (process, addr) = Process::start(spec, parse_node_ready).await?;
        let (mut watch, _) = listener.accept().await?;
        let mut watch_request = [0; 1024];
        let _ = watch.read(&mut watch_request).await?;
        watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        send_line(&mut watch, &json!({"revision": 1, "complete": false, "members": []})).await?;
        let mut client = TcpStream::connect(addr).await?;
        send_request(&mut client).await?;
        let (cpu_s, ()) = measure_cpu_s(&[&process], async || {
            for _ in 0..REST_TIME.as_secs() {
                sleep(KEEPALIVE_INTERVAL).await;
                watch.write_all(b"1\r\n\n\r\n").await?;
            }
            Ok(())
        })
        .await?;
        at_rest.add_point(servers, cpu_s[0] / REST_TIME.as_secs_f64() * 1e3);
        let mut revision = 1;
        let (cpu_s, ()) = measure_cpu_s(&[&process], async || {
            for n in 0..CHANGE_COUNT {
                revision += 1;
                let phase = if n % 2 == 0 { "terminating" } else { "in_service" };
                let line =
                    json!({"revision": revision, "complete": false, "members": [server(n / 2, phase)]});
                change_bytes = line.to_string().len();
                send_line(&mut watch, &line).await?;
                sleep(Duration::from_millis(5)).await;
                send_request(&mut client).await?;
            }
            Ok(())
        })
        .await?;
        change.add_point(servers, cpu_s[0] / CHANGE_COUNT as f64 * 1e3);
        let (cpu_s, ()) = measure_cpu_s(&[&process], async || {
            for _ in 0..COMPLETE_LIST_COUNT {
                revision += 1;
                let line = json!({"revision": revision, "complete": true, "members": members});
                send_line(&mut watch, &line).await?;
                sleep(Duration::from_millis(50)).await;
                send_request(&mut client).await?;
            }
            Ok(())
        })
        .await?;
        complete_list.add_point(servers, cpu_s[0] / COMPLETE_LIST_COUNT as f64 * 1e3);
        memory.add_point(servers, process.usage()?.resident_mb);
        process.kill().await?;
    }
    [memory, at_rest, change, complete_list, list_size].iter().for_each(Series::print_row);
    println!("| a change's line | {change_bytes} bytes | | |");
    Ok(())
}

/// Sends a line of the watch as an HTTP chunk.
async fn send_line(watch: &mut TcpStream, line: &Value) -> anyhow::Result<()> {
    let text = line.to_string();
    Ok(watch.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?)
}

/// Sends a request and reads the response, of whatever status: the node has looked up its table either way.
async fn send_request(client: &mut TcpStream) -> anyhow::Result<()> {
    let id = format!("{:x}", next_request_id());
    let text = format!("GET /api?key={id} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: look\r\n\r\n");
    client.write_all(text.as_bytes()).await?;
    let mut response = [0; 4096];
    let read = client.read(&mut response).await?;
    (read > 0).then_some(()).context("the node closed its connection")
}

/// Returns an id that no other request of this process has.
fn next_request_id() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
