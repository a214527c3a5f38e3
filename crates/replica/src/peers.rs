//! Connections to the other replicas: one out for each, and those that come in.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

use crate::config::Config;
use crate::raftloop::Msg;
use crate::wire::{self, Fault, Hello, Message};

/// Messages that wait for one peer. Raft sends again what is dropped.
const QUEUE: usize = 1_024;
/// A connection or a write that takes longer has failed.
const PATIENCE: Duration = Duration::from_secs(2);
/// Pauses between tries at a connection: doubled from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The ways out.
pub struct Links(HashMap<u64, mpsc::Sender<Message>>);

impl Links {
    /// Opens the ways out and takes what comes in.
    pub fn start(config: &Config, listener: TcpListener, tx: mpsc::Sender<Msg>) -> Links {
        let hello = Hello { cluster: config.cluster, from: config.id };
        let known: BTreeMap<u64, SocketAddr> = config.peers.iter().map(|peer| (peer.id, peer.raft)).collect();
        let mut ways = HashMap::new();
        for (&id, &addr) in &known {
            let (out, rx) = mpsc::channel(QUEUE);
            tokio::spawn(speak(id, addr, hello, rx, tx.clone()));
            ways.insert(id, out);
        }
        tokio::spawn(listen(listener, hello, known.into_keys().collect(), tx));
        Links(ways)
    }

    /// Sends a message, or drops it where its peer is slow.
    pub fn send(&self, message: Message) {
        if let Some(out) = self.0.get(&message.to()) {
            let _ = out.try_send(message);
        }
    }
}

async fn speak(
    id: u64,
    addr: SocketAddr,
    hello: Hello,
    mut rx: mpsc::Receiver<Message>,
    tx: mpsc::Sender<Msg>,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        let fault = match timeout(PATIENCE, connect(addr, hello)).await {
            Ok(Ok(mut stream)) => {
                pause = FIRST_PAUSE;
                match pass_on(&mut stream, &mut rx).await {
                    Ok(()) => return,
                    Err(fault) => fault.to_string(),
                }
            }
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        tracing::debug!(peer = id, %addr, fault, "link down");
        if tx.send(Msg::Unreachable(id)).await.is_err() {
            return;
        }
        // What waits is old by the time the link is back.
        while rx.try_recv().is_ok() {}
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn connect(addr: SocketAddr, hello: Hello) -> Result<TcpStream, Fault> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    wire::greet(&mut stream, hello).await?;
    Ok(stream)
}

/// Writes until the loop has ended or the link fails.
async fn pass_on(stream: &mut TcpStream, rx: &mut mpsc::Receiver<Message>) -> Result<(), Fault> {
    while let Some(message) = rx.recv().await {
        let text = wire::frame(&message)?;
        let written = timeout(PATIENCE, stream.write_all(&text)).await;
        written.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    }
    Ok(())
}

async fn listen(listener: TcpListener, own: Hello, known: Vec<u64>, tx: mpsc::Sender<Msg>) {
    // A peer that opens anew may have old connections that nobody has closed yet.
    let places = Arc::new(Semaphore::new(known.len() * 4 + 4));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            tracing::warn!(%from, "too many connections of peers: closed");
            continue;
        };
        let (known, tx) = (known.clone(), tx.clone());
        tokio::spawn(async move {
            if let Err(fault) = hear(stream, own, &known, &tx).await {
                tracing::debug!(%from, %fault, "a peer's connection ended");
            }
            drop(place);
        });
    }
}

async fn hear(stream: TcpStream, own: Hello, known: &[u64], tx: &mpsc::Sender<Msg>) -> Result<(), Fault> {
    let mut input = BufReader::new(stream);
    let hello = timeout(PATIENCE, wire::greeted(&mut input)).await.map_err(|_| Fault::Hello)??;
    if hello.cluster != own.cluster || !known.contains(&hello.from) {
        tracing::warn!(?hello, ours = own.cluster, "a stranger's connection: closed");
        return Err(Fault::Hello);
    }
    loop {
        let message = wire::read(&mut input).await?;
        if message.from() != hello.from || message.to() != own.from {
            return Err(Fault::Hello);
        }
        if tx.send(Msg::Raft(message)).await.is_err() {
            return Ok(());
        }
    }
}
