//! Listening for clients while the system call fails.

use super::*;

const ENFILE: i32 = 23;
const EACCES: i32 = 13;

/// Listens while the first `failures` calls fail with this errno. Returns whether it succeeded, and the number of
/// calls.
fn listen_after_failures(errno: i32, failures: usize) -> (bool, usize) {
    let mut calls = 0;
    let listener = listen_with_retries(
        || {
            calls += 1;
            if calls <= failures {
                return Err(std::io::Error::from_raw_os_error(errno));
            }
            listen("127.0.0.1:0".parse().unwrap())
        },
        &Clock::system(),
        0.0,
    );
    (listener.is_ok(), calls)
}

#[test]
fn listening_is_retried_without_descriptors_but_not_without_permission() {
    assert_eq!(listen_after_failures(ENFILE, 2), (true, 3));
    assert_eq!(listen_after_failures(EACCES, 1), (false, 1));
}
