//! A tiny fleet: two senders, three endpoints of two partners. The decision module and the write-ahead log are the
//! project's own; the fleet carries out what they want as the sender does, and knows no rule.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use martenlatch_clock::{Millis, nanos};
use martenlatch_lab::event_log::{CallFailure, EventKind, LoggedEvent};
use martenlatch_lab::experiment::Effect;
use martenlatch_lab::judge::{ClassRule, Judge};
use martenlatch_lab::model::partner::{COLLAPSE_FACTOR, COLLAPSE_WINDOW};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    ClassId, Decay, DestinationId, DestinationKind, EndpointEntry, EndpointId, EndpointState,
    EndpointWeights, Event, Idempotency, KeyId, KindId, MessageClass, MessageId, RecoveryRamp,
    Settings, ZoneId,
};
use martenlatch_wal::{MessageRecord, WriteAheadLog};

use crate::steps::{Pick, Step};

/// The classes, by their numbers: non-idempotent, with an idempotency key, and ordered by key.
pub const UNSAFE: u32 = 0;
pub const KEYED: u32 = 1;
pub const ORDERED: u32 = 2;
/// The partner of each endpoint.
pub const OWNER: [u32; 3] = [0, 0, 1];
pub const SENDERS: usize = 2;
pub const ENDPOINTS: u32 = 3;
const DEADLINE: Millis = 6_000.0;
pub const WINDOW: Millis = 3_000.0;
/// Calls a second that a warm partner takes; the endpoint list tells it.
pub const CAPACITY: f64 = 4.0;
/// Share of its capacity that a partner has right after an outage ...
pub const INITIAL_SHARE: f64 = 0.22;
/// ... and how long it takes to warm up.
pub const WARM_UP: Millis = 9_000.0;
pub const ATTEMPTS: u32 = 8;
const WAL_SIZE: u64 = 3_000_000;
/// So many messages are delivered first, each within so long, that a percentile is believed and requests are hedged.
const DELIVERED_FIRST: usize = 7;
const DELIVERED_WITHIN: Millis = 300.0;

pub struct Call {
    pub id: u64,
    pub attempt: u32,
    pub sender: usize,
    pub partner: u32,
    pub sent: Millis,
    pub due: Millis,
}

pub struct HeldMessage {
    pub record: MessageRecord,
    pub open: bool,
}

pub struct Sender {
    pub policy: Option<Policy>,
    pub wal: Option<WriteAheadLog>,
    pub folder: PathBuf,
    pub held: BTreeMap<u64, HeldMessage>,
    pub wake_at: Option<Millis>,
    pub incarnation: u64,
}

/// What a search has seen, so that it can be shown to have seen it.
#[derive(Default, Debug)]
pub struct Seen {
    pub orders: usize,
    pub hedges: usize,
    pub retries: usize,
    pub retry_afters: usize,
    pub drains: usize,
    pub recovering: usize,
    pub withdrawals: usize,
    pub resumed: usize,
    pub left: usize,
}

pub struct Fleet {
    pub now: Millis,
    pub judge: Judge,
    pub senders: Vec<Sender>,
    pub calls: BTreeMap<u64, Call>,
    pub next_call: u64,
    pub next_id: u64,
    /// Endpoints that drain.
    pub draining: BTreeSet<u32>,
    /// Partners in an outage.
    pub out: BTreeSet<u32>,
    pub recovered_at: BTreeMap<u32, Millis>,
    pub recent_arrivals: BTreeMap<u32, Vec<Millis>>,
    pub collapsed: bool,
    pub seen: Seen,
    /// Has the senders forget to report what was given up: a fault, to see it found.
    pub drops_reports: bool,
}

