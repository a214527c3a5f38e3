//! A client connection as the node sees it: what it waits for, since when, and whether its client is still there.
//!
//! The guarantee: a client's close or reset is noticed whatever lies in front of it. The library looks for it only
//! while its own buffer is empty, so once a request is whole the connection reads on by itself, keeps what comes in
//! a bounded buffer for the library, and drops what comes past that: such a connection ends with its answer. A
//! client that only ends its sending can't be told from one that closed, and is taken to have gone
//! (PROTOCOL: "when a client closes its connection, it has gone away").

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use framing::Framing;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::stream;

mod framing;

/// The longest time from connecting, or from a later request's first byte, to the request's last:
/// clients that say nothing or little hold a place that others need.
pub const SLOW: Duration = Duration::from_millis(2_500);
/// The longest idle time between requests.
const IDLE: Duration = Duration::from_secs(60);
/// Where places are short, a connection with nothing open on it may be closed after this time; one
/// that has not said a word since it was opened after the shorter one.
const SPARE_IDLE: Duration = Duration::from_secs(2);
const SPARE_SILENT: Duration = Duration::from_millis(500);
/// What is kept of what comes behind an open request: a client sends one at a time.
const MOST_AHEAD: usize = 16 * 1024;
/// After its last answer a connection is read for this long, or for as many bytes: a close over what is
/// unread resets it, and takes an answer with it that is still on its way.
const LINGER: Duration = Duration::from_millis(500);
const MOST_UNREAD: usize = 1 << 20;

/// What a connection is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Nothing has been answered on it and no head is whole.
    New,
    /// A later request has begun to come.
    Head,
    /// A request is open.
    Open,
    /// Between requests.
    Idle,
    /// It is being closed.
    Closing,
}

/// The state of a connection, shared by its socket, its service and the look-over.
pub struct Conn {
    stream: TcpStream,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Whether it is closed at once, or with the answer to the request that may be open.
    abrupt: Cell<bool>,
    /// Requests that have come on it.
    requests: Cell<u32>,
    pub close: Notify,
    /// When the first request must have come.
    first_by: Instant,
    /// The open request is whole: what comes now is not part of it.
    whole: Cell<bool>,
    became_whole: Notify,
    /// How the bytes of a request are framed, as far as the library says nothing of it.
    framing: RefCell<Framing>,
    /// What was read behind the open request, and whether more came than is kept.
    ahead: RefCell<BytesMut>,
    overrun: Cell<bool>,
}

