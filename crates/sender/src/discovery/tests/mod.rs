//! Tests of the endpoint directory, with watches over real sockets.

mod endpoint_list;
mod object_framer;
mod snapshot;
mod updates;
mod version_guard;
mod watch_schedule;

use martenlatch_policy::interface::Settings;

use super::*;

fn no_cordons() -> Cordons {
    Cordons::open(std::path::Path::new("/nowhere"), 3_000_000)
}

/// Platform settings with one zone, one kind and one class, all with the name "x". The endpoint list is requested from
/// a discovery service if `polls_endpoint_list` is set, and otherwise pushed to a local agent.
fn platform_settings(settings: Settings, polls_endpoint_list: bool) -> PlatformSettings {
    let names = || vec!["x".to_string()];
    PlatformSettings {
        settings,
        zones: names(),
        kinds: names(),
        classes: names(),
        polls_endpoint_list,
    }
}
