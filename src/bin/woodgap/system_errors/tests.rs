use super::*;
use libc::{ECONNABORTED, ECONNREFUSED, ECONNRESET, EHOSTUNREACH, ETIMEDOUT};

#[test]
fn errors_of_this_machine_are_told_from_those_of_the_other_end() {
    for number in [EAGAIN, ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS] {
        assert!(is_local(&io::Error::from_raw_os_error(number)), "{number}");
    }
    for number in [ECONNABORTED, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH] {
        let error = io::Error::from_raw_os_error(number);
        assert!(!is_local(&error) && !is_shortage(&error), "{number}");
    }
    assert!(is_shortage(&io::Error::from_raw_os_error(EMFILE)));
}

#[test]
fn a_call_at_the_start_is_retried_until_the_machine_can_do_it() {
    let mut failures = vec![ENFILE, ENOBUFS, EADDRNOTAVAIL];
    let result = retry_at_start(|| match failures.pop() {
        Some(number) => Err(io::Error::from_raw_os_error(number)),
        None => Ok(7),
    });
    assert_eq!(result.unwrap(), 7);
    let mut calls = 0;
    let refused = retry_at_start::<()>(|| {
        calls += 1;
        Err(io::ErrorKind::PermissionDenied.into())
    });
    assert_eq!((refused.is_err(), calls), (true, 1));
}
