//! Polled reads and writes through a shared reference to a `TcpStream`, so that hyper can use a socket which
//! the node also inspects.

use std::io;
use std::task::{ready, Context, Poll};

use bytes::BufMut;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes of one read. hyper doubles its buffers after reads that fill the smallest one, of 8 KiB.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Reads into `buf` what has arrived, `max_bytes` at most, and returns the number of bytes, 0 at the end of the stream.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    max_bytes: usize,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        // Unlike `try_read`, this leaves the rest of the buffer untouched, so that memory which nothing was read into
        // does not become resident.
        match stream.try_read_buf(&mut (&mut *buf).limit(MAX_READ_BYTES.min(max_bytes))) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Calls `write` once the socket is writable and returns the number of bytes written.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
