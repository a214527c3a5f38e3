//! Connections to the other replicas: one outgoing connection to each peer, and the incoming ones. Each carries
//! messages in one direction only.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, timeout};

use crate::config::Config;
use crate::raftloop::LoopMessage;
use crate::wire::{self, Hello, Message, WireError};

/// How many messages can wait for one peer. Messages beyond it are dropped, and Raft sends them again.
const LINK_QUEUE_MESSAGES: usize = 1_024;
/// A connection attempt, a handshake or a write that takes longer has failed.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before the first attempt to reconnect. It doubles with each attempt, up to [`MAX_RECONNECT_PAUSE`].
const INITIAL_RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause between two attempts to reconnect.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(400);
/// The pause after the listener failed to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The queues of the outgoing connections, by the peer's id.
pub struct PeerLinks(HashMap<u64, mpsc::Sender<Message>>);

impl PeerLinks {
    /// Starts the tasks that connect to the peers, and the task that accepts connections from them.
    pub fn start(config: &Config, listener: TcpListener, loop_tx: mpsc::Sender<LoopMessage>) -> PeerLinks {
        let own_hello = Hello { cluster: config.cluster, from: config.id };
        let peers: BTreeMap<u64, SocketAddr> =
            config.peers.iter().map(|peer| (peer.id, peer.raft_addr)).collect();
        let mut queues = HashMap::new();
        for (&id, &addr) in &peers {
            let (queue_tx, queue_rx) = mpsc::channel(LINK_QUEUE_MESSAGES);
            tokio::spawn(run_outgoing_link(id, addr, own_hello, queue_rx, loop_tx.clone()));
            queues.insert(id, queue_tx);
        }
        tokio::spawn(accept_connections(listener, own_hello, peers.into_keys().collect(), loop_tx));
        PeerLinks(queues)
    }

    /// Queues a message for its recipient. The message is dropped if the recipient's queue is full.
    pub fn send(&self, message: Message) {
        if let Some(queue_tx) = self.0.get(&message.to()) {
            let _ = queue_tx.try_send(message);
        }
    }
}

/// Keeps a connection to a peer open and writes the queued messages to it, until the event loop has ended.
async fn run_outgoing_link(
    id: u64,
    addr: SocketAddr,
    own_hello: Hello,
    mut queue_rx: mpsc::Receiver<Message>,
    loop_tx: mpsc::Sender<LoopMessage>,
) {
    let mut pause = INITIAL_RECONNECT_PAUSE;
    loop {
        let fault = match timeout(IO_TIMEOUT, connect(addr, own_hello)).await {
            Ok(Ok(mut stream)) => {
                pause = INITIAL_RECONNECT_PAUSE;
                match write_messages(&mut stream, &mut queue_rx).await {
                    Ok(()) => return,
                    Err(error) => error.to_string(),
                }
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "connection attempt timed out".to_owned(),
        };
        tracing::debug!(peer = id, %addr, fault, "connection to a peer failed; will reconnect");
        if loop_tx.send(LoopMessage::PeerUnreachable(id)).await.is_err() {
            return;
        }
        // Messages that wait now would be outdated once the connection is back.
        while queue_rx.try_recv().is_ok() {}
        sleep(pause).await;
        pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
    }
}

async fn connect(addr: SocketAddr, own_hello: Hello) -> Result<TcpStream, WireError> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    wire::send_hello(&mut stream, own_hello).await?;
    Ok(stream)
}

/// Writes the queued messages until the queue is closed, which means that the event loop has ended, or the connection
/// fails.
async fn write_messages(
    stream: &mut TcpStream,
    queue_rx: &mut mpsc::Receiver<Message>,
) -> Result<(), WireError> {
    while let Some(message) = queue_rx.recv().await {
        let frame = wire::encode_frame(&message)?;
        let written = timeout(IO_TIMEOUT, stream.write_all(&frame)).await;
        written.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    }
    Ok(())
}

async fn accept_connections(
    listener: TcpListener,
    own_hello: Hello,
    peer_ids: Vec<u64>,
    loop_tx: mpsc::Sender<LoopMessage>,
) {
    // A peer that reconnects may have old connections that are not closed yet, so there is room for several.
    let connection_permits = Arc::new(Semaphore::new(peer_ids.len() * 4 + 4));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = connection_permits.clone().try_acquire_owned() else {
            tracing::warn!(%from, "too many connections from peers; closing a new one");
            continue;
        };
        let (peer_ids, loop_tx) = (peer_ids.clone(), loop_tx.clone());
        tokio::spawn(async move {
            if let Err(error) = receive_messages(stream, own_hello, &peer_ids, &loop_tx).await {
                tracing::debug!(%from, fault = %error, "connection from a peer ended");
            }
            drop(permit);
        });
    }
}

/// Passes a peer's messages to the event loop. A connection of anybody but a known peer is rejected, and so is a
/// message that names another sender or recipient.
async fn receive_messages(
    stream: TcpStream,
    own_hello: Hello,
    peer_ids: &[u64],
    loop_tx: &mpsc::Sender<LoopMessage>,
) -> Result<(), WireError> {
    let mut input = BufReader::new(stream);
    let hello =
        timeout(IO_TIMEOUT, wire::read_hello(&mut input)).await.map_err(|_| WireError::UnexpectedPeer)??;
    if hello.cluster != own_hello.cluster || !peer_ids.contains(&hello.from) {
        tracing::warn!(?hello, ours = own_hello.cluster, "connection from an unknown replica; closing it");
        return Err(WireError::UnexpectedPeer);
    }
    loop {
        let message = wire::read_frame(&mut input).await?;
        if message.from() != hello.from || message.to() != own_hello.from {
            return Err(WireError::UnexpectedPeer);
        }
        if loop_tx.send(LoopMessage::Raft(message)).await.is_err() {
            return Ok(());
        }
    }
}
