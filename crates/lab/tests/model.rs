//! Tests of the partner model without senders, and of the drawn sites, loads and faults.

use martenlatch_lab::experiment::{Experiment, RateLimitKind, WorkDistribution};
use martenlatch_lab::load;
use martenlatch_lab::model::fault_schedule::{ActiveFaults, FaultSchedule};
use martenlatch_lab::model::partner::{Admission, Call, Partner, Reply};
use martenlatch_lab::model::site::Site;

fn read_experiment(rest: &str) -> Experiment {
    let text = format!("length_s: 60 load {{ level: 0.5 }} {rest}");
    Experiment::read("t", "t", &text).unwrap_or_else(|error| panic!("{error}"))
}

fn no_faults(experiment: &Experiment, site: &Site) -> ActiveFaults {
    FaultSchedule::new(experiment, site).active_at(0, 0.0)
}

/// An experiment with a single partner of the given kind, whose endpoint has the number 0.
fn lone_partner(kind: &str) -> (Experiment, Site, Partner) {
    let experiment = read_experiment(&format!(
        "world {{ partners: 1 endpoints: 1 full_rate: 10 kind {{ name: \"k\" share: 1 {kind} }}
           class {{ name: \"c\" share: 1 work_ms {{ least: 100 most: 100 }} cv: 0.01 }} }}"
    ));
    let site = Site::new(&experiment.world, 1);
    let partner = Partner::new(
        &site.partners[0],
        &experiment.world.kinds[0],
        site.mean_work,
        1,
        [0],
    );
    (experiment, site, partner)
}

fn call(number: u64) -> Call {
    Call {
        number,
        origin: number,
        attempt: 0,
        work: WorkDistribution {
            mean: 100.0,
            variation: 0.01,
        },
    }
}

#[test]
fn a_fixed_window_admits_its_limit_and_rejects_with_a_retry_after_until_its_end() {
    let kind = "limit: WINDOW window_ms: 2000 headroom { least: 1 most: 1 } least_rate { } tells_wait: 1 \
                queue { least: 99 most: 99 }";
    let (experiment, site, mut partner) = lone_partner(kind);
    assert_eq!(site.partners[0].rate_limit, Some(10.0));
    let faults = no_faults(&experiment, &site);
    let admissions: Vec<Admission> = (0..25)
        .map(|number| partner.deliver(0, call(number), &faults, 2_500.0))
        .collect();
    assert_eq!(
        admissions
            .iter()
            .filter(|admission| !matches!(admission, Admission::Answered(_)))
            .count(),
        20
    );
    assert_eq!(
        admissions[24],
        Admission::Answered(Reply::Rejected(Some(1_500.0)))
    );
    assert!(
        !matches!(
            partner.deliver(0, call(30), &faults, 4_000.0),
            Admission::Answered(_)
        ),
        "a new window admits calls again"
    );
}

#[test]
fn rejected_calls_use_up_a_limit_only_if_they_count() {
    // Calls come at twice the limit for 6 s. If rejected calls count, the partner keeps rejecting them.
    for (counts_rejected, expected) in [(false, 60), (true, 20)] {
        let kind = format!(
            "limit: WINDOW window_ms: 2000 headroom {{ least: 1 most: 1 }} least_rate {{ }}
             refused_count: {counts_rejected} queue {{ least: 99 most: 99 }}"
        );
        let (experiment, site, mut partner) = lone_partner(&kind);
        let faults = no_faults(&experiment, &site);
        let deliver = |number: u64| partner.deliver(0, call(number), &faults, 50.0 * number as f64);
        assert_eq!(
            (0..120)
                .map(deliver)
                .filter(|admission| !matches!(admission, Admission::Answered(_)))
                .count(),
            expected
        );
    }
}

#[test]
fn an_endpoint_fills_its_cores_then_its_queue_and_rejects_further_calls() {
    let (experiment, site, mut partner) = lone_partner("limit: NONE queue { least: 2 most: 2 }");
    assert_eq!(
        (
            experiment.world.kinds[0].rate_limit,
            site.partners[0].rate_limit
        ),
        (RateLimitKind::None, None)
    );
    let (faults, cores) = (
        no_faults(&experiment, &site),
        u64::from(site.partners[0].cores),
    );
    let admissions: Vec<Admission> = (0..cores * 4)
        .map(|number| partner.deliver(0, call(number), &faults, 0.0))
        .collect();
    let count = |expected: Admission| {
        let matching = admissions
            .iter()
            .filter(|admission| **admission == expected);
        matching.count() as u64
    };
    assert_eq!(count(Admission::Running), cores);
    assert_eq!(count(Admission::Queued), 2 * cores);
    let (mut answers, mut now) = (Vec::new(), 0.0);
    while let Some(completion) = partner.next_completion() {
        assert!(completion > now && completion < 5_000.0);
        now = completion;
        answers.extend(partner.advance(&faults, now).answers);
    }
    assert_eq!(
        answers.len() as u64,
        3 * cores,
        "every running or queued call is answered once"
    );
}

#[test]
fn an_outage_drops_running_calls_and_overload_during_warm_up_makes_a_partner_collapse() {
    let (experiment, site, mut partner) =
        lone_partner("limit: NONE cold_from: 0.25 cold_s: 8 queue { least: 0 most: 0 }");
    let faults = no_faults(&experiment, &site);
    partner.deliver(0, call(1), &faults, 0.0);
    partner.set_outage(true, 1.0);
    assert_eq!(
        partner.next_completion(),
        None,
        "the running call is dropped"
    );
    partner.set_outage(false, 10_000.0);
    assert_eq!(
        (partner.warmth(10_000.0), partner.warmth(18_000.0)),
        (0.25, 1.0)
    );
    let capacity = site.partners[0].capacity(site.mean_work);
    let collapses_at = |load: f64| {
        let (_, _, mut partner) =
            lone_partner("limit: NONE cold_from: 0.25 cold_s: 8 queue { least: 0 most: 0 }");
        partner.set_outage(true, 1.0);
        partner.set_outage(false, 10_000.0);
        let gap = 1e3 / (capacity * load);
        let count = (4_000.0 / gap) as u64;
        (0..count).for_each(|number| {
            let _ = partner.deliver(0, call(number), &faults, 10_000.0 + gap * number as f64);
        });
        partner.collapsed()
    };
    assert!(!collapses_at(0.4) && collapses_at(3.0));
}

#[test]
fn failures_combine_and_affect_only_their_partners_while_they_are_active() {
    let experiment = read_experiment(
        "world { partners: 10 }
         failure { what: SLOW start_s: 10 length_s: 10 size: 2 } failure { what: SLOW start_s: 15 length_s: 10 size: 3 }
         failure { what: HANG start_s: 10 length_s: 5 partner: 0 }
         failure { what: PAUSES start_s: 30 length_s: 10 size: 300 every_s: 2 traffic: 0.5 }
         failure { what: RESET_AFTER start_s: 40 length_s: 5 part: 0.5 }
         failure { what: RESET_AFTER start_s: 40 length_s: 5 part: 0.5 }",
    );
    let site = Site::new(&experiment.world, 3);
    let faults = FaultSchedule::new(&experiment, &site);
    let ranked = site.by_traffic();
    let slowdown_at = |seconds: f64| faults.active_at(ranked[5], seconds * 1e3).slowdown;
    assert_eq!(
        [9.0, 12.0, 17.0, 22.0, 26.0].map(slowdown_at),
        [1.0, 2.0, 6.0, 3.0, 1.0]
    );
    assert!(
        faults.in_outage(ranked[0], 12e3)
            && !faults.in_outage(ranked[1], 12e3)
            && !faults.in_outage(ranked[0], 15e3)
    );
    assert_eq!(
        faults.active_at(ranked[0], 32_100.0).paused_until,
        Some(32_300.0)
    );
    assert_eq!(faults.active_at(ranked[0], 32_400.0).paused_until, None);
    assert_eq!(
        faults.active_at(ranked[9], 32_100.0).paused_until,
        None,
        "the smallest partner is not among those with half of the traffic"
    );
    assert_eq!(
        faults
            .active_at(ranked[9], 41e3)
            .connection_resets
            .after_last_byte,
        0.75
    );
}

#[test]
fn a_load_keeps_its_level_and_follows_bursts_and_traffic_shares() {
    let experiment = read_experiment(
        "world { partners: 20 full_rate: 100 } failure { what: BURST start_s: 30 length_s: 10 size: 3 }",
    );
    let site = Site::new(&experiment.world, 7);
    let plan = load::plan(
        &experiment,
        &site,
        &FaultSchedule::new(&experiment, &site),
        7,
    );
    let messages_between = |from: f64, to: f64| {
        plan.iter()
            .filter(|message| message.at >= from * 1e3 && message.at < to * 1e3)
            .count() as f64
    };
    let (before, burst) = (
        messages_between(0.0, 30.0) / 30.0,
        messages_between(30.0, 40.0) / 10.0,
    );
    assert!(
        (40.0..60.0).contains(&before),
        "{before} messages per second at level 0.5 of a full rate of 100"
    );
    assert!(
        (2.4..3.6).contains(&(burst / before)),
        "{burst} messages per second in the burst after {before} before it"
    );
    let largest = site.by_traffic()[0];
    let share = plan
        .iter()
        .filter(|message| message.partner as usize == largest)
        .count() as f64
        / plan.len() as f64;
    assert!(
        (share / site.partners[largest].traffic_share - 1.0).abs() < 0.35,
        "the largest partner has {share} of the messages"
    );
    assert!(plan.is_sorted_by(|left, right| left.at <= right.at));
}