fn settings() -> Settings {
    let class = |idempotency, ordered| MessageClass {
        latency_objective: nanos(2_000.0),
        deadline: nanos(DEADLINE),
        priority_weight: 1.0,
        late_weight_share: 0.4,
        idempotency,
        ordered,
    };
    let keyed = Idempotency::IdempotencyKey {
        per_zone: false,
        window: nanos(WINDOW),
    };
    Settings {
        senders: SENDERS as u32,
        zone: ZoneId(0),
        zone_prices: vec![0.0],
        kinds: vec![DestinationKind {
            per_endpoint: false,
        }],
        classes: vec![
            class(Idempotency::NonIdempotent, false),
            class(keyed, false),
            class(Idempotency::NonIdempotent, true),
        ],
        decay: Decay::Halving,
        weight_meaning: EndpointWeights::Nominal,
        max_in_flight: 4,
        max_open_messages: 8,
        max_attempts: ATTEMPTS,
        may_cancel: true,
        may_hedge: true,
        max_retry_after: Some(nanos(3_000.0)),
        recovery: RecoveryRamp {
            overload_factor: COLLAPSE_FACTOR,
            overload_window: nanos(COLLAPSE_WINDOW),
            initial_share: INITIAL_SHARE,
            duration: nanos(WARM_UP),
        },
        key_quiet_period: nanos(300.0),
        connect_timeout: nanos(1_000.0),
        idle_timeout: nanos(15_000.0),
        turn_interval: nanos(5.0),
        cross_zone_price: 0.0,
        handshake_price: 0.0,
    }
}

fn judge() -> Judge {
    let rule = |effect| ClassRule {
        effect,
        window: WINDOW,
    };
    let rules = vec![
        rule(Effect::Unsafe),
        rule(Effect::Keyed),
        rule(Effect::Unsafe),
    ];
    Judge::new(rules, ATTEMPTS)
}

impl Fleet {
    pub fn new(folder: &Path) -> Fleet {
        let sender = |number: usize| Sender {
            policy: None,
            wal: None,
            folder: folder.join(number.to_string()),
            held: BTreeMap::new(),
            wake_at: None,
            incarnation: 0,
        };
        let mut fleet = Fleet {
            now: 1e6,
            judge: judge(),
            senders: (0..SENDERS).map(sender).collect(),
            calls: BTreeMap::new(),
            next_call: 0,
            next_id: 0,
            draining: BTreeSet::new(),
            out: BTreeSet::new(),
            recovered_at: BTreeMap::new(),
            recent_arrivals: BTreeMap::new(),
            collapsed: false,
            seen: Seen::default(),
            drops_reports: false,
        };
        for sender in 0..SENDERS {
            fleet.start_fresh(sender);
        }
        fleet.seen = Seen::default();
        fleet
    }