impl Conn {
    pub fn new(stream: TcpStream, first: Duration) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Conn {
            stream,
            phase: Cell::new(Phase::New),
            since: Cell::new(now),
            abrupt: Cell::new(false),
            requests: Cell::new(0),
            close: Notify::new(),
            first_by: now + first,
            whole: Cell::new(false),
            became_whole: Notify::new(),
            framing: RefCell::new(Framing::default()),
            ahead: RefCell::default(),
            overrun: Cell::new(false),
        })
    }

    pub fn enter(&self, phase: Phase) {
        self.whole.set(false);
        if phase == Phase::Idle {
            self.framing.borrow_mut().next();
        }
        if self.phase.get() != Phase::Closing {
            self.phase.set(phase);
            self.since.set(Instant::now());
        }
    }

    /// The open request has come whole.
    pub fn set_whole(&self) {
        self.whole.set(true);
        self.became_whole.notify_one();
    }

    /// A head has come whole; tells by when its body must have.
    pub fn opened(&self) -> Instant {
        let by = match self.phase.get() {
            Phase::New => self.first_by,
            Phase::Head => self.since.get() + SLOW,
            _ => Instant::now() + SLOW,
        };
        self.framing.borrow_mut().read();
        self.enter(Phase::Open);
        self.requests.set(self.requests.get().saturating_add(1));
        by
    }

    /// Whether the open request's body is in chunks and nothing in its head says otherwise.
    pub fn is_chunked_alone(&self) -> bool {
        self.framing.borrow().chunked_alone
    }

    /// Whether no other request came before the one that is open.
    pub fn is_first(&self) -> bool {
        self.requests.get() == 1
    }

    /// Whether nothing was answered on it.
    pub fn is_unanswered(&self) -> bool {
        self.requests.get() == 0
    }

    /// Whether more came behind the open request than is kept: no other one is read on the connection.
    pub fn is_overrun(&self) -> bool {
        self.overrun.get()
    }

    /// Whether bytes wait that nobody has read: a request may have come whole since its task last ran.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        !self.ahead.borrow().is_empty()
            || SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|count| count > 0)
    }

    /// Whether closing it for its place takes no request along that has come.
    pub fn gives_way(&self) -> bool {
        self.phase.get() == Phase::Closing || !self.has_unread()
    }

    /// Whether it may be closed between two requests: nothing of a next one has come.
    pub fn is_resting(&self) -> bool {
        self.phase.get() == Phase::Idle && !self.has_unread()
    }

    /// Whether a request has taken too long to come, or none has come for long.
    pub fn is_overdue(&self) -> bool {
        match self.phase.get() {
            Phase::New => Instant::now() > self.first_by,
            Phase::Head => self.since.get().elapsed() > SLOW,
            Phase::Idle => self.since.get().elapsed() > IDLE,
            Phase::Open | Phase::Closing => false,
        }
    }

    /// How dispensable the connection is where places are short; from 1 on it may be closed.
    pub fn spare(&self) -> f64 {
        let after = match self.phase.get() {
            Phase::New => SPARE_SILENT,
            Phase::Idle => SPARE_IDLE,
            // What came last was answered: it only waits for its client's close.
            Phase::Closing if !self.abrupt.get() => return f64::INFINITY,
            Phase::Head | Phase::Open | Phase::Closing => return 0.0,
        };
        self.since.get().elapsed().as_secs_f64() / after.as_secs_f64()
    }

    /// Has it closed. `abrupt` is for those on which no request is open.
    pub fn shut(&self, abrupt: bool) {
        if abrupt {
            self.phase.set(Phase::Closing);
        }
        self.abrupt.set(self.abrupt.get() || abrupt);
        self.close.notify_one();
    }

    pub fn is_abrupt(&self) -> bool {
        self.abrupt.get()
    }

    /// Returns once the client of an open request has gone. Until then what comes is read, so that nothing hides
    /// its end.
    pub async fn client_left(&self) {
        loop {
            while !self.whole.get() {
                self.became_whole.notified().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            // The answer may have been given meanwhile: what comes now is the library's to read.
            if !self.whole.get() {
                continue;
            }
            let mut buffer = [0; 4096];
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => {
                    let mut ahead = self.ahead.borrow_mut();
                    if self.overrun.get() || ahead.len() + count > MOST_AHEAD {
                        self.overrun.set(true);
                    } else {
                        ahead.extend_from_slice(&buffer[..count]);
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Ends the sending and reads what is left until the client ends its own: within bounds of time and bytes, and
    /// only what is there where the place is wanted at once.
    pub async fn linger(&self) {
        let _ = SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let drained = async {
            let (mut left, mut buffer) = (MOST_UNREAD, [0; 4096]);
            while left > 0 {
                match self.stream.try_read(&mut buffer) {
                    Ok(0) => return,
                    Ok(count) => left = left.saturating_sub(count),
                    Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
                    Err(_) if self.is_abrupt() => return,
                    Err(_) => tokio::select! {
                        ready = self.stream.readable() => if ready.is_err() { return },
                        () = self.close.notified() => {}
                    },
                }
            }
        };
        let _ = timeout(LINGER, drained).await;
    }
}

/// A client's socket, which tells its connection when a request begins to come.
pub struct Socket(Rc<Conn>);

impl Socket {
    pub fn new(conn: Rc<Conn>) -> Self {
        Socket(conn)
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let conn = &self.0;
        let before = buf.filled().len();
        let mut ahead = conn.ahead.borrow_mut();
        let count = if ahead.is_empty() {
            ready!(stream::poll_read(&conn.stream, cx, buf))?
        } else {
            let count = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..count]);
            ahead.advance(count);
            count
        };
        conn.framing.borrow_mut().take(&buf.filled()[before..]);
        if count > 0 && conn.phase.get() == Phase::Idle {
            conn.enter(Phase::Head);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        stream::poll_write(&self.0.stream, cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        stream::poll_write(&self.0.stream, cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
