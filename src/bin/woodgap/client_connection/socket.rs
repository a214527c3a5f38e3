//! A client connection's socket as hyper uses it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::{ClientConnection, Phase};
use crate::stream;

/// The connection's socket in the form that hyper reads and writes. Reads take the read-ahead buffer first,
/// record the bytes for `Framing` and notice the first byte of a request on an idle connection. Once the connection
/// closes at once, nothing more is read: a request that is read then could be sent on but not answered.
pub struct ClientSocket(Rc<ClientConnection>);

impl ClientSocket {
    /// The socket of a connection.
    pub fn new(connection: Rc<ClientConnection>) -> Self {
        ClientSocket(connection)
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &self.0;
        if connection.closes_at_once() {
            // `request_close` has woken the connection's task, which ends without another read.
            return Poll::Pending;
        }
        let max_bytes = ready!(connection.poll_head_room(cx));
        let filled_before = buf.filled().len();
        let mut read_ahead = connection.read_ahead.borrow_mut();
        let count = if read_ahead.is_empty() {
            let count = ready!(stream::poll_read(&connection.stream, cx, buf, max_bytes))?;
            // The request that is read now has not arrived before these bytes.
            connection.queued_since.set(Instant::now());
            connection.queue_wait.set(Duration::ZERO);
            count
        } else {
            let count = read_ahead.len().min(buf.remaining()).min(max_bytes);
            buf.put_slice(&read_ahead[..count]);
            read_ahead.advance(count);
            if read_ahead.is_empty() {
                *read_ahead = BytesMut::new();
                connection.arrival_memory.borrow_mut().read_ahead_permit = None;
            }
            count
        };
        connection.framing.borrow_mut().record_bytes(&buf.filled()[filled_before..]);
        if count > 0 {
            connection.last_byte_at.set(Instant::now());
            if connection.phase.get() == Phase::Idle {
                connection.enter_phase(Phase::ReadingHead);
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = stream::poll_write(&self.0.stream, cx, |stream| stream.try_write(data));
        self.0.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = stream::poll_write(&self.0.stream, cx, |stream| stream.try_write_vectored(parts));
        self.0.record_write(written)
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
