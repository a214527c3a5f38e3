//! A TCP relay on a link between two parties, which can inject a fault.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with connections and their bytes.
///
/// Once a relay has discarded bytes of a connection, it forwards no more in that direction of it, whatever the mode is
/// then. [`Mode::Cut`] closes such connections, so that the parties open new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Closes open connections and resets new ones.
    Cut,
    /// Accepts connections and discards all bytes of both directions.
    Silent,
    /// Discards the bytes that go to the target, and forwards those that come back.
    SilentToTarget,
    /// Discards the bytes that come back from the target, and forwards those that go there.
    SilentFromTarget,
    /// Forwards each piece this many milliseconds late.
    DelayMs(u64),
    /// Forwards this many bytes of each new connection, of both directions together, and then closes it.
    CloseAfterBytes(usize),
}

/// A relay with an address that stays the same when its target changes.
#[derive(Clone)]
pub struct Relay(Rc<Inner>);

struct Inner {
    addr: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    mode: watch::Sender<Mode>,
    forwarded_bytes: Cell<u64>,
    name: RefCell<String>,
}

impl Relay {
    /// Opens a relay on a port that the system chooses. It resets connections until it has a target.
    ///
    /// # Errors
    ///
    /// Fails if the system provides no socket.
    pub async fn open(name: &str) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await.with_context(|| format!("relay {name}"))?;
        let addr = listener.local_addr()?;
        let (mode, _) = watch::channel(Mode::Forward);
        let relay = Relay(Rc::new(Inner {
            addr,
            target: Cell::new(None),
            mode,
            forwarded_bytes: Cell::new(0),
            name: RefCell::new(name.to_owned()),
        }));
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = accepting.clone();
                spawn_local(async move { relay.serve_connection(stream).await });
            }
        });
        Ok(relay)
    }

    /// The address on which the relay accepts connections.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// The link's name, for messages.
    pub fn name(&self) -> String {
        self.0.name.borrow().clone()
    }

    /// Connects to this address from now on. Open connections keep their target.
    pub fn set_target(&self, target: SocketAddr) {
        self.0.target.set(Some(target));
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.0.mode.send_replace(mode);
    }

    /// Number of bytes that were forwarded, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.0.forwarded_bytes.get()
    }

    async fn serve_connection(&self, client: TcpStream) {
        let mode = *self.0.mode.borrow();
        let Some(addr) = self.0.target.get().filter(|_| mode != Mode::Cut) else {
            return reset(client);
        };
        // A silent link must not reveal whether its target accepts connections.
        let target = if mode == Mode::Silent || mode == Mode::SilentToTarget {
            let mut mode_changes = self.0.mode.subscribe();
            let _ = mode_changes.wait_for(|mode| !matches!(mode, Mode::Silent | Mode::SilentToTarget)).await;
            // The bytes from before are lost, so the connection is unusable.
            return reset(client);
        } else {
            TcpStream::connect(addr).await
        };
        let Ok(target) = target else { return reset(client) };
        let (_, _) = (client.set_nodelay(true), target.set_nodelay(true));
        let (from_client, to_client) = client.into_split();
        let (from_target, to_target) = target.into_split();
        let bytes_left = Rc::new(Cell::new(match mode {
            Mode::CloseAfterBytes(bytes) => bytes,
            _ => usize::MAX,
        }));
        let requests = self.forward(from_client, to_target, true, bytes_left.clone());
        let responses = self.forward(from_target, to_client, false, bytes_left);
        let mut mode_changes = self.0.mode.subscribe();
        tokio::select! {
            _ = async { tokio::join!(requests, responses) } => {}
            _ = mode_changes.wait_for(|mode| *mode == Mode::Cut) => {}
        }
    }

    /// Forwards one direction of a connection until it ends or `bytes_left` is used up.
    async fn forward(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        is_to_target: bool,
        bytes_left: Rc<Cell<usize>>,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut has_discarded = false;
        while let Ok(n) = from.read(&mut buffer).await {
            if n == 0 {
                break;
            }
            let mode = *self.0.mode.borrow();
            let is_silent = match mode {
                Mode::Silent => true,
                Mode::SilentToTarget => is_to_target,
                Mode::SilentFromTarget => !is_to_target,
                _ => false,
            };
            // Nothing may follow bytes that were discarded: the receiver would see a stream with a gap.
            has_discarded |= is_silent;
            if has_discarded {
                continue;
            }
            if let Mode::DelayMs(ms) = mode {
                sleep(Duration::from_millis(ms)).await;
            }
            let allowed = n.min(bytes_left.get());
            bytes_left.set(bytes_left.get() - allowed);
            if to.write_all(&buffer[..allowed]).await.is_err() || bytes_left.get() == 0 {
                return;
            }
            self.0.forwarded_bytes.set(self.0.forwarded_bytes.get() + allowed as u64);
        }
        if !has_discarded {
            let _ = to.shutdown().await;
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}
