//! Errors of the node's own machine. They say nothing about the other end of a connection and often pass in a moment.

use std::io;
use std::time::Duration;

/// Linux's error numbers for a call that found no descriptor, memory, port or route on this machine.
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;

/// How long a process that starts retries a call that failed.
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
