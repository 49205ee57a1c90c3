//! Shared by the tests of the program: the program under test as a process, and scripted endpoints, platforms, clients
//! and peers, all on loopback.
//!
//! The timeouts only end a test that hangs; no result depends on a clock. Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod endpoint;
mod ends;
mod group;
mod http;
mod launch;
mod platform;
mod sender;
mod timed_endpoint;
mod wall_clock;
mod withdrawals;
mod workload;

use std::time::{Duration, Instant};

pub use endpoint::{Endpoint, ReplyGate, endpoint_and_list, endpoint_entry, endpoint_list};
pub use ends::{Ends, collect_ends_after};
pub use group::{SenderGroup, digest, log_line, number_after, scripted_peer, seal, secret};
pub use http::{
    HttpMessage, Reply, no_reply, read_message, read_status, reply, request, send, status_of,
};
pub use platform::{Platform, watch_chunk};
pub use sender::{ProcessExit, Replacement, Sender, call_operator, sender_with_endpoint};
pub use timed_endpoint::{AfterWrite, TimedEndpoint, TimedWrite};
pub use wall_clock::WallClock;
pub use withdrawals::Withdrawals;
pub use workload::{Copies, Interruptions, Tally, Workload};

/// How long a test waits for any single condition before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits until a condition is true. `description` says which one, for the failure message.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "not reached in time: {description}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A short name for a test case, derived from its text, so that each case has a directory of its own.
pub fn case_name(text: &str) -> String {
    let hash = text
        .bytes()
        .fold(7u64, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte));
    format!("{hash:x}")
}

/// A number from the environment, or the usual one.
pub fn from_environment(name: &str, usual: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(usual)
}
