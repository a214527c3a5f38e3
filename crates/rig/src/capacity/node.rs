//! A node by the size of its list: at rest, for a change, and for its bytes. Its agent is a stand-in.

use std::time::Duration;

use anyhow::Context;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{cpu_of, Series, MEMBERS};
use crate::process::{Process, Program};
use crate::site::{node_ready, Site};

const CHANGES: usize = 100;
const REST: Duration = Duration::from_secs(3);

/// A server of the list; nobody listens at its address.
fn server(n: usize, phase: &str) -> Value {
    json!({"id": format!("s-{n:08x}"), "host_port": format!("127.{}.{}.{}:9", 2 + n / 62_500, 1 + n / 250 % 250, 1 + n % 250),
        "locality": format!("zone-{}", n % 34), "flavor": "m2", "cell": n / 4, "phase": phase, "size": 1.0,
        "up_since_ms": 0})
}

pub async fn measure(site: &Site) -> anyhow::Result<()> {
    let mut memory = Series::new("node, memory by servers", "MB");
    let mut rest = Series::new("node, a second at rest by servers", "ms");
    let mut change = Series::new("node, a change and the request after it, by servers", "ms");
    let mut whole = Series::new("node, a whole list by servers", "ms");
    let mut bytes = Series::new("the whole list by servers", "kB");
    let mut line = 0;
    for servers in MEMBERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let members: Vec<Value> = (0..servers).map(|n| server(n, "in_service")).collect();
        let known = json!({"revision": 1, "complete": true, "members": members});
        bytes.add(servers, known.to_string().len() as f64 / 1e3);
        let config = json!({
            "name": "n", "listen": "127.0.0.1:0", "discovery": listener.local_addr()?.to_string(), "seed": "1",
            "limits": {"memory_mb": 256, "sockets": 1024}, "known": known,
            "settings": {
                "group-size": 350, "registry-mode": "push", "weight-source": "nominal",
                "classes": [{"name": "look", "aim": 1_000_000, "deadline": 2_000_000, "semantics": "safe"}],
                "bounds": {"max-attempts": 1, "cancelling": true, "dial-timeout": 250_000, "keepalive": 5_000_000},
                "rules": {"stop-sending-within": 1_000_000},
            },
        });
        let file = site.folder().join("capacity-node.json");
        std::fs::write(&file, config.to_string())?;
        let env = vec![
            ("BALANCER_CONFIG".to_owned(), file.to_string_lossy().into_owned()),
            ("BALANCER_LOG_FORMAT".to_owned(), "json".to_owned()),
        ];
        let program = Program { name: "node", file: &site.programs().node, args: Vec::new(), env };
        let (process, addr) = Process::start(program, node_ready).await?;
        let (mut watch, _) = listener.accept().await?;
        let mut asked = [0; 1024];
        let _ = watch.read(&mut asked).await?;
        watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        tell(&mut watch, &json!({"revision": 1, "complete": false, "members": []})).await?;
        let mut client = TcpStream::connect(addr).await?;
        ask(&mut client).await?;
        let (cpu, ()) = cpu_of(&[&process], async || {
            // A watch that says nothing for 2.5 s is broken.
            for _ in 0..REST.as_secs() {
                sleep(Duration::from_secs(1)).await;
                watch.write_all(b"1\r\n\n\r\n").await?;
            }
            Ok(())
        })
        .await?;
        rest.add(servers, cpu[0] / REST.as_secs_f64() * 1e3);
        let mut revision = 1;
        let (cpu, ()) = cpu_of(&[&process], async || {
            for n in 0..CHANGES {
                revision += 1;
                let phase = if n % 2 == 0 { "terminating" } else { "in_service" };
                let list =
                    json!({"revision": revision, "complete": false, "members": [server(n / 2, phase)]});
                line = list.to_string().len();
                tell(&mut watch, &list).await?;
                sleep(Duration::from_millis(5)).await;
                ask(&mut client).await?;
            }
            Ok(())
        })
        .await?;
        change.add(servers, cpu[0] / CHANGES as f64 * 1e3);
        const WHOLE: usize = 10;
        let (cpu, ()) = cpu_of(&[&process], async || {
            for _ in 0..WHOLE {
                revision += 1;
                tell(&mut watch, &json!({"revision": revision, "complete": true, "members": members}))
                    .await?;
                sleep(Duration::from_millis(50)).await;
                ask(&mut client).await?;
            }
            Ok(())
        })
        .await?;
        whole.add(servers, cpu[0] / WHOLE as f64 * 1e3);
        memory.add(servers, process.usage()?.resident_mb);
        process.kill().await?;
    }
    [memory, rest, change, whole, bytes].iter().for_each(Series::print);
    println!("| a change's line | {line} bytes | | |");
    Ok(())
}

async fn tell(watch: &mut TcpStream, list: &Value) -> anyhow::Result<()> {
    let text = list.to_string();
    Ok(watch.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await?)
}

/// A request, and its answer whatever it is: the walk through the table is what counts.
async fn ask(client: &mut TcpStream) -> anyhow::Result<()> {
    let id = format!("{:x}", fastrand());
    let text = format!("GET /api?key={id} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: look\r\n\r\n");
    client.write_all(text.as_bytes()).await?;
    let mut answer = [0; 4096];
    let read = client.read(&mut answer).await?;
    (read > 0).then_some(()).context("the node closed its connection")
}

/// A value that no other request has.
fn fastrand() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
