//! Clients that press on the nodes and are owed nothing but an end: stopped, flooding, and a crowd.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

use super::plan::ClientCounts;
use super::server::MAX_BODY_BYTES;
use super::targets::Targets;

/// Pause before a client comes again.
const RETURN_PAUSE: Duration = Duration::from_millis(100);
/// The clients come one after the other within this time.
const MAX_START_DELAY: Duration = Duration::from_secs(1);
/// Longest time for which a client keeps its connection.
const MAX_STAY: Duration = Duration::from_secs(4);
/// Pause between two writes of a client that writes slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// Requests that a flooding client writes at once.
const FLOOD_BATCH: u64 = 40;

/// What a client does on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pressure {
    /// Sends nothing.
    Silent,
    /// Stops in a long head.
    StopInHead,
    /// Stops in a long body.
    StopInBody,
    /// Sends many short fields and stops in the body.
    ManyFields,
    /// Writes a long body a few bytes at a time.
    SlowBody,
    /// Sends long requests and doesn't read the responses.
    Unread,
    /// Sends small and unsound requests as fast as it can, under ever new names.
    Flood,
}

impl Pressure {
    /// What the members of a crowd do, in turn.
    pub const CROWD: [Pressure; 6] = [
        Pressure::Silent,
        Pressure::StopInHead,
        Pressure::StopInBody,
        Pressure::ManyFields,
        Pressure::SlowBody,
        Pressure::Unread,
    ];
    /// What clients do that stop.
    pub const STOPPED: [Pressure; 2] = [Pressure::StopInHead, Pressure::StopInBody];
}

/// Starts clients on a thread of their own, so that they don't hold up those whose answers are timed. The thread ends soon after
/// the targets are stopped.
pub fn spawn_thread(targets: Arc<Targets>, counts: ClientCounts) {
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        LocalSet::new().block_on(&runtime, async {
            let mut clients = JoinSet::new();
            for (kinds, count, first) in [
                (&Pressure::STOPPED[..], counts.stopped, 10_000),
                (&[Pressure::Flood][..], counts.flooding, 20_000),
                (&Pressure::CROWD[..], counts.crowd, 30_000),
            ] {
                for number in 0..count {
                    clients.spawn_local(press(targets.clone(), kinds[number % kinds.len()], first + number));
                }
            }
            while clients.join_next().await.is_some() {}
        });
    });
}

/// Presses on nodes until the targets are stopped.
async fn press(targets: Arc<Targets>, pressure: Pressure, number: usize) {
    let seed = targets.seed ^ (number as u64) << 20 ^ (pressure as u64) << 40;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut visit = 0;
    sleep(MAX_START_DELAY.mul_f64(rng.random())).await;
    while !targets.is_stopped() {
        visit += 1;
        let name = format!("p{number}-{visit}");
        let addr = targets.choose_node(&mut rng).map(|node| node.addr);
        if let Some(addr) = addr {
            if let Ok(Ok(stream)) = timeout(MAX_STAY, TcpStream::connect(addr)).await {
                let (input, output) = stream.into_split();
                let _ = timeout(MAX_STAY, act(pressure, &name, input, output)).await;
            }
        }
        sleep(RETURN_PAUSE.mul_f64(rng.random_range(0.5..1.5))).await;
    }
}

/// Acts until the node closes the connection.
async fn act(pressure: Pressure, name: &str, input: OwnedReadHalf, mut output: OwnedWriteHalf) {
    let head = |fields: usize| {
        let fields: String = (0..fields).map(|n| format!("a{n}:\r\n")).collect();
        format!(
            "POST /api HTTP/1.1\r\nHost: soak\r\nX-Txn: {name}\r\nX-Lane: pay\r\n{fields}\
            Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
        )
    };
    let body = vec![b'b'; MAX_BODY_BYTES];
    let pressing = async {
        match pressure {
            Pressure::Silent => {}
            Pressure::StopInHead => {
                let _ = output.write_all(format!("POST /{} ", "x".repeat(15_000)).as_bytes()).await;
            }
            Pressure::StopInBody => {
                let _ = output.write_all(head(0).as_bytes()).await;
                let _ = output.write_all(&body[..MAX_BODY_BYTES / 2]).await;
            }
            Pressure::ManyFields => {
                let _ = output.write_all(head(58).as_bytes()).await;
            }
            Pressure::SlowBody => {
                let _ = output.write_all(head(0).as_bytes()).await;
                write_slowly(&mut output, &body).await;
            }
            Pressure::Unread => {
                let _ = output.write_all(head(0).as_bytes()).await;
                let _ = output.write_all(&body).await;
            }
            Pressure::Flood => flood(&mut output, name).await,
        }
        std::future::pending::<()>().await;
    };
    if pressure == Pressure::Unread {
        return pressing.await;
    }
    tokio::select! {
        () = pressing => {}
        () = read_to_end(input) => {}
    }
}

async fn read_to_end(mut input: OwnedReadHalf) {
    let mut buffer = [0; 4_096];
    while input.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
}

async fn write_slowly(output: &mut OwnedWriteHalf, body: &[u8]) {
    for piece in body.chunks(3) {
        if output.write_all(piece).await.is_err() {
            return;
        }
        sleep(SLOW_PAUSE).await;
    }
}

/// Writes requests without end: sound ones, one for another path, and last in each batch one that makes no sense.
async fn flood(output: &mut OwnedWriteHalf, name: &str) {
    for batch in 0.. {
        let mut requests = String::new();
        for n in 0..FLOOD_BATCH {
            let class = if n % 3 == 0 { "pay" } else { "none" };
            let method = if n % 7 == 0 { "GET" } else { "POST" };
            requests += &format!(
                "{method} /api?key={name}{batch}{n} HTTP/1.1\r\nHost: soak\r\nX-Txn: {name}-{batch}-{n}\r\n\
                X-Lane: {class}\r\nContent-Length: 0\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: soak\r\n\r\n"
            );
        }
        if output.write_all(requests.as_bytes()).await.is_err() {
            return;
        }
    }
}
