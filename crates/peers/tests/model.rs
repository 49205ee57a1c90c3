//! Model checking of the membership protocol with three members: every order in which the datagrams of a step can
//! arrive, losses, a crash, and a partition that heals. Each test prints its limits and the number of states.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use martenlatch_peers::membership::{Datagram, MemberState, Membership, Payload, Settings};
use stateright::{Checker, Model, Property};

/// The duration of a step, in milliseconds.
const STEP: f64 = 50.0;
/// The name of the property that some state has a suspect.
const SOME_SUSPICION: &str = "some member is suspected";

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + member as u16))
}

fn name(member: usize) -> String {
    format!("s{member}")
}

fn settings() -> Settings {
    Settings {
        period: 100.0,
        ack_timeout: 50.0,
        indirect_probes: 1,
        suspicion_periods: 3.0,
        retention: 1e9,
        max_members: 8,
    }
}

/// A running member, with its `Debug` text, by which nodes are compared and hashed.
#[derive(Clone, Debug)]
struct Node(Membership, String);

impl Node {
    fn new(membership: Membership) -> Node {
        let text = format!("{membership:?}");
        Node(membership, text)
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.1 == other.1
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.1.hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NetworkState {
    nodes: Vec<Option<Node>>,
    /// The datagrams that were sent and have not arrived yet, with their receivers.
    in_transit: Vec<(usize, Datagram)>,
    step: u32,
    losses: u32,
    /// Steps since the last lost datagram or the end of the partition.
    steps_without_loss: u32,
    /// Whether any view changed to an earlier incarnation, or to an earlier state of the same incarnation.
    regressed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Transition {
    Deliver(usize),
    Lose(usize),
    Step,
}

struct Scenario {
    max_steps: u32,
    max_losses: u32,
    /// The steps in which the first member and the others cannot reach each other.
    partition: std::ops::Range<u32>,
    /// The steps in which datagrams to the first member are dropped, while those from it arrive.
    deaf: std::ops::Range<u32>,
    /// The step at which the last member crashes.
    crash_step: Option<u32>,
    /// Whether the datagrams of a step arrive in any order. Otherwise each member receives its own in any order, after
    /// the members with lower numbers have received theirs.
    any_order: bool,
    /// Number of steps without a loss after which all members know each other again.
    settling_steps: u32,
}

impl Scenario {
    /// Whether a datagram that is sent in this step cannot arrive.
    fn is_blocked(&self, step: u32, from: usize, to: usize) -> bool {
        (self.partition.contains(&step) && (from == 0) != (to == 0))
            || (self.deaf.contains(&step) && to == 0)
    }

    /// Puts a member's datagrams in transit, and notes whether its view regressed from that of `previous`.
    fn collect(
        &self,
        net: &mut NetworkState,
        member: usize,
        mut membership: Membership,
        previous: &Membership,
    ) {
        for (to, datagram) in membership.take_outgoing() {
            let to = usize::from(to.port() - 7_000);
            let is_running = net.nodes.get(to).is_some_and(Option::is_some);
            if is_running && !self.is_blocked(net.step, member, to) {
                net.in_transit.push((to, datagram));
            }
        }
        membership.take_changes();
        for old in previous.others() {
            let new = membership.others().find(|new| new.name == old.name);
            net.regressed |=
                new.is_none_or(|new| (new.incarnation, new.state) < (old.incarnation, old.state));
        }
        net.nodes[member] = Some(Node::new(membership));
        // Sorted, so that two states with the same datagrams in transit are equal.
        net.in_transit.sort_by_cached_key(|d| format!("{d:?}"));
    }
}

impl Model for Scenario {
    type State = NetworkState;
    type Action = Transition;

    fn init_states(&self) -> Vec<NetworkState> {
        let nodes = (0..3).map(|member| {
            let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
            let mut membership = Membership::new(
                &name(member),
                address(member),
                1,
                &seeds,
                settings(),
                member as u64,
                0.0,
            );
            for other in (0..3).filter(|other| *other != member) {
                let from =
                    Membership::new(&name(other), address(other), 1, &[], settings(), 0, 0.0)
                        .local()
                        .clone();
                let datagram = Datagram {
                    from,
                    view_digest: 0,
                    payload: Payload::View,
                    updates: vec![],
                };
                membership.handle_datagram(datagram, 0.0);
            }
            membership.take_outgoing();
            membership.take_changes();
            Some(Node::new(membership))
        });
        let nodes = nodes.collect();
        vec![NetworkState {
            nodes,
            in_transit: vec![],
            step: 0,
            losses: 0,
            steps_without_loss: 0,
            regressed: false,
        }]
    }

    fn actions(&self, net: &NetworkState, actions: &mut Vec<Transition>) {
        // Every datagram arrives or is lost in the step in which it is sent, in any order.
        let first_receiver = net.in_transit.iter().map(|(to, _)| *to).min();
        let deliverable =
            |index: &usize| self.any_order || Some(net.in_transit[*index].0) == first_receiver;
        let all = 0..net.in_transit.len();
        actions.extend(all.clone().filter(deliverable).map(Transition::Deliver));
        if net.losses < self.max_losses {
            actions.extend(all.map(Transition::Lose));
        }
        if net.in_transit.is_empty() && net.step < self.max_steps {
            actions.push(Transition::Step);
        }
    }

    fn next_state(&self, last: &NetworkState, action: Transition) -> Option<NetworkState> {
        let mut net = last.clone();
        let now = f64::from(net.step) * STEP;
        match action {
            Transition::Deliver(index) => {
                let (to, datagram) = net.in_transit.remove(index);
                let Some(Node(previous, _)) = net.nodes[to].clone() else {
                    return Some(net);
                };
                let mut membership = previous.clone();
                membership.handle_datagram(datagram, now);
                self.collect(&mut net, to, membership, &previous);
            }
            Transition::Lose(index) => {
                net.in_transit.remove(index);
                net.losses += 1;
                net.steps_without_loss = 0;
            }
            Transition::Step => {
                net.step += 1;
                net.steps_without_loss = if self.partition.contains(&net.step) {
                    0
                } else {
                    net.steps_without_loss + 1
                };
                if self.crash_step == Some(net.step) {
                    net.nodes[2] = None;
                }
                for member in 0..net.nodes.len() {
                    let Some(Node(previous, _)) = net.nodes[member].clone() else {
                        continue;
                    };
                    let mut membership = previous.clone();
                    membership.tick(f64::from(net.step) * STEP);
                    self.collect(&mut net, member, membership, &previous);
                }
            }
        }
        Some(net)
    }

    fn properties(&self) -> Vec<Property<Scenario>> {
        vec![
            Property::always(
                "a refuted suspicion causes no death, and no view regresses",
                |_, net: &NetworkState| !net.regressed,
            ),
            Property::always(
                "running members that can be reached know each other again",
                |scenario: &Scenario, net: &NetworkState| {
                    let settled = net.steps_without_loss >= scenario.settling_steps
                        && net.in_transit.is_empty();
                    !settled || unknown_pairs(net).is_empty()
                },
            ),
            Property::always(
                "two lost datagrams cause no suspicion",
                |scenario: &Scenario, net: &NetworkState| {
                    scenario.crash_step.is_some()
                        || !scenario.partition.is_empty()
                        || !scenario.deaf.is_empty()
                        || suspects(net).is_empty()
                },
            ),
            Property::always(
                "a member that is deaf for a short time is never seen as dead",
                |scenario: &Scenario, net: &NetworkState| {
                    scenario.deaf.is_empty() || not_live(net).is_empty()
                },
            ),
            Property::always(
                "a crashed member is seen as dead by all in time",
                |scenario: &Scenario, net: &NetworkState| {
                    let settling_steps = scenario.settling_steps;
                    let settled_after_crash = scenario
                        .crash_step
                        .is_some_and(|step| net.step >= step + settling_steps)
                        && net.steps_without_loss >= settling_steps;
                    let mut running = net.nodes.iter().flatten();
                    !settled_after_crash
                        || !net.in_transit.is_empty()
                        || running.all(|node| !sees_as_live(&node.0, 2))
                },
            ),
            Property::sometimes(SOME_SUSPICION, |_, net: &NetworkState| {
                !suspects(net).is_empty()
            }),
        ]
    }
}

fn sees_as_live(membership: &Membership, member: usize) -> bool {
    membership
        .others()
        .any(|other| other.name == name(member) && other.state.is_live())
}

/// The ordered pairs of running members in which the first does not see the second as a live member.
fn unknown_pairs(net: &NetworkState) -> BTreeSet<(usize, usize)> {
    let running: Vec<usize> = (0..3).filter(|i| net.nodes[*i].is_some()).collect();
    let pairs = running
        .iter()
        .flat_map(|a| running.iter().map(|b| (*a, *b)))
        .filter(|(a, b)| a != b);
    pairs
        .filter(|(a, b)| {
            net.nodes[*a]
                .as_ref()
                .is_some_and(|node| !sees_as_live(&node.0, *b))
        })
        .collect()
}

fn suspects(net: &NetworkState) -> Vec<String> {
    let views = net.nodes.iter().flatten().flat_map(|node| node.0.others());
    views
        .filter(|member| member.state == MemberState::Suspect)
        .map(|member| member.name.clone())
        .collect()
}

fn not_live(net: &NetworkState) -> Vec<String> {
    let views = net.nodes.iter().flatten().flat_map(|node| node.0.others());
    views
        .filter(|member| !member.state.is_live())
        .map(|member| member.name.clone())
        .collect()
}

fn check(title: &str, scenario: Scenario) {
    let (max_steps, max_losses) = (scenario.max_steps, scenario.max_losses);
    let expects_suspicion = max_losses != 2;
    let checker = scenario.checker().threads(4).spawn_bfs().join();
    println!(
        "{title}: {} states within {max_steps} steps and {max_losses} losses",
        checker.unique_state_count()
    );
    let mut discoveries = checker.discoveries();
    let suspected = discoveries.remove(SOME_SUSPICION).is_some();
    // All other properties must hold in every state, so a discovery for one of them is a violation.
    if let Some((name, path)) = discoveries.into_iter().next() {
        let last = path.last_state().clone();
        panic!(
            "{title}: {name}: violated after {:?}; views {:?}",
            path.into_actions(),
            last.nodes
        );
    }
    assert_eq!(suspected, expects_suspicion, "{title}: {SOME_SUSPICION}");
}

fn without_failures() -> Scenario {
    Scenario {
        max_steps: 13,
        max_losses: 0,
        partition: 0..0,
        deaf: 0..0,
        crash_step: None,
        any_order: true,
        settling_steps: 16,
    }
}

#[test]
fn two_lost_datagrams_cause_no_suspicion() {
    check(
        "two losses",
        Scenario {
            max_losses: 2,
            settling_steps: 10,
            ..without_failures()
        },
    );
}

#[test]
fn a_crashed_member_is_seen_as_dead_despite_a_lost_datagram() {
    check(
        "a crash",
        Scenario {
            max_steps: 20,
            max_losses: 1,
            crash_step: Some(2),
            ..without_failures()
        },
    );
}

#[test]
fn a_member_without_incoming_datagrams_refutes_its_suspicion() {
    check(
        "a deaf member",
        Scenario {
            max_steps: 24,
            deaf: 2..7,
            ..without_failures()
        },
    );
}

#[test]
fn the_sides_of_a_healed_partition_know_each_other_again() {
    check(
        "a partition",
        Scenario {
            max_steps: 36,
            partition: 2..18,
            any_order: false,
            ..without_failures()
        },
    );
}
