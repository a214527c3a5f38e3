//! Reads and writes on a socket that is shared: the library has it, and the node looks at it as well.

use std::io;
use std::task::{ready, Context, Poll};

use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads what is there; how many bytes, none at the end.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => {
                buf.advance(done.as_ref().copied().unwrap_or(0));
                return Poll::Ready(done);
            }
        }
    }
}

/// Writes as much as there is room for.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}
