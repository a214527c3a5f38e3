//! A watch on replicas that answer late.

use std::net::SocketAddr;
use std::time::Duration;

use client::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// Longer than a watch may be silent once it is open.
const DELAY: Duration = Duration::from_millis(3_500);

/// A replica that answers each call for a watch with one line, after [`DELAY`]; or never, if `is_dead`.
async fn spawn_replica(revision: u64, is_dead: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                if is_dead {
                    std::future::pending::<()>().await;
                }
                sleep(DELAY).await;
                let line = format!("{{\"revision\":{revision}}}\n");
                let response = format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                    line.len()
                );
                let _ = stream.write_all(response.as_bytes()).await;
                sleep(Duration::from_secs(60)).await;
            });
        }
    });
    addr
}

// A registry that is slow in answering must be heard: an agent that gives up every call acts on no change any more.
#[tokio::test]
async fn a_watch_hears_a_replica_that_answers_late() {
    for endpoints in [
        vec![spawn_replica(7, false).await],
        vec![spawn_replica(7, false).await, spawn_replica(7, true).await],
    ] {
        let client = Client::new(endpoints).unwrap();
        let mut watch = client.watch(Some(5));
        let line = timeout(Duration::from_secs(30), watch.next_line()).await;
        assert_eq!(line.expect("a line")["revision"], 7);
    }
}
