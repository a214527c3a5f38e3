//! A server connection's socket, which hyper reads and writes and the node inspects.

use std::cell::Cell;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use bytes::Bytes;
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

    /// Takes bytes off those that the server may still send.
    fn count_received(&self, count: usize) -> io::Result<()> {
        let remaining = self.allowed_bytes.get().checked_sub(count);
        let remaining = remaining
            .ok_or_else(|| io::Error::other("the server sent more than the largest allowed response"))?;
        self.allowed_bytes.set(remaining);
        self.has_received_bytes.set(self.has_received_bytes.get() || count > 0);
        Ok(())
    }

    /// Reads what has arrived and hyper has not read, up to the length of the buffer, and returns the number of bytes.
    /// Asks the system, because the runtime's view of the socket may be older. hyper can't use the connection any more
    /// once bytes were read here.
    pub fn read_unread(&self, buffer: &mut [u8]) -> usize {
        (&*SockRef::from(&self.stream)).read(buffer).unwrap_or(0)
    }
}

/// The socket in the form that hyper reads and writes.
pub struct SocketIo {
    socket: Rc<SharedSocket>,
    resumption: Option<Resumption>,
}

/// Where a further response to a request that is already sent is read: nothing is written, and reading starts with
/// bytes that were taken from the socket before.
struct Resumption {
    unread: Bytes,
    /// hyper has written its request. It reads nothing before that, since it would not expect a response.
    is_request_written: bool,
    reader: Option<Waker>,
}

impl SocketIo {
    /// For a connection on which nothing was sent yet.
    pub fn new(socket: Rc<SharedSocket>) -> Self {
        SocketIo { socket, resumption: None }
    }

    /// For a further response to a request that was sent before. What is written is dropped, and `unread` is read first.
    pub fn resumed(socket: Rc<SharedSocket>, unread: Bytes) -> Self {
        let resumption = Resumption { unread, is_request_written: false, reader: None };
        SocketIo { socket, resumption: Some(resumption) }
    }
}

impl Resumption {
    /// Takes a write of this many bytes and drops them.
    fn drop_written(&mut self, bytes: usize) -> Poll<io::Result<usize>> {
        self.is_request_written = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncRead for SocketIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let SocketIo { socket, resumption } = &mut *self;
        if let Some(resumption) = resumption {
            if !resumption.is_request_written {
                resumption.reader = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if !resumption.unread.is_empty() {
                let count = resumption.unread.len().min(buf.remaining());
                buf.put_slice(&resumption.unread.split_to(count));
                return Poll::Ready(socket.count_received(count));
            }
        }
        let count = ready!(stream::poll_read(&socket.stream, cx, buf, usize::MAX))?;
        Poll::Ready(socket.count_received(count))
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        if let Some(resumption) = &mut self.resumption {
            return resumption.drop_written(data.len());
        }
        stream::poll_write(&self.socket.stream, cx, |stream| stream.try_write(data))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(resumption) = &mut self.resumption {
            return resumption.drop_written(parts.iter().map(|part| part.len()).sum());
        }
        stream::poll_write(&self.socket.stream, cx, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.socket.stream).shutdown(std::net::Shutdown::Write))
    }
}
