//! Tests of the membership protocol on a simulated network with delays, losses and partitions, one for each kind of
//! failure.

use martenlatch_peers::membership::{
    Datagram, MemberState, MemberUpdate, Membership, MembershipChange, Payload, Settings,
};
use martenlatch_peers::simulated_network::{SimulatedNetwork, address, name};

fn simulated_network(count: usize, loss: f64, seed: u64) -> SimulatedNetwork {
    println!("seed {seed}");
    SimulatedNetwork::new(count, loss, seed)
}

#[test]
fn a_newcomer_and_all_other_members_learn_of_each_other() {
    let mut net = simulated_network(12, 0.0, 1);
    net.run(8_000.0);
    assert_eq!(net.unknown_pairs(), 0, "pairs that do not know each other");
    net.add(12);
    net.run(5_000.0);
    assert_eq!(net.unknown_pairs(), 0);
}

#[test]
fn a_crashed_member_is_seen_as_dead_and_a_leaving_member_as_left() {
    let mut net = simulated_network(8, 0.0, 2);
    net.run(8_000.0);
    net.crash(3);
    net.leave(4);
    net.run(12_000.0);
    for observer in [0, 1, 2, 5, 6, 7] {
        assert_eq!(
            net.state(observer, 3),
            Some(MemberState::Dead),
            "seen by {observer}"
        );
        assert_eq!(
            net.state(observer, 4),
            Some(MemberState::Left),
            "seen by {observer}"
        );
    }
}

#[test]
fn a_member_restarted_with_the_incarnation_of_its_death_rejoins_with_a_higher_one() {
    let mut net = simulated_network(5, 0.0, 3);
    net.run(6_000.0);
    net.crash(2);
    net.run(10_000.0);
    // It has lost its snapshot file too, so it starts with the incarnation in which it was declared dead.
    net.add(2);
    net.run(10_000.0);
    assert_eq!(net.unknown_pairs(), 0);
    assert!(
        net.membership(2).local().incarnation > 1,
        "it refuted its death by a higher incarnation"
    );
}

/// Guards against taking a new process for the one that has gone: it came up at the same address under another name, and
/// its acks kept the old member alive.
#[test]
fn a_member_at_whose_address_another_one_comes_up_is_seen_as_dead() {
    let mut net = simulated_network(8, 0.0, 5);
    net.run(8_000.0);
    net.crash(3);
    net.add_with_name_of(3, 20);
    net.run(30_000.0);
    for observer in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(
            net.state(observer, 3),
            Some(MemberState::Dead),
            "the old one, seen by {observer}"
        );
        assert_eq!(
            net.state(observer, 20),
            Some(MemberState::Alive),
            "the new one, seen by {observer}"
        );
    }
}

#[test]
fn a_live_suspect_refutes_the_suspicion() {
    let mut net = simulated_network(5, 0.0, 4);
    net.run(6_000.0);
    net.drop_incoming(2, 900.0);
    net.run(15_000.0);
    assert!(
        net.changes(0)
            .iter()
            .any(|change| *change == MembershipChange::Suspected(name(2))),
        "the member was suspected"
    );
    assert!(
        net.changes(0)
            .iter()
            .all(|change| *change != MembershipChange::Died(name(2))),
        "the member was never declared dead"
    );
    assert_eq!(net.state(0, 2), Some(MemberState::Alive));
}

#[test]
fn a_healed_partition_merges_again() {
    let mut net = simulated_network(8, 0.0, 5);
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
fn no_running_member_is_seen_as_dead_after_a_phase_of_losses() {
    let mut net = simulated_network(16, 0.2, 6);
    net.run(60_000.0);
    net.loss = 0.0;
    net.run(20_000.0);
    assert_eq!(net.unknown_pairs(), 0);
}

#[test]
fn a_full_view_rejects_newcomers_unless_a_dead_member_can_be_replaced() {
    let settings = Settings {
        max_members: 4,
        ..Settings::default()
    };
    let mut membership = Membership::new("s0", address(0), 1, &[], settings, 1, 0.0);
    let receive_update = |membership: &mut Membership, member: usize, state: MemberState| {
        let from = MemberUpdate {
            name: name(member),
            address: address(member),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let updates = vec![MemberUpdate {
            state,
            ..from.clone()
        }];
        membership.handle_datagram(
            Datagram {
                from,
                view_digest: 0,
                payload: Payload::View,
                updates,
            },
            0.0,
        );
    };
    (1..=4).for_each(|member| receive_update(&mut membership, member, MemberState::Alive));
    receive_update(&mut membership, 5, MemberState::Alive);
    assert_eq!(
        (membership.others().count(), membership.rejected_updates),
        (4, 2),
        "live members stay; the newcomer's own entry and the update on it are both rejected"
    );
    receive_update(&mut membership, 4, MemberState::Dead);
    receive_update(&mut membership, 5, MemberState::Alive);
    assert!(
        membership.others().any(|member| member.name == "s5"),
        "a dead member is replaced by a live one"
    );
    assert_eq!(membership.others().count(), 4);
    for member in 10..10_000 {
        receive_update(&mut membership, member, MemberState::Alive);
        membership.take_outgoing();
    }
    assert_eq!(membership.others().count(), 4);
}

#[test]
fn a_name_conflict_is_reported_and_incarnations_stay_bounded() {
    let mut net = simulated_network(4, 0.0, 7);
    net.run(6_000.0);
    net.add_with_name_of(9, 1);
    net.run(30_000.0);
    let conflicts = net
        .changes(1)
        .iter()
        .filter(|change| matches!(change, MembershipChange::NameConflict(_)))
        .count();
    assert!(
        (1..=10).contains(&conflicts),
        "{conflicts} conflicts in 30 s"
    );
    assert!(
        net.membership(1).local().incarnation < 40,
        "{}",
        net.membership(1).local().incarnation
    );
}

#[test]
fn a_member_suspects_no_other_after_its_own_stall() {
    let mut net = simulated_network(4, 0.0, 8);
    net.run(6_000.0);
    net.stall(0, 3_000.0);
    net.run(8_000.0);
    let suspected = net
        .changes(0)
        .iter()
        .filter(
            |change| matches!(change, MembershipChange::Suspected(suspect) if *suspect != name(0)),
        )
        .count();
    assert_eq!(suspected, 0);
    assert_eq!(
        net.unknown_pairs(),
        0,
        "the stalled member still knows and is known"
    );
}

#[test]
fn a_flood_of_authenticated_datagrams_does_not_grow_the_membership() {
    let mut membership = Membership::new("s0", address(0), 1, &[], Settings::default(), 1, 0.0);
    for sequence in 0..100_000u64 {
        let from = MemberUpdate {
            name: "s1".into(),
            address: address(1),
            incarnation: 1,
            state: MemberState::Alive,
        };
        let payload = if sequence % 2 == 0 {
            Payload::PingRequest {
                sequence,
                address: address(2),
            }
        } else {
            Payload::Ack { sequence }
        };
        membership.handle_datagram(
            Datagram {
                from,
                view_digest: sequence,
                payload,
                updates: vec![],
            },
            sequence as f64,
        );
        assert!(
            membership.take_outgoing().len() <= 2,
            "one response each, and at times a request for the full view"
        );
    }
    assert!(format!("{membership:?}").len() < 20_000);
}
