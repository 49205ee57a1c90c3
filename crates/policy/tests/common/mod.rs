//! A sender for the tests, which run its turns and report its outcomes by hand.
#![allow(dead_code)]

use martenlatch_policy::Policy;
use martenlatch_policy::interface::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(idempotency: Idempotency) -> MessageClass {
    MessageClass {
        latency_objective: 2 * S,
        deadline: 20 * S,
        priority_weight: 1.0,
        late_weight_share: 0.3,
        idempotency,
        ordered: false,
    }
}

pub fn settings(classes: Vec<MessageClass>) -> Settings {
    Settings {
        senders: 1,
        zone: ZoneId(0),
        zone_prices: vec![0.0, 0.0],
        kinds: vec![
            DestinationKind {
                per_endpoint: false,
            },
            DestinationKind { per_endpoint: true },
        ],
        classes,
        decay: Decay::Halving,
        weight_meaning: EndpointWeights::Nominal,
        max_in_flight: 8,
        max_open_messages: 100,
        max_attempts: 6,
        may_cancel: true,
        may_hedge: true,
        max_retry_after: None,
        recovery: RecoveryRamp {
            overload_factor: 2.0,
            overload_window: 2 * S,
            initial_share: 0.2,
            duration: 10 * S,
        },
        key_quiet_period: 300 * MS,
        connect_timeout: 1500 * MS,
        idle_timeout: 15 * S,
        turn_interval: 5 * MS,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
    }
}

pub struct TestSender {
    pub policy: Policy,
    pub now: Nanos,
    latest_id: u64,
    /// Number of attempts sent, by message.
    pub attempts: std::collections::BTreeMap<u64, u32>,
}

impl TestSender {
    pub fn new(settings: Settings) -> TestSender {
        TestSender::seeded(settings, 1)
    }

    pub fn seeded(settings: Settings, seed: u64) -> TestSender {
        TestSender {
            policy: Policy::new(settings, seed).unwrap(),
            now: S,
            latest_id: 0,
            attempts: Default::default(),
        }
    }

    pub fn turn(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.turn(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Send { id, .. } = action {
                *self.attempts.entry(id.0).or_insert(0) += 1;
            }
        }
        actions
    }

    /// Runs a turn every 5 ms for a duration, and returns all actions.
    pub fn advance(&mut self, duration: Nanos) -> Vec<Action> {
        let (until, mut all) = (self.now + duration, Vec::new());
        while self.now < until {
            self.now += 5 * MS;
            all.extend(self.turn(&[Event::Wake]));
        }
        all
    }

    /// Sends a complete endpoint list. Each entry is an endpoint, its destination, zone and destination kind.
    pub fn list_endpoints(&mut self, endpoints: &[(u32, u64, usize, usize)]) {
        let entry =
            |&(endpoint, destination, zone, kind): &(u32, u64, usize, usize)| EndpointEntry {
                endpoint: EndpointId(endpoint),
                zone: ZoneId(zone),
                kind: KindId(kind),
                destination: DestinationId(destination),
                state: EndpointState::Active,
                weight: 20.0,
            };
        self.turn(&[Event::EndpointList(endpoints.iter().map(entry).collect())]);
    }

    /// The event of a new message, whose deadline is `time_left` from now.
    pub fn new_message(
        &mut self,
        destination: u64,
        class: usize,
        time_left: Nanos,
        key: Option<u64>,
    ) -> Event {
        self.latest_id += 1;
        Event::MessageAccepted {
            id: MessageId(self.latest_id),
            destination: DestinationId(destination),
            class: ClassId(class),
            deadline: self.now + time_left,
            key: key.map(KeyId),
        }
    }

    /// Accepts a message and runs a turn.
    pub fn accept(&mut self, destination: u64, class: usize) -> (MessageId, Vec<Action>) {
        let event = self.new_message(destination, class, 20 * S, None);
        let id = MessageId(self.latest_id);
        let actions = self.turn(&[event]);
        (id, actions)
    }

    pub fn end_attempt(
        &mut self,
        id: MessageId,
        attempt: u32,
        outcome: Outcome,
        took: Nanos,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Success;
        self.turn(&[Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took,
            finished,
        }])
    }

    /// Sends messages that succeed, so that the destination's latency is known.
    pub fn warm_up(&mut self, destination: u64, class: usize, count: usize, took: Nanos) {
        for _ in 0..count {
            let (id, actions) = self.accept(destination, class);
            assert_eq!(
                sends(&actions).len(),
                1,
                "a healthy destination is sent to at once"
            );
            self.now += took;
            self.end_attempt(id, 0, Outcome::Success, took);
        }
    }
}

/// Message, endpoint and timeout of each send.
pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId, Nanos)> {
    let send = |a: &Action| match a {
        Action::Send {
            id,
            endpoint,
            timeout,
            ..
        } => Some((*id, *endpoint, *timeout)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn is_rejected(actions: &[Action], id: MessageId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id: rejected, .. } if *rejected == id))
}

pub fn is_failed(actions: &[Action], id: MessageId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Fail { id: failed } if *failed == id))
}

pub const IDEMPOTENT: Idempotency = Idempotency::Idempotent;
pub const OVERLOADED: Outcome = Outcome::Overloaded { retry_after: 0 };

pub fn two_endpoints(classes: Vec<MessageClass>) -> TestSender {
    let mut sender = TestSender::new(settings(classes));
    sender.list_endpoints(&[(0, 1, 0, 0), (1, 1, 1, 0)]);
    sender
}

/// Number of senders in [`sparse_traffic`].
pub const SENDERS: usize = 200;
/// Rate limit of the endpoints of [`entry`], in calls a second.
pub const RATE_LIMIT: f64 = 10.0;

pub fn entry(endpoint: u32, destination: u64) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        zone: ZoneId(0),
        kind: KindId(0),
        destination: DestinationId(destination),
        state: EndpointState::Active,
        weight: RATE_LIMIT,
    }
}

/// Settings of one of many senders, each with little traffic.
pub fn sparse_traffic() -> Settings {
    Settings {
        senders: SENDERS as u32,
        max_in_flight: 3,
        max_open_messages: 12,
        ..settings(vec![class(Idempotency::Idempotent)])
    }
}