    /// Starts a sender with an empty folder, and has it deliver enough that requests may be hedged.
    fn start_fresh(&mut self, sender: usize) {
        let folder = &self.senders[sender].folder;
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder).unwrap();
        self.start(sender);
        for _ in 0..DELIVERED_FIRST {
            self.hand_in(sender, KEYED, 0, true);
            self.pass(DELIVERED_WITHIN);
            self.take(Step::Served(Pick::Oldest));
        }
    }

    pub fn fact(&mut self, kind: EventKind) {
        self.judge.observe(&LoggedEvent { at: self.now, kind });
    }

    pub fn entry(&self, endpoint: u32) -> EndpointEntry {
        EndpointEntry {
            endpoint: EndpointId(endpoint),
            zone: ZoneId(0),
            kind: KindId(0),
            destination: DestinationId(OWNER[endpoint as usize].into()),
            state: if self.draining.contains(&endpoint) {
                EndpointState::Draining
            } else {
                EndpointState::Active
            },
            weight: CAPACITY,
        }
    }

    pub fn listed(&mut self, sender: usize, endpoint: u32) {
        self.fact(EventKind::Listed {
            sender: sender as u32,
            endpoint,
            partner: OWNER[endpoint as usize],
            in_service: !self.draining.contains(&endpoint),
        });
    }

    /// Starts a sender's process, unless one runs; it resumes what its write-ahead log holds.
    pub fn start(&mut self, number: usize) {
        if self.senders[number].policy.is_some() {
            return;
        }
        for endpoint in 0..ENDPOINTS {
            self.listed(number, endpoint);
        }
        let sender = number as u32;
        self.fact(EventKind::SenderReady { sender });
        let entries = (0..ENDPOINTS).map(|endpoint| self.entry(endpoint));
        let mut events = vec![Event::EndpointList(entries.collect())];
        let started = &mut self.senders[number];
        let (wal, past) = WriteAheadLog::open(&started.folder, WAL_SIZE);
        started.wal = Some(wal);
        started.held.clear();
        for (id, record) in past.open_messages {
            self.seen.resumed += 1;
            assert_eq!(record.final_status, None, "ends are confirmed at once here");
            events.push(resumed(id, &record));
            started.held.insert(id, HeldMessage { record, open: true });
        }
        started.incarnation += 1;
        let seed = started.incarnation * 2 + number as u64;
        started.policy = Some(Policy::new(settings(), seed).unwrap());
        self.turn(number, events);
    }

    /// Kills a sender's process; its calls die with it.
    pub fn kill(&mut self, number: usize) {
        if self.senders[number].policy.is_none() {
            return;
        }
        let calls = self.calls.iter();
        let died: Vec<u64> = calls
            .filter(|(_, call)| call.sender == number)
            .map(|(call, _)| *call)
            .collect();
        for call in died {
            self.calls.remove(&call);
            let cause = CallFailure::SenderEnded;
            self.fact(EventKind::CallFailed { call, cause });
        }
        let sender = number as u32;
        self.fact(EventKind::SenderEnded { sender });
        let killed = &mut self.senders[number];
        killed.policy = None;
        killed.wal = None;
        killed.wake_at = None;
    }

    /// A client hands a message in; it leaves before its 202 unless it `stays`.
    pub fn hand_in(&mut self, sender: usize, class: u32, partner: u32, stays: bool) {
        if self.senders[sender].policy.is_none() {
            return;
        }
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + DEADLINE;
        let key = (class == ORDERED).then_some(1);
        self.fact(EventKind::Submitted {
            origin: id,
            id,
            sender: sender as u32,
            class,
            partner,
            first: self.now,
            deadline,
            key,
        });
        let record = message_record(id, class, partner, deadline);
        let accepting = &mut self.senders[sender];
        let wal = accepting.wal.as_mut().unwrap();
        assert!(wal.append_message(&record));
        if !stays {
            wal.append_closed(id, &record.id);
            self.seen.left += 1;
            return self.fact(EventKind::ClientAnswered { id, status: 0 });
        }
        accepting
            .held
            .insert(id, HeldMessage { record, open: true });
        self.fact(EventKind::ClientAnswered { id, status: 202 });
        let accepted = Event::MessageAccepted {
            id: MessageId(id),
            destination: DestinationId(partner.into()),
            class: ClassId(class as usize),
            deadline: nanos(deadline),
            key: key.map(KeyId),
        };
        self.turn(sender, vec![accepted]);
    }
}

fn message_record(id: u64, class: u32, partner: u32, deadline: Millis) -> MessageRecord {
    MessageRecord {
        number: id,
        id: Rc::from(id.to_string()),
        class: Rc::from(class.to_string()),
        destination: partner.into(),
        deadline,
        idempotency_key: None,
        body: Rc::from([]),
        attempts: Vec::new(),
        final_status: None,
        class_rules: Rc::from([]),
    }
}

/// The event that tells a new process of a message that its write-ahead log holds.
fn resumed(id: u64, record: &MessageRecord) -> Event {
    let ran = record.attempts.iter().find(|attempt| !attempt.never_ran);
    Event::MessageResumed {
        id: MessageId(id),
        destination: DestinationId(record.destination),
        class: ClassId(record.class.parse().unwrap()),
        deadline: nanos(record.deadline),
        attempts: record.attempts.len() as u32,
        may_have_run_since: ran.map(|attempt| nanos(attempt.sent_at)),
    }
}
