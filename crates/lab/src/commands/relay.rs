//! `relay`: runs the baseline relay; `roof` starts it.

use martenlatch_lab::baseline_relay;

use super::{Conclusion, report};
use crate::cli::RelayOptions;

/// Relays until a signal ends it.
pub fn relay(options: RelayOptions) -> miette::Result<Conclusion> {
    let options = baseline_relay::RelayOptions {
        listen: options.listen,
        endpoints: options.regions,
        max_calls: options.calls,
    };
    baseline_relay::serve(options).map_err(report)?;
    Ok(Conclusion::RulesKept)
}
