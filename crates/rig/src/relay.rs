//! A TCP relay on a link, which can put a fault in force.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes on what comes.
    #[default]
    Pass,
    /// Resets what is open and refuses what is new.
    Cut,
    /// Takes what comes from either side and passes nothing on; connections come up.
    Silent,
    /// The same, but only for what goes to the target.
    SilentThere,
    /// The same, but only for what comes back.
    SilentBack,
    /// Passes each piece on so many milliseconds late.
    Delay(u64),
    /// Passes so many bytes of each connection on and resets it then.
    ResetAfter(usize),
}

/// A relay. Its address stays while its target may move.
#[derive(Clone)]
pub struct Relay(Rc<Inner>);

struct Inner {
    addr: SocketAddr,
    target: Cell<Option<SocketAddr>>,
    mode: watch::Sender<Mode>,
    passed: Cell<u64>,
    name: RefCell<String>,
}

impl Relay {
    /// Opens a relay on a port of the system's choice. Until it has a target it resets what comes.
    ///
    /// # Errors
    ///
    /// Where there is no socket.
    pub async fn open(name: &str) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await.with_context(|| format!("relay {name}"))?;
        let addr = listener.local_addr()?;
        let (mode, _) = watch::channel(Mode::Pass);
        let name = RefCell::new(name.to_owned());
        let relay = Relay(Rc::new(Inner { addr, target: Cell::new(None), mode, passed: Cell::new(0), name }));
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = accepting.clone();
                spawn_local(async move { relay.carry(stream).await });
            }
        });
        Ok(relay)
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr
    }

    /// Its name.
    pub fn name(&self) -> String {
        self.0.name.borrow().clone()
    }

    /// Leads to this address from now on; what is open stays as it is.
    pub fn lead_to(&self, target: SocketAddr) {
        self.0.target.set(Some(target));
    }

    /// Puts a mode in force, for what is open too.
    pub fn set(&self, mode: Mode) {
        self.0.mode.send_replace(mode);
    }

    /// Bytes that were passed on, in both directions.
    pub fn passed(&self) -> u64 {
        self.0.passed.get()
    }

    async fn carry(&self, stream: TcpStream) {
        let mode = *self.0.mode.borrow();
        let Some(target) = self.0.target.get().filter(|_| mode != Mode::Cut) else {
            return reset(stream);
        };
        // A silent link does not tell that nobody is there.
        let there = if mode == Mode::Silent || mode == Mode::SilentThere {
            let mut changes = self.0.mode.subscribe();
            let _ = changes.wait_for(|mode| !matches!(mode, Mode::Silent | Mode::SilentThere)).await;
            // What it swallowed is lost: the connection is of no use.
            return reset(stream);
        } else {
            TcpStream::connect(target).await
        };
        let Ok(there) = there else { return reset(stream) };
        let (_, _) = (stream.set_nodelay(true), there.set_nodelay(true));
        let (from_here, to_here) = stream.into_split();
        let (from_there, to_there) = there.into_split();
        let left = Rc::new(Cell::new(match mode {
            Mode::ResetAfter(bytes) => bytes,
            _ => usize::MAX,
        }));
        let out = self.pump(from_here, to_there, true, left.clone());
        let back = self.pump(from_there, to_here, false, left);
        let mut changes = self.0.mode.subscribe();
        tokio::select! {
            _ = async { tokio::join!(out, back) } => {}
            _ = changes.wait_for(|mode| *mode == Mode::Cut) => {}
        }
    }

    async fn pump(
        &self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        there: bool,
        left: Rc<Cell<usize>>,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        let mut swallowed = false;
        while let Ok(n) = from.read(&mut buffer).await {
            if n == 0 {
                break;
            }
            let mode = *self.0.mode.borrow();
            let silent = match mode {
                Mode::Silent => true,
                Mode::SilentThere => there,
                Mode::SilentBack => !there,
                _ => false,
            };
            // Once a part is missing nothing after it may come.
            swallowed |= silent;
            if swallowed {
                continue;
            }
            if let Mode::Delay(ms) = mode {
                sleep(Duration::from_millis(ms)).await;
            }
            let passes = n.min(left.get());
            left.set(left.get() - passes);
            if to.write_all(&buffer[..passes]).await.is_err() || left.get() == 0 {
                return;
            }
            self.0.passed.set(self.0.passed.get() + passes as u64);
        }
        if !swallowed {
            let _ = to.shutdown().await;
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}
