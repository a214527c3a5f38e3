//! A server connection's socket, which hyper reads and writes and the node inspects.

use std::cell::Cell;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::guards::SocketPermit;
use crate::stream;

/// A server connection's socket, shared by hyper, which reads and writes on it, and the node, which checks it
/// behind a response and before the connection is reused.
pub struct SharedSocket {
    stream: TcpStream,
    /// Bytes that the server may still send; 0 while no request is open, so that unsolicited data is an
    /// error.
    allowed_bytes: Cell<usize>,
    /// Whether any byte arrived since the last request was sent.
    has_received_bytes: Cell<bool>,
    _permit: SocketPermit,
}

impl SharedSocket {
    /// Takes an open connection. The permit is held until the socket is closed.
    pub fn new(stream: TcpStream, permit: SocketPermit) -> Self {
        SharedSocket {
            stream,
            allowed_bytes: Cell::new(0),
            has_received_bytes: Cell::new(false),
            _permit: permit,
        }
    }

    /// Allows the server to send a response of at most this many bytes.
    pub fn begin_response(&self, max_bytes: usize) {
        self.allowed_bytes.set(max_bytes);
        self.has_received_bytes.set(false);
    }

    /// Makes whatever the server sends from now on an error.
    pub fn end_response(&self) {
        self.allowed_bytes.set(0);
    }

    /// Whether any byte arrived since [`SharedSocket::begin_response`].
    pub fn has_received_bytes(&self) -> bool {
        self.has_received_bytes.get()
    }

    /// Whether the connection is open and has no unread bytes.
    pub fn is_open_and_empty(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads what has arrived and hyper has not read, up to the length of the buffer, and returns the number of bytes.
    /// Asks the system, because the runtime's view of the socket may be older. hyper can't use the connection any more
    /// once bytes were read here.
    pub fn read_unread(&self, buffer: &mut [u8]) -> usize {
        (&*SockRef::from(&self.stream)).read(buffer).unwrap_or(0)
    }
}

/// The socket in the form that hyper reads and writes.
pub struct SocketIo(pub Rc<SharedSocket>);

impl AsyncRead for SocketIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0;
        let count = ready!(stream::poll_read(&socket.stream, cx, buf, usize::MAX))?;
        let remaining = socket.allowed_bytes.get().checked_sub(count);
        let remaining = remaining
            .ok_or_else(|| io::Error::other("the server sent more than the largest allowed response"))?;
        socket.allowed_bytes.set(remaining);
        socket.has_received_bytes.set(socket.has_received_bytes.get() || count > 0);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SocketIo {
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
