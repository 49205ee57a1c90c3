//! The model of a partner by itself, and the drawing of sites, loads and faults.

use martenlatch_lab::experiment::{Experiment, RateLimitKind, WorkDistribution};
use martenlatch_lab::load;
use martenlatch_lab::model::fault_schedule::{ActiveFaults, FaultSchedule};
use martenlatch_lab::model::partner::{Admission, Call, Partner, Reply};
use martenlatch_lab::model::site::Site;

fn experiment(rest: &str) -> Experiment {
    let text = format!("length_s: 60 load {{ level: 0.5 }} {rest}");
    Experiment::read("t", "t", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn no_faults(x: &Experiment, site: &Site) -> ActiveFaults {
    FaultSchedule::new(x, site).active_at(0, 0.0)
}

/// A lone partner of a kind, with one endpoint named 0.
fn lone(kind: &str) -> (Experiment, Site, Partner) {
    let x = experiment(&format!(
        "world {{ partners: 1 endpoints: 1 full_rate: 10 kind {{ name: \"k\" share: 1 {kind} }}
           class {{ name: \"c\" share: 1 work_ms {{ least: 100 most: 100 }} cv: 0.01 }} }}"
    ));
    let site = Site::new(&x.world, 1);
    let partner = Partner::new(&site.partners[0], &x.world.kinds[0], site.work, 1, [0]);
    (x, site, partner)
}

fn call(no: u64) -> Call {
    Call {
        number: no,
        origin: no,
        attempt: 0,
        work: WorkDistribution {
            mean: 100.0,
            variation: 0.01,
        },
    }
}

#[test]
fn a_fixed_window_admits_its_limit_and_gives_a_retry_after_to_its_end() {
    let kind = "limit: WINDOW window_ms: 2000 headroom { least: 1 most: 1 } least_rate { } tells_wait: 1 queue { least: 99 most: 99 }";
    let (x, site, mut partner) = lone(kind);
    assert_eq!(site.partners[0].rate_limit, Some(10.0));
    let faults = no_faults(&x, &site);
    let admissions: Vec<Admission> = (0..25)
        .map(|no| partner.deliver(0, call(no), &faults, 2_500.0))
        .collect();
    assert_eq!(
        admissions
            .iter()
            .filter(|t| !matches!(t, Admission::Answered(_)))
            .count(),
        20
    );
    assert_eq!(
        admissions[24],
        Admission::Answered(Reply::Refused(Some(1_500.0)))
    );
    assert!(
        !matches!(
            partner.deliver(0, call(30), &faults, 4_000.0),
            Admission::Answered(_)
        ),
        "a new span"
    );
}

#[test]
fn rejected_calls_use_up_a_limit_only_where_they_count() {
    // Twice as many as are taken, for 6 s: where refused calls count, asking on keeps the partner shut.
    for (counts, want) in [(false, 60), (true, 20)] {
        let kind = format!(
            "limit: WINDOW window_ms: 2000 headroom {{ least: 1 most: 1 }} least_rate {{ }}
             refused_count: {counts} queue {{ least: 99 most: 99 }}"
        );
        let (x, site, mut partner) = lone(&kind);
        let faults = no_faults(&x, &site);
        let call = |no: u64| partner.deliver(0, call(no), &faults, 50.0 * no as f64);
        assert_eq!(
            (0..120)
                .map(call)
                .filter(|taken| !matches!(taken, Admission::Answered(_)))
                .count(),
            want
        );
    }
}

#[test]
fn an_endpoint_runs_so_many_queues_some_and_rejects_the_rest() {
    let (x, site, mut partner) = lone("limit: NONE queue { least: 2 most: 2 }");
    assert_eq!(
        (x.world.kinds[0].rate_limit, site.partners[0].rate_limit),
        (RateLimitKind::None, None)
    );
    let (faults, cores) = (no_faults(&x, &site), u64::from(site.partners[0].cores));
    let admissions: Vec<Admission> = (0..cores * 4)
        .map(|no| partner.deliver(0, call(no), &faults, 0.0))
        .collect();
    let count = |of: fn(&Admission) -> bool| admissions.iter().filter(|t| of(t)).count() as u64;
    assert_eq!(count(|t| *t == Admission::Running), cores);
    assert_eq!(count(|t| *t == Admission::Queued), 2 * cores);
    let (mut answers, mut now) = (Vec::new(), 0.0);
    while let Some(due) = partner.next_completion() {
        assert!(due > now && due < 5_000.0);
        now = due;
        answers.extend(partner.advance(&faults, now).answers);
    }
    assert_eq!(
        answers.len() as u64,
        3 * cores,
        "every call that was taken is answered once"
    );
}

#[test]
fn an_outage_loses_running_calls_and_an_overloaded_partner_that_warms_up_collapses() {
    let (x, site, mut partner) =
        lone("limit: NONE cold_from: 0.25 cold_s: 8 queue { least: 0 most: 0 }");
    let faults = no_faults(&x, &site);
    partner.deliver(0, call(1), &faults, 0.0);
    partner.set_out(true, 1.0);
    assert_eq!(partner.next_completion(), None, "what ran there is lost");
    partner.set_out(false, 10_000.0);
    assert_eq!(
        (partner.warmth(10_000.0), partner.warmth(18_000.0)),
        (0.25, 1.0)
    );
    let can = site.partners[0].capacity(site.work);
    let push = |times: f64| {
        let (_, _, mut partner) =
            lone("limit: NONE cold_from: 0.25 cold_s: 8 queue { least: 0 most: 0 }");
        partner.set_out(true, 1.0);
        partner.set_out(false, 10_000.0);
        let gap = 1e3 / (can * times);
        let count = (4_000.0 / gap) as u64;
        (0..count).for_each(|no| {
            let _ = partner.deliver(0, call(no), &faults, 10_000.0 + gap * no as f64);
        });
        partner.collapsed()
    };
    assert!(!push(0.4) && push(3.0));
}

#[test]
fn failures_combine_hit_their_partners_and_end() {
    let x = experiment(
        "world { partners: 10 }
         failure { what: SLOW start_s: 10 length_s: 10 size: 2 } failure { what: SLOW start_s: 15 length_s: 10 size: 3 }
         failure { what: HANG start_s: 10 length_s: 5 partner: 0 }
         failure { what: PAUSES start_s: 30 length_s: 10 size: 300 every_s: 2 traffic: 0.5 }
         failure { what: RESET_AFTER start_s: 40 length_s: 5 part: 0.5 } failure { what: RESET_AFTER start_s: 40 length_s: 5 part: 0.5 }",
    );
    let site = Site::new(&x.world, 3);
    let faults = FaultSchedule::new(&x, &site);
    let ranked = site.by_traffic();
    let slow = |at: f64| faults.active_at(ranked[5], at * 1e3).slowdown;
    assert_eq!(
        [slow(9.0), slow(12.0), slow(17.0), slow(22.0), slow(26.0)],
        [1.0, 2.0, 6.0, 3.0, 1.0]
    );
    assert!(
        faults.is_out(ranked[0], 12e3)
            && !faults.is_out(ranked[1], 12e3)
            && !faults.is_out(ranked[0], 15e3)
    );
    assert_eq!(
        faults.active_at(ranked[0], 32_100.0).paused_until,
        Some(32_300.0)
    );
    assert_eq!(faults.active_at(ranked[0], 32_400.0).paused_until, None);
    assert_eq!(
        faults.active_at(ranked[9], 32_100.0).paused_until,
        None,
        "the smallest is not among half of the traffic"
    );
    assert_eq!(faults.active_at(ranked[9], 41e3).reset.after, 0.75);
}

#[test]
fn a_load_is_open_keeps_its_level_and_follows_bursts() {
    let x = experiment(
        "world { partners: 20 full_rate: 100 } failure { what: BURST start_s: 30 length_s: 10 size: 3 }",
    );
    let site = Site::new(&x.world, 7);
    let plan = load::plan(&x, &site, &FaultSchedule::new(&x, &site), 7);
    let within = |from: f64, to: f64| {
        plan.iter()
            .filter(|m| m.at >= from * 1e3 && m.at < to * 1e3)
            .count() as f64
    };
    let (before, burst) = (within(0.0, 30.0) / 30.0, within(30.0, 40.0) / 10.0);
    assert!(
        (40.0..60.0).contains(&before),
        "{before} a second at half of a hundred"
    );
    assert!(
        (2.4..3.6).contains(&(burst / before)),
        "{burst} after {before}"
    );
    let biggest = site.by_traffic()[0];
    let share = plan
        .iter()
        .filter(|m| m.partner as usize == biggest)
        .count() as f64
        / plan.len() as f64;
    assert!(
        (share / site.partners[biggest].traffic_share - 1.0).abs() < 0.35,
        "{share}"
    );
    assert!(plan.is_sorted_by(|a, b| a.at <= b.at));
}
