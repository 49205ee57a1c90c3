//! `members`: measures membership for several group sizes in simulated time.

use martenlatch_lab::members::{self, MembershipFigures};
use martenlatch_lab::outcome::SampleStatistics;
use miette::miette;

use super::Conclusion;
use crate::cli::MembersOptions;

/// Prints the figures for each combination of group size and datagram loss.
pub fn members(options: &MembersOptions) -> miette::Result<Conclusion> {
    let sizes_allowed = options
        .members
        .iter()
        .all(|size| (1..=1_000).contains(size));
    let losses_allowed = options.loss.iter().all(|loss| (0.0..1.0).contains(loss));
    if !sizes_allowed || !losses_allowed {
        return Err(miette!(
            "the number of members must be 1 to 1000 and --loss must be at least 0 and less than 1"
        ));
    }
    print_header();
    for size in &options.members {
        for loss in &options.loss {
            let by_seed: Vec<MembershipFigures> = (1..=options.repeats.max(1))
                .map(|seed| members::measure(*size, *loss, seed))
                .collect();
            print_line(*size, *loss, &by_seed);
        }
    }
    println!(
        "bytes and datagrams: sent by each member; false deaths: per minute, over all members and views"
    );
    Ok(Conclusion::RulesKept)
}

fn print_header() {
    println!(
        "{:>8} {:>6} {:>11} {:>13} {:>18} {:>18} {:>13} {:>8}",
        "members",
        "loss",
        "bytes/s",
        "datagrams/s",
        "death s (most)",
        "join s (most)",
        "false deaths",
        "unknown"
    );
}

fn print_line(size: usize, loss: f64, by_seed: &[MembershipFigures]) {
    let mean = |read: fn(&MembershipFigures) -> f64| {
        SampleStatistics::of(&by_seed.iter().map(read).collect::<Vec<_>>()).mean
    };
    let durations = |read: fn(&MembershipFigures) -> Option<f64>| {
        format_durations(&by_seed.iter().map(read).collect::<Vec<_>>())
    };
    println!(
        "{size:>8} {loss:>6} {:>11.0} {:>13.2} {:>18} {:>18} {:>13.1} {:>8.1}",
        mean(|figures| figures.bytes_per_second),
        mean(|figures| figures.datagrams_per_second),
        durations(|figures| figures.death_known_after),
        durations(|figures| figures.join_known_after),
        mean(|figures| figures.false_deaths as f64),
        mean(|figures| figures.unknown_pairs as f64),
    );
}

/// The median and the longest duration over the seeds, in seconds, and the number of seeds without an end (`None`).
fn format_durations(durations: &[Option<f64>]) -> String {
    let mut ended: Vec<f64> = durations.iter().flatten().copied().collect();
    ended.sort_by(f64::total_cmp);
    let Some(longest) = ended.last() else {
        return "never".into();
    };
    let median = ended[ended.len() / 2];
    let text = format!("{:.1} ({:.1})", median / 1e3, longest / 1e3);
    match durations.len() - ended.len() {
        0 => text,
        never => format!("{text}, {never} never"),
    }
}
