//! The errors that Linux documents, by what they concern.

use super::*;

#[test]
fn a_lack_of_ports_buffers_or_descriptors_says_nothing_of_the_peer() {
    let own = [
        (23, "ENFILE"),
        (24, "EMFILE"),
        (12, "ENOMEM"),
        (99, "EADDRNOTAVAIL"),
        (105, "ENOBUFS"),
    ];
    for (number, name) in own {
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
fn a_connect_that_a_signal_interrupts_goes_on() {
    assert!(is_connect_in_progress(&std::io::Error::from_raw_os_error(
        4
    )));
}

#[test]
fn an_accept_goes_on_behind_a_connection_that_is_gone_and_pauses_for_want_of_resources() {
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
