//! The protocol under a model checker: three members, every order in which the datagrams of a step can come, losses,
//! a death, a split and its end. The bounds searched and the number of states are printed.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use martenlatch_peers::membership::{Body, Datagram, Membership, Settings, State};
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

/// A member as a part of a state; two are the same where they are the same in everything.
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
    /// Where to, and what.
    flying: Vec<(usize, Datagram)>,
    step: u32,
    losses: u32,
    /// Steps since anything was lost.
    quiet: u32,
    /// What is known of a member has gone back, or a death has come over a life of a higher incarnation.
    back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(usize),
    Lose(usize),
    Step,
}

struct Bounds {
    steps: u32,
    losses: u32,
    /// In these steps the first member and the others cannot reach one another.
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
    /// Whether what one sends in a step cannot come to another.
    fn apart(&self, step: u32, from: usize, to: usize) -> bool {
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
            if net.nodes.get(to).is_some_and(|n| n.is_some()) && !self.apart(net.step, no, to) {
                net.flying.push((to, datagram));
            }
        }
        members.take_changes();
        for old in was.into_iter().flat_map(|w| w.others()) {
            let new = members.others().find(|r| r.name == old.name);
            net.back |= new.is_none_or(|n| (n.incarnation, n.state) < (old.incarnation, old.state));
        }
        net.nodes[no] = Some(Node::new(members));
        // Which of two equal sets it is does not matter.
        net.flying.sort_by_cached_key(|f| format!("{f:?}"));
    }
}

impl Model for Bounds {
    type State = SimulatedNetwork;
    type Action = Act;

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
                    digest: 0,
                    body: Body::View,
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
            flying: vec![],
            step: 0,
            losses: 0,
            quiet: 0,
            back: false,
        }]
    }

    fn actions(&self, net: &SimulatedNetwork, acts: &mut Vec<Act>) {
        // All that is on the way in a step comes or is lost in it, in any order.
        let first = net.flying.iter().map(|f| f.0).min();
        let open = |at: &usize| self.any_order || Some(net.flying[*at].0) == first;
        acts.extend((0..net.flying.len()).filter(open).map(Act::Deliver));
        if net.losses < self.losses {
            acts.extend((0..net.flying.len()).map(Act::Lose));
        }
        if net.flying.is_empty() && net.step < self.steps {
            acts.push(Act::Step);
        }
    }

    fn next_state(&self, last: &SimulatedNetwork, act: Act) -> Option<SimulatedNetwork> {
        let mut net = last.clone();
        let now = f64::from(net.step) * STEP;
        match act {
            Act::Deliver(at) => {
                let (to, datagram) = net.flying.remove(at);
                let Some(Node(was, _)) = net.nodes[to].clone() else {
                    return Some(net);
                };
                let mut members = was.clone();
                members.handle_datagram(datagram, now);
                self.collect(&mut net, to, members, Some(&was));
            }
            Act::Lose(at) => {
                net.flying.remove(at);
                net.losses += 1;
                net.quiet = 0;
            }
            Act::Step => {
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
                |_, net: &SimulatedNetwork| !net.back,
            ),
            Property::always(
                "none that runs and is reached is forgotten for good",
                |b: &Bounds, net: &SimulatedNetwork| {
                    let settled = net.quiet >= b.settles && net.flying.is_empty();
                    !settled || apart_from(net).is_empty()
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
                        || !net.flying.is_empty()
                        || net.nodes.iter().flatten().all(|n| !lives(&n.0, 2))
                },
            ),
            Property::sometimes("somebody is suspected", |_, net: &SimulatedNetwork| {
                !suspects(net).is_empty()
            }),
        ]
    }
}

fn lives(members: &Membership, no: usize) -> bool {
    members
        .others()
        .any(|r| r.name == name(no) && r.state.is_live())
}

/// Pairs of running members of which one does not hold the other for a member.
fn apart_from(net: &SimulatedNetwork) -> BTreeSet<(usize, usize)> {
    let running: Vec<usize> = (0..3).filter(|n| net.nodes[*n].is_some()).collect();
    let pairs = running
        .iter()
        .flat_map(|a| running.iter().map(|b| (*a, *b)))
        .filter(|(a, b)| a != b);
    pairs
        .filter(|(a, b)| net.nodes[*a].as_ref().is_some_and(|n| !lives(&n.0, *b)))
        .collect()
}

fn suspects(net: &SimulatedNetwork) -> Vec<String> {
    let views = net.nodes.iter().flatten().flat_map(|n| n.0.others());
    views
        .filter(|r| r.state == State::Suspect)
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
fn any_two_datagrams_lost_and_any_order() {
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
fn a_member_dies_and_any_one_datagram_is_lost() {
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
fn a_member_that_hears_nothing_for_a_while_refutes_what_was_said_of_it() {
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
fn two_halves_that_had_held_each_other_for_dead_meet_again() {
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
