//! How often messages were requested and reported, as the endpoint and the platform have seen it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::platform::Platform;
use super::timed_endpoint::TimedEndpoint;

/// What the endpoint and the platform have seen of one message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    pub requests: usize,
    pub reports: usize,
}

/// Waits until nothing more is expected, and counts the requests and the status reports of each message.
pub fn collect_ends_after(
    quiet_time: Duration,
    endpoint: &TimedEndpoint,
    platform: &Platform,
) -> BTreeMap<String, Ends> {
    std::thread::sleep(quiet_time);
    let mut ends = BTreeMap::<String, Ends>::new();
    for request in endpoint.requests.try_iter() {
        ends.entry(request.id().to_string()).or_default().requests += 1;
    }
    for line in platform.status_reports.try_iter() {
        let id = line.split('"').nth(3).expect("an id").to_string();
        ends.entry(id).or_default().reports += 1;
    }
    ends
}
