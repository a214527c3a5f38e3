//! Polled reads and writes through a shared reference to a `TcpStream`, so that hyper can use a socket which
//! the node also inspects.

use std::io;
use std::task::{ready, Context, Poll};

use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads into `buf` what has arrived and returns the number of bytes, 0 at the end of the stream.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => {
                buf.advance(result.as_ref().copied().unwrap_or(0));
                return Poll::Ready(result);
            }
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
