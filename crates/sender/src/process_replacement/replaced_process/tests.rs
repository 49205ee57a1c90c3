//! When the configuration is read again behind a takeover.

use std::process::{Child, Command};

use super::*;

/// Starts a process that lives until it is killed.
fn start_process() -> (Child, PeerProcess) {
    let child = Command::new("sleep").arg("600").spawn().unwrap();
    let process = PeerProcess::from_id(child.id()).unwrap();
    (child, process)
}

/// Waits for the end of a process without collecting its exit status.
fn exists_as_zombie(child: &Child) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    status.contains("State:\tZ")
}

#[test]
fn the_configuration_is_read_while_the_replaced_process_exists_and_once_after_that() {
    let (mut child, process) = start_process();
    let mut replaced = ReplacedProcess::new(Some(process), 0.0);
    assert!(replaced.is_reading_due(0.0));
    assert!(!replaced.is_reading_due(READING_INTERVAL - 1.0));
    assert!(replaced.is_reading_due(READING_INTERVAL));
    child.kill().unwrap();
    while !exists_as_zombie(&child) {
        std::thread::yield_now();
    }
    assert!(!replaced.is_reading_due(READING_INTERVAL + 1.0));
    child.wait().unwrap();
    assert!(replaced.is_reading_due(READING_INTERVAL + 2.0));
    assert!(!replaced.is_reading_due(WATCH_TIME));
}

#[test]
fn a_replaced_process_that_never_ends_is_watched_for_a_limited_time() {
    let (mut child, process) = start_process();
    let mut replaced = ReplacedProcess::new(Some(process), 0.0);
    assert!(replaced.is_reading_due(WATCH_TIME));
    assert!(!replaced.is_reading_due(2.0 * WATCH_TIME));
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn without_a_replaced_process_nothing_is_read() {
    let mut replaced = ReplacedProcess::none();
    assert!(!replaced.is_reading_due(0.0));
}
