//! Repeats of a message with an idempotency key: every order of three attempts in two zones, of what became of them, and
//! of the steps that rewrite what is known of them.

use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    ClassId, DestinationId, EndpointEntry, EndpointState, Event, KindId, Outcome, ZoneId,
};
use rstest::rstest;

use super::*;
use crate::egress::{AnsweredAttempt, AttemptResult, Evidence, MessageGone, SendPermission};
use crate::pipeline::{completion, dispatch, send_gate::SendGate};

const NUMBER: u64 = 3;
const DESTINATION: u64 = 7;
/// How long endpoints remember a key.
const WINDOW: Millis = 5_000.0;
/// The longest wait for the next attempt. With a third attempt, some orders pass the end of the window.
const LONGEST_WAIT: Millis = 1_600.0;
const FIRST_WAIT: Millis = 50.0;
const ENDPOINTS: [EndpointId; 2] = [EndpointId(0), EndpointId(1)];

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// The endpoint says that it never ran.
    Refused,
    /// It ran and failed.
    Failed,
    /// It timed out.
    Unanswered,
}

/// A step that rewrites what is known of the attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rewrite {
    Nothing,
    /// Another process takes over while this one serves.
    Replacement,
    /// The process ends, and the next one reads the log.
    Restart,
    /// The answer to the first attempt may belong to another request.
    DoubtOfFirst,
    /// The answer to the latest attempt may belong to another request.
    DoubtOfLatest,
    /// All endpoints are removed from the list, and then listed again.
    Relisting,
}

const ENDINGS: [Ending; 3] = [Ending::Refused, Ending::Failed, Ending::Unanswered];
const REWRITES: [Rewrite; 6] = [
    Rewrite::Nothing,
    Rewrite::Replacement,
    Rewrite::Restart,
    Rewrite::DoubtOfFirst,
    Rewrite::DoubtOfLatest,
    Rewrite::Relisting,
];

/// An attempt in a zone, which is the only one that takes requests then, and the step behind it.
#[derive(Clone, Copy, Debug)]
struct Turn {
    zone: usize,
    ending: Ending,
    rewrite: Rewrite,
}

/// What is known of an attempt, kept independently of the sender.
#[derive(Clone, Copy, Debug)]
struct TrackedAttempt {
    zone: Option<usize>,
    sent_at: Millis,
    may_have_run: bool,
    is_answered: bool,
}

/// A sender with one message, and what is known of its attempts.
struct World {
    driver: Driver,
    clock: Clock,
    settings: platform::PlatformSettings,
    has_key_per_zone: bool,
    attempts: Vec<TrackedAttempt>,
    /// Attempts behind one that may have run.
    repeats: usize,
    /// Attempts that the policy did not allow.
    withheld: usize,
    _events: TestLoop,
}

