//! The classification of the errors that Linux documents.

use super::*;

#[test]
fn errors_of_the_peer_are_not_taken_for_a_lack_of_ports_buffers_or_descriptors() {
    let shortages = [
        (23, "ENFILE"),
        (24, "EMFILE"),
        (12, "ENOMEM"),
        (99, "EADDRNOTAVAIL"),
        (105, "ENOBUFS"),
    ];
    for (number, name) in shortages {
        let error = std::io::Error::from_raw_os_error(number);
        assert!(is_local_shortage(&error), "{name}");
    }
    for (number, name) in [
        (111, "ECONNREFUSED"),
        (113, "EHOSTUNREACH"),
        (110, "ETIMEDOUT"),
    ] {
        let error = std::io::Error::from_raw_os_error(number);
        assert!(!is_local_shortage(&error), "{name}");
    }
}

#[test]
fn a_connect_that_a_signal_interrupts_is_still_in_progress() {
    assert!(is_connect_in_progress(&std::io::Error::from_raw_os_error(
        4
    )));
}

#[test]
fn an_accept_error_concerns_either_one_connection_or_a_shortage_of_resources() {
    for number in [103, 4, 71, 92, 112, 64, 113, 95, 101, 100, 1] {
        let error = Error::from_raw_os_error(number);
        assert!(concerns_one_connection(&error), "{error}");
        assert!(!is_local_shortage(&error), "{error}");
    }
    for number in [23, 24, 12, 105] {
        let error = Error::from_raw_os_error(number);
        assert!(!concerns_one_connection(&error), "{error}");
    }
}
