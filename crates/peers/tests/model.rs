//! Model checking of the membership protocol: three members, every order in which the datagrams of a step can arrive,
//! losses, a crash, and a partition that heals. The searched bounds and the number of states are printed.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use martenlatch_peers::membership::{Datagram, MemberState, Membership, Payload, Settings};
use stateright::{Checker, Model, Property};

const STEP: f64 = 50.0;

fn address(no: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + no as u16))
}

fn name(no: usize) -> String {
    format!("s{no}")
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

/// A member as a part of a state, with all of its own state as text, by which nodes are compared.
#[derive(Clone, Debug)]
struct Node(Membership, String);

impl Node {
    fn new(members: Membership) -> Node {
        let whole = format!("{members:?}");
        Node(members, whole)
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
struct SimulatedNetwork {
    nodes: Vec<Option<Node>>,
    /// Datagrams on their way, with their receivers.
    in_transit: Vec<(usize, Datagram)>,
    step: u32,
    losses: u32,
    /// Steps since anything was lost.
    quiet: u32,
    /// Some view went back to an earlier incarnation, or to an earlier state within one.
    regressed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Transition {
    Deliver(usize),
    Lose(usize),
    Step,
}

struct Bounds {
    steps: u32,
    losses: u32,
    /// In these steps the first member and the others cannot reach each other.
    split: std::ops::Range<u32>,
    /// In these steps nothing reaches the first member, and what it sends arrives.
    deaf: std::ops::Range<u32>,
    /// The last member dies at this step.
    dies: Option<u32>,
    /// All orders over all members; else in any order at each member, the first one's before the next one's.
    any_order: bool,
    /// After so many steps without a loss everybody knows everybody again.
    settles: u32,
}

impl Bounds {
    /// Whether a datagram that is sent in a step cannot arrive.
    fn cut_off(&self, step: u32, from: usize, to: usize) -> bool {
        (self.split.contains(&step) && (from == 0) != (to == 0))
            || (self.deaf.contains(&step) && to == 0)
    }

    /// Gives every member its due, then puts what it sends on the way.
    fn collect(
        &self,
        net: &mut SimulatedNetwork,
        no: usize,
        members: Membership,
        was: Option<&Membership>,
    ) {
        let mut members = members;
        for (to, datagram) in members.take_outgoing() {
            let to = usize::from(to.port() - 7_000);
            if net.nodes.get(to).is_some_and(|n| n.is_some()) && !self.cut_off(net.step, no, to) {
                net.in_transit.push((to, datagram));
            }
        }
        members.take_changes();
        for old in was.into_iter().flat_map(|w| w.others()) {
            let new = members.others().find(|r| r.name == old.name);
            net.regressed |=
                new.is_none_or(|n| (n.incarnation, n.state) < (old.incarnation, old.state));
        }
        net.nodes[no] = Some(Node::new(members));
        // Which of two equal sets it is does not matter.
        net.in_transit.sort_by_cached_key(|f| format!("{f:?}"));
    }
}

impl Model for Bounds {
    type State = SimulatedNetwork;
    type Action = Transition;

    fn init_states(&self) -> Vec<SimulatedNetwork> {
        let nodes = (0..3).map(|no| {
            let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
            let mut members = Membership::new(
                &name(no),
                address(no),
                1,
                &seeds,
                settings(),
                no as u64,
                0.0,
            );
            for other in (0..3).filter(|o| *o != no) {
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
                members.handle_datagram(datagram, 0.0);
            }
            members.take_outgoing();
            members.take_changes();
            Some(Node::new(members))
        });
        let nodes = nodes.collect();
        vec![SimulatedNetwork {
            nodes,
            in_transit: vec![],
            step: 0,
            losses: 0,
            quiet: 0,
            regressed: false,
        }]
    }

    fn actions(&self, net: &SimulatedNetwork, acts: &mut Vec<Transition>) {
        // All that is on the way in a step comes or is lost in it, in any order.
        let first = net.in_transit.iter().map(|f| f.0).min();
        let open = |at: &usize| self.any_order || Some(net.in_transit[*at].0) == first;
        acts.extend(
            (0..net.in_transit.len())
                .filter(open)
                .map(Transition::Deliver),
        );
        if net.losses < self.losses {
            acts.extend((0..net.in_transit.len()).map(Transition::Lose));
        }
        if net.in_transit.is_empty() && net.step < self.steps {
            acts.push(Transition::Step);
        }
    }

    fn next_state(&self, last: &SimulatedNetwork, act: Transition) -> Option<SimulatedNetwork> {
        let mut net = last.clone();
        let now = f64::from(net.step) * STEP;
        match act {
            Transition::Deliver(at) => {
                let (to, datagram) = net.in_transit.remove(at);
                let Some(Node(was, _)) = net.nodes[to].clone() else {
                    return Some(net);
                };
                let mut members = was.clone();
                members.handle_datagram(datagram, now);
                self.collect(&mut net, to, members, Some(&was));
            }
            Transition::Lose(at) => {
                net.in_transit.remove(at);
                net.losses += 1;
                net.quiet = 0;
            }
            Transition::Step => {
                net.step += 1;
                net.quiet = if self.split.contains(&net.step) {
                    0
                } else {
                    net.quiet + 1
                };
                if self.dies == Some(net.step) {
                    net.nodes[2] = None;
                }
                for no in 0..net.nodes.len() {
                    let Some(Node(was, _)) = net.nodes[no].clone() else {
                        continue;
                    };
                    let mut members = was.clone();
                    members.tick(f64::from(net.step) * STEP);
                    self.collect(&mut net, no, members, Some(&was));
                }
            }
        }
        Some(net)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always(
                "a refuted suspicion never kills, and nothing known goes back",
                |_, net: &SimulatedNetwork| !net.regressed,
            ),
            Property::always(
                "none that runs and is reached is forgotten for good",
                |b: &Bounds, net: &SimulatedNetwork| {
                    let settled = net.quiet >= b.settles && net.in_transit.is_empty();
                    !settled || unknown_pairs(net).is_empty()
                },
            ),
            Property::always(
                "two lost datagrams make nobody a suspect",
                |b: &Bounds, net: &SimulatedNetwork| {
                    b.dies.is_some()
                        || !b.split.is_empty()
                        || !b.deaf.is_empty()
                        || suspects(net).is_empty()
                },
            ),
            Property::always(
                "one that is deaf for a moment is never dead",
                |b: &Bounds, net: &SimulatedNetwork| b.deaf.is_empty() || dead(net).is_empty(),
            ),
            Property::always(
                "one that died is held for dead by all in time",
                |b: &Bounds, net: &SimulatedNetwork| {
                    let late = b.dies.is_some_and(|at| net.step >= at + b.settles)
                        && net.quiet >= b.settles;
                    !late
                        || !net.in_transit.is_empty()
                        || net.nodes.iter().flatten().all(|n| !sees_as_live(&n.0, 2))
                },
            ),
            Property::sometimes("somebody is suspected", |_, net: &SimulatedNetwork| {
                !suspects(net).is_empty()
            }),
        ]
    }
}

fn sees_as_live(members: &Membership, no: usize) -> bool {
    members
        .others()
        .any(|r| r.name == name(no) && r.state.is_live())
}

/// Pairs of running members of which one does not hold the other for a member.
fn unknown_pairs(net: &SimulatedNetwork) -> BTreeSet<(usize, usize)> {
    let running: Vec<usize> = (0..3).filter(|n| net.nodes[*n].is_some()).collect();
    let pairs = running
        .iter()
        .flat_map(|a| running.iter().map(|b| (*a, *b)))
        .filter(|(a, b)| a != b);
    pairs
        .filter(|(a, b)| {
            net.nodes[*a]
                .as_ref()
                .is_some_and(|n| !sees_as_live(&n.0, *b))
        })
        .collect()
}

fn suspects(net: &SimulatedNetwork) -> Vec<String> {
    let views = net.nodes.iter().flatten().flat_map(|n| n.0.others());
    views
        .filter(|r| r.state == MemberState::Suspect)
        .map(|r| r.name.clone())
        .collect()
}

fn dead(net: &SimulatedNetwork) -> Vec<String> {
    let views = net.nodes.iter().flatten().flat_map(|n| n.0.others());
    views
        .filter(|r| !r.state.is_live())
        .map(|r| r.name.clone())
        .collect()
}

fn check(what: &str, bounds: Bounds) {
    let steps = bounds.steps;
    let (losses, quiet) = (bounds.losses, bounds.losses == 2);
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    println!(
        "{what}: {} states within {steps} steps and {losses} losses",
        checker.unique_state_count()
    );
    for found in [
        "a refuted suspicion",
        "none that runs",
        "two lost datagrams",
        "one that",
    ] {
        let broken = checker
            .discoveries()
            .into_iter()
            .find(|(name, _)| name.starts_with(found));
        if let Some((name, path)) = broken {
            let last = path.last_state().clone();
            panic!(
                "{what}: {name}: broken after {:?}; views {:?}",
                path.into_actions(),
                last.nodes
            );
        }
    }
    let suspected = checker.discovery("somebody is suspected").is_some();
    assert!(suspected != quiet, "{what}: nothing was put to the test");
}

fn calm() -> Bounds {
    Bounds {
        steps: 13,
        losses: 0,
        split: 0..0,
        deaf: 0..0,
        dies: None,
        any_order: true,
        settles: 16,
    }
}

#[test]
fn two_lost_datagrams_in_any_order() {
    check(
        "two losses",
        Bounds {
            losses: 2,
            settles: 10,
            ..calm()
        },
    );
}

#[test]
fn a_crash_and_one_lost_datagram() {
    check(
        "a death",
        Bounds {
            steps: 20,
            losses: 1,
            dies: Some(2),
            ..calm()
        },
    );
}

#[test]
fn a_member_without_incoming_datagrams_refutes_its_suspicion() {
    check(
        "a deaf member",
        Bounds {
            steps: 24,
            deaf: 2..7,
            ..calm()
        },
    );
}

#[test]
fn two_halves_that_declared_each_other_dead_merge_again() {
    check(
        "a split",
        Bounds {
            steps: 36,
            split: 2..18,
            any_order: false,
            ..calm()
        },
    );
}
