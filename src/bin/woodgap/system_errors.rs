//! Errors of the node's own machine. They say nothing about the other end of a connection and often pass in a moment.

use std::io;
use std::time::Duration;

use libc::{EADDRNOTAVAIL, EAGAIN, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};

/// How often and at which interval a process that starts repeats a call that failed.
const START_RETRIES: u32 = 100;
const START_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether a failed `socket` or `connect` is a matter of this machine alone.
pub fn is_local(error: &io::Error) -> bool {
    let local = [EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS];
    error.raw_os_error().is_some_and(|number| local.contains(&number))
}

/// Whether a failed `accept` found no descriptor or memory, so that closing connections helps. The other errors are
/// those of the connection that was to be accepted.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortage = [ENOMEM, ENFILE, EMFILE, ENOBUFS];
    error.raw_os_error().is_some_and(|number| shortage.contains(&number))
}

/// Calls a function at the start of the process until it succeeds, as long as it fails for a reason of this machine that
/// may pass, or since the address is still in use by the process before.
pub fn retry_at_start<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..START_RETRIES {
        match call() {
            Err(error) if is_local(&error) || error.kind() == io::ErrorKind::AddrInUse => {
                std::thread::sleep(START_RETRY_DELAY);
            }
            result => return result,
        }
    }
    call()
}

#[cfg(test)]
mod tests;
