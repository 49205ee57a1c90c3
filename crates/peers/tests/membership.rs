//! The membership protocol over a simulated network with delays, losses and partitions: one test for each failure.

use martenlatch_peers::membership::{
    Datagram, MemberState, MemberUpdate, Membership, MembershipChange, Payload, Settings,
};
use martenlatch_peers::simulated_network::{SimulatedNetwork, address, name};

fn net(count: usize, loss: f64, seed: u64) -> SimulatedNetwork {
    println!("seed {seed}");
    SimulatedNetwork::new(count, loss, seed)
}

#[test]
fn newcomers_learn_of_all_members_and_all_learn_of_them() {
    let mut net = net(12, 0.0, 1);
    net.run(8_000.0);
    assert_eq!(net.unknown_pairs(), 0, "pairs that do not know each other");
    net.add(12);
    net.run(5_000.0);
    assert_eq!(net.unknown_pairs(), 0);
}

#[test]
fn a_crashed_member_is_declared_dead_and_a_leaving_one_left() {
    let mut net = net(8, 0.0, 2);
    net.run(8_000.0);
    net.crash(3);
    net.leave(4);
    net.run(12_000.0);
    for no in [0, 1, 2, 5, 6, 7] {
        assert_eq!(net.state(no, 3), Some(MemberState::Dead), "seen by {no}");
        assert_eq!(net.state(no, 4), Some(MemberState::Left), "seen by {no}");
    }
}

#[test]
fn a_restarted_member_rejoins_under_its_name() {
    let mut net = net(5, 0.0, 3);
    net.run(6_000.0);
    net.crash(2);
    net.run(10_000.0);
    // Its file was lost too: it begins under the incarnation that it is dead with.
    net.add(2);
    net.run(10_000.0);
    assert_eq!(net.unknown_pairs(), 0);
    assert!(
        net.membership(2).local().incarnation > 1,
        "it has refuted its death"
    );
}

#[test]
fn a_live_suspect_refutes_the_suspicion() {
    let mut net = net(5, 0.0, 4);
    net.run(6_000.0);
    net.drop_incoming(2, 900.0);
    net.run(15_000.0);
    assert!(
        net.changes(0)
            .iter()
            .any(|c| *c == MembershipChange::Suspected(name(2))),
        "it was suspected"
    );
    assert!(
        net.changes(0)
            .iter()
            .all(|c| *c != MembershipChange::Died(name(2))),
        "it never died"
    );
    assert_eq!(net.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn a_healed_partition_merges_again() {
    let mut net = net(8, 0.0, 5);
    net.run(8_000.0);
    net.partition(Some(4));
    net.run(30_000.0);
    assert_eq!(net.state(0, 7), Some(MemberState::Dead));
    assert_eq!(net.state(7, 0), Some(MemberState::Dead));
    net.partition(None);
    net.run(20_000.0);
    assert_eq!(net.unknown_pairs(), 0);
}

#[test]
fn nobody_stays_dead_after_a_lossy_phase() {
    let mut net = net(16, 0.2, 6);
    net.run(60_000.0);
    net.loss = 0.0;
    net.run(20_000.0);
    assert_eq!(net.unknown_pairs(), 0);
}

#[test]
fn the_view_is_bounded_and_dead_members_give_way_to_live_ones() {
    let set = Settings {
        max_members: 4,
        ..Settings::default()
    };
    let mut members = Membership::new("s0", address(0), 1, &[], set, 1, 0.0);
    let tell = |members: &mut Membership, no: usize, state: MemberState| {
        let from = MemberUpdate {
            name: name(no),
            address: address(no),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let updates = vec![MemberUpdate {
            state,
            ..from.clone()
        }];
        members.handle_datagram(
            Datagram {
                from,
                view_digest: 0,
                payload: Payload::View,
                updates,
            },
            0.0,
        );
    };
    (1..=4).for_each(|no| tell(&mut members, no, MemberState::Alive));
    tell(&mut members, 5, MemberState::Alive);
    assert_eq!(
        (members.others().count(), members.rejected_updates),
        (4, 2),
        "the living stay; its own word and the rumour do not count"
    );
    tell(&mut members, 4, MemberState::Dead);
    tell(&mut members, 5, MemberState::Alive);
    assert!(
        members.others().any(|r| r.name == "s5"),
        "the dead give way"
    );
    assert_eq!(members.others().count(), 4);
    for no in 10..10_000 {
        tell(&mut members, no, MemberState::Alive);
        members.take_outgoing();
    }
    assert_eq!(members.others().count(), 4);
}

#[test]
fn a_name_conflict_is_reported_and_incarnations_stay_bounded() {
    let mut net = net(4, 0.0, 7);
    net.run(6_000.0);
    net.add_with_name_of(9, 1);
    net.run(30_000.0);
    let taken = net
        .changes(1)
        .iter()
        .filter(|c| matches!(c, MembershipChange::NameConflict(_)))
        .count();
    assert!((1..=10).contains(&taken), "{taken} times in 30 s");
    assert!(
        net.membership(1).local().incarnation < 40,
        "{}",
        net.membership(1).local().incarnation
    );
}

#[test]
fn a_stalled_member_suspects_nobody() {
    let mut net = net(4, 0.0, 8);
    net.run(6_000.0);
    net.stall(0, 3_000.0);
    net.run(8_000.0);
    let suspected = net
        .changes(0)
        .iter()
        .filter(|c| matches!(c, MembershipChange::Suspected(n) if *n != name(0)))
        .count();
    assert_eq!(suspected, 0);
    assert_eq!(net.unknown_pairs(), 0, "and it is a member still");
}

#[test]
fn a_flood_of_authenticated_datagrams_does_not_grow_the_state() {
    let mut members = Membership::new("s0", address(0), 1, &[], Settings::default(), 1, 0.0);
    for no in 0..100_000u64 {
        let from = MemberUpdate {
            name: "s1".into(),
            address: address(1),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let payload = if no % 2 == 0 {
            Payload::PingRequest {
                sequence: no,
                address: address(2),
            }
        } else {
            Payload::Ack { sequence: no }
        };
        members.handle_datagram(
            Datagram {
                from,
                view_digest: no,
                payload,
                updates: vec![],
            },
            no as f64,
        );
        assert!(
            members.take_outgoing().len() <= 2,
            "one answer each, and at times a question"
        );
    }
    assert!(format!("{members:?}").len() < 20_000);
}
