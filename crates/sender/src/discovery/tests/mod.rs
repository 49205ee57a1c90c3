//! Tests of the endpoint directory and of its watch over real sockets.

mod endpoint_list;
mod object_framer;
mod snapshot;
mod updates;
mod watch_schedule;

use martenlatch_policy::interface::Settings;

use super::*;

fn no_cordons() -> Cordons {
    Cordons::open(std::path::Path::new("/nowhere"), 3_000_000)
}

/// A configuration with one zone, one kind and one class, all of the name "x". The list comes from a discovery
/// service if it is `requested`, or else from an agent.
fn platform_settings(settings: Settings, requested: bool) -> PlatformSettings {
    let names = || vec!["x".to_string()];
    PlatformSettings {
        settings,
        zones: names(),
        kinds: names(),
        classes: names(),
        polls_endpoint_list: requested,
    }
}
