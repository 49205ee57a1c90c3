//! Listening for clients while system calls fail.

use super::*;

const ENFILE: i32 = 23;
const EACCES: i32 = 13;

/// Listens after so many failures with an errno. Returns how often it was tried.
fn tries(errno: i32, failures: usize) -> (bool, usize) {
    let mut tries = 0;
    let listener = listen_patiently(
        || {
            tries += 1;
            if tries <= failures {
                return Err(std::io::Error::from_raw_os_error(errno));
            }
            listen("127.0.0.1:0".parse().unwrap())
        },
        &Clock::system(),
        0.0,
    );
    (listener.is_ok(), tries)
}

#[test]
fn a_start_survives_a_moment_without_descriptors_and_says_what_does_not_pass() {
    assert_eq!(tries(ENFILE, 2), (true, 3));
    assert_eq!(tries(EACCES, 1), (false, 1));
}