/// The settings of two zones with one endpoint each, which has limits of its own.
fn settings_with_key_scope(scope: &str) -> String {
    SETTINGS
        .replace(r#""Areas":["a"]"#, r#""Areas":["a","b"]"#)
        .replace(
            r#""Effect":"side_effect""#,
            &format!(
                r#""Effect":"token","KeyScope":"{scope}","MemorySpan":{}"#,
                nanos(WINDOW)
            ),
        )
        .replace(r#""FamilyInfo":{"#, r#""FamilyInfo":{"OwnLimits":[true],"#)
}

fn entry(zone: usize, state: EndpointState) -> EndpointEntry {
    EndpointEntry {
        endpoint: ENDPOINTS[zone],
        zone: ZoneId(zone),
        kind: KindId(0),
        destination: DestinationId(DESTINATION),
        state,
        weight: 1_000.0,
    }
}

impl World {
    fn new(scope: &str) -> World {
        let settings = settings_with_key_scope(scope);
        let target = |uid: &str, zone: &str| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"127.77.0.1:9","az":"{zone}","model":"k","pod_group":{DESTINATION},"state":"in_service"}}"#
            )
        };
        let known = format!(
            r#"{{"targets":[{},{}]}}"#,
            target("s-a", "a"),
            target("s-b", "b")
        );
        let state = empty_folder(&folder_name(&format!("repeats-{scope}")));
        let clock = Clock::manual(START);
        let discovery = "127.77.0.1:9".parse().unwrap();
        let (driver, events) = start_driver(&state, &settings, &known, discovery, &clock);
        World {
            driver,
            clock,
            settings: platform::read(&settings).unwrap(),
            has_key_per_zone: scope != "all",
            attempts: Vec::new(),
            repeats: 0,
            withheld: 0,
            _events: events,
        }
    }

    fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Starts with a new message and a decision module that knows nothing yet.
    fn accept_message(&mut self) {
        self.attempts.clear();
        self.driver.decision.events.clear();
        completion::compact_log(&mut self.driver.store, self.clock.now());
        let record = MessageRecord {
            idempotency_key: Some(Rc::from("key")),
            deadline: self.now() + 16_000.0,
            ..unattempted_message(0.0)
        };
        assert!(self.driver.store.wal.append_message(&record));
        let accepted = Event::MessageAccepted {
            id: MessageId(NUMBER),
            destination: DestinationId(DESTINATION),
            class: ClassId(0),
            deadline: nanos(record.deadline),
            key: None,
        };
        self.driver.store.insert(record, MessageState::Open);
        self.start_policy();
        self.driver.decision.events.push(accepted);
    }

    /// Replaces the decision module by a new one, which knows the endpoints only.
    fn start_policy(&mut self) {
        let seed = 1;
        self.driver.decision.policy = Policy::new(self.settings.settings.clone(), seed).unwrap();
        self.list_endpoints(&[0, 1]);
    }

    fn list_endpoints(&mut self, zones: &[usize]) {
        let entries = zones.iter().map(|zone| entry(*zone, EndpointState::Active));
        let list = Event::EndpointList(entries.collect());
        self.driver.decision.events.push(list);
    }

    /// Lets only the endpoint of one zone take requests.
    fn open_only(&mut self, zone: usize) {
        let changes = vec![
            entry(zone, EndpointState::Active),
            entry(1 - zone, EndpointState::Draining),
        ];
        self.driver
            .decision
            .events
            .push(Event::EndpointChanges(changes));
    }

    /// Whether the rules allow an attempt in a zone now.
    fn is_allowed(&self, zone: usize) -> bool {
        let mut runs = self.attempts.iter().filter(|attempt| attempt.may_have_run);
        let is_known = |attempt: &TrackedAttempt| {
            let knows_zone = !self.has_key_per_zone || attempt.zone == Some(zone);
            knows_zone && self.now() <= attempt.sent_at + WINDOW
        };
        runs.all(is_known)
    }

    /// Checks that the gate before the first byte allows just what the rules allow.
    fn check_gate(&self, order: &[Turn]) {
        let Some(message) = self.driver.store.messages.get(&NUMBER) else {
            return;
        };
        if message.state != MessageState::Open {
            return;
        }
        for (zone, endpoint) in ENDPOINTS.into_iter().enumerate() {
            let permitted = self.gate().permits(message, endpoint, self.now());
            assert_eq!(
                permitted,
                self.is_allowed(zone),
                "zone {zone}: {:?} in {order:?}",
                self.attempts
            );
        }
    }

    fn gate(&self) -> SendGate<'_> {
        SendGate {
            class_rules: &self.driver.admission.class_rules,
            directory: &self.driver.directory,
            retry_after_table: &self.driver.retry_after_table,
            violations: &self.driver.violations,
        }
    }

    /// Waits for an attempt in the only zone that takes requests. Returns whether there was one.
    fn await_attempt(&mut self, zone: usize, order: &[Turn]) -> bool {
        let mut wait = FIRST_WAIT;
        while wait <= LONGEST_WAIT {
            self.driver.decision.events.push(Event::Wake);
            let now = self.now();
            for action in self.driver.decision.turn(now) {
                match action {
                    Action::Send { endpoint, .. } => {
                        assert_eq!(endpoint, ENDPOINTS[zone], "{order:?}");
                        self.begin_attempt(zone, order);
                        return true;
                    }
                    Action::Reject { .. } => self.check_rejection(order),
                    _ => {}
                }
            }
            self.clock.set(now + wait);
            wait *= 2.0;
        }
        false
    }

    /// Begins the attempt that the decision module has requested.
    fn begin_attempt(&mut self, zone: usize, order: &[Turn]) {
        assert!(
            self.is_allowed(zone),
            "sent to zone {zone} after {:?}: {order:?}",
            self.attempts
        );
        self.repeats += usize::from(self.attempts.iter().any(|attempt| attempt.may_have_run));
        let now = self.now();
        let store = &mut self.driver.store;
        let message = store.messages.get_mut(&NUMBER).unwrap();
        let number = dispatch::add_attempt(message, Some(ZoneId(zone)), now);
        let permission = dispatch::record_attempt(store, MessageId(NUMBER), number as usize, now);
        assert_eq!(permission, SendPermission::Granted);
        self.attempts.push(TrackedAttempt {
            zone: Some(zone),
            sent_at: now,
            may_have_run: true,
            is_answered: false,
        });
    }

    /// A client may be asked to hand a message in again only if that cannot make it run twice.
    fn check_rejection(&self, order: &[Turn]) {
        let may_have_run = self.attempts.iter().any(|attempt| attempt.may_have_run);
        assert!(
            !self.has_key_per_zone || !may_have_run,
            "rejected after {:?}: {order:?}",
            self.attempts
        );
    }

    fn end_attempt(&mut self, ending: Ending) {
        let latest = self.attempts.last_mut().unwrap();
        latest.may_have_run = ending != Ending::Refused;
        latest.is_answered = ending != Ending::Unanswered;
        let outcome = match ending {
            Ending::Refused => Outcome::Overloaded { retry_after: 0 },
            Ending::Failed => Outcome::Failure,
            Ending::Unanswered => Outcome::TimedOut,
        };
        self.driver.egress.results.push(AttemptResult {
            id: MessageId(NUMBER),
            attempt: self.attempts.len() as u32 - 1,
            endpoint: None,
            outcome,
            took: 5.0,
            gone: MessageGone::No,
            evidence: Evidence::Certain,
        });
        self.driver.process_attempt_results(self.now());
    }

    fn rewrite(&mut self, rewrite: Rewrite) {
        let now = self.now();
        let latest = self.attempts.len() - 1;
        match rewrite {
            Rewrite::Nothing => {}
            Rewrite::Replacement => self.replace_process(now),
            Rewrite::Restart => self.restart_from_log(),
            Rewrite::DoubtOfFirst => self.doubt(0),
            Rewrite::DoubtOfLatest => self.doubt(latest),
            Rewrite::Relisting => {
                self.list_endpoints(&[]);
                self.driver.decision.turn(now);
                self.list_endpoints(&[0, 1]);
            }
        }
    }

    /// Passes the state on as to a successor process.
    fn replace_process(&mut self, now: Millis) {
        self.driver.decision.turn(now);
        let held = self.driver.held_messages();
        let policy = postcard::to_allocvec(&self.driver.decision.policy).unwrap();
        self.driver.decision.policy = postcard::from_bytes(&policy).unwrap();
        self.driver.store.open_count = 0;
        self.driver.restore_messages(held);
        self.driver.resume_inherited();
    }

    /// Recovers the message as from the log, which says nothing of zones.
    fn restart_from_log(&mut self) {
        self.driver.decision.events.clear();
        self.start_policy();
        let store = &mut self.driver.store;
        let record = store.record(NUMBER).unwrap().clone();
        store.open_count = 0;
        let reporter = &mut self.driver.status_reporter;
        let event = self.driver.admission.resume(record, store, reporter);
        self.driver.decision.events.extend(event);
        for attempt in &mut self.attempts {
            attempt.zone = None;
        }
    }

    fn doubt(&mut self, attempt: usize) {
        if !self.attempts[attempt].is_answered {
            return;
        }
        self.attempts[attempt].may_have_run = true;
        let answered = AnsweredAttempt {
            id: MessageId(NUMBER),
            attempt: attempt as u32,
        };
        self.driver
            .doubt_response(answered, MessageGone::No, self.now());
    }

    fn play(&mut self, order: &[Turn]) {
        self.accept_message();
        for turn in order {
            self.open_only(turn.zone);
            if !self.await_attempt(turn.zone, order) {
                self.withheld += 1;
                break;
            }
            self.check_gate(order);
            self.end_attempt(turn.ending);
            self.check_gate(order);
            self.rewrite(turn.rewrite);
            self.check_gate(order);
        }
        completion::close_delivered(NUMBER, &mut self.driver.store);
        assert!(self.driver.store.messages.is_empty(), "{order:?}");
    }
}

/// All attempts in one zone with all endings and all steps behind them.
fn turns(zone: usize) -> Vec<Turn> {
    let of_ending = |ending| {
        REWRITES.map(|rewrite| Turn {
            zone,
            ending,
            rewrite,
        })
    };
    ENDINGS.into_iter().flat_map(of_ending).collect()
}

/// Guards against a second run in another zone: a step that rewrites what is known of the attempts blurred where one of
/// them may have run, and no gate looked at zones.
#[rstest]
#[case::all_endpoints("all")]
#[case::zone("zone")]
#[case::cell("cell")]
fn in_every_order_a_message_is_repeated_only_where_its_key_is_known(#[case] scope: &str) {
    let in_both_zones: Vec<Turn> = [turns(0), turns(1)].concat();
    let mut world = World::new(scope);
    // The zones are alike, so the first attempt is in the first one.
    for first in turns(0) {
        for second in &in_both_zones {
            for third in &in_both_zones {
                world.play(&[first, *second, *third]);
            }
        }
    }
    println!("{} repeats, {} withheld", world.repeats, world.withheld);
    assert!(world.repeats > 0, "repeats are tried");
    assert!(world.withheld > 0, "repeats are withheld");
}
