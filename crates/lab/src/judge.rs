//! Owns the rules, as one who reads only what crossed: facts in the order of time, breaches out. It must never ask
//! the model or the sender what was meant, and never forgive a breach because of what came of it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::fmt;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};

use crate::event_log::{Fact, Silence, What};
use crate::experiment::Effect;
use crate::model::partner::{COLLAPSE_WINDOW, Reply};

/// Every time limit is so much longer than the rule says.
const SLACK: Millis = 50.0;
/// After its time is up, a message's end may still be on the way for so long.
const LOST_AFTER: Millis = 300.0;
/// No notice is overdue until so long after a sender is ready again.
const AFTER_START: Millis = 1_500.0;
/// Calls that come so soon after a wait was told had left before.
const TRAVEL: Millis = 100.0;
/// A drain must be kept so long after it was told.
const DRAIN: Millis = 1_000.0;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Rule {
    /// Each message that was taken on gets one final answer, and nothing is sent for it afterwards.
    OneAnswer,
    /// And it gets it by its time.
    Lost,
    /// What may have run and must not be repeated is not sent again, nor given up as harmless to repeat.
    NoSecondEffect,
    /// What carries a key is not repeated once the key may be forgotten.
    KeyWindow,
    /// Nothing is sent to a partner that told to wait.
    Waits,
    /// Nothing new goes to an endpoint that drains, 1 s after that was told.
    Drains,
    /// No cold partner is pushed over by senders that saw it fail.
    NoneToppled,
    /// At most so many attempts for one handing in.
    Attempts,
    /// A message goes to its own partner's endpoints.
    RightPartner,
    /// Messages of one key go one at a time, in the order taken.
    Order,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// The handing in that it is about; none where it is about a partner.
    pub id: Option<u64>,
    /// When.
    pub at: Millis,
    /// What happened, with its instants.
    pub text: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.id.map_or(String::new(), |id| format!(" message {id}"));
        write!(f, "{:?} at {:.1} ms:{id} {}", self.rule, self.at, self.text)
    }
}

/// What the rules need to know of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRule {
    /// What a repeat does.
    pub effect: Effect,
    /// How long a key is remembered, in milliseconds.
    pub window: Millis,
}

#[derive(Debug)]
struct Held {
    origin: u64,
    sender: u32,
    class: u32,
    partner: u32,
    deadline: Millis,
    /// Its client has heard that it is taken on, or that it is not.
    taken: Option<bool>,
    delivered: Option<Millis>,
    /// It was called off while its answer was on the way, or its sender has ended since.
    unheard: bool,
    ended: Option<(Millis, bool)>,
    calls: u32,
    out: u32,
    closed: bool,
    key: Option<u64>,
}

#[derive(Debug)]
struct Call {
    id: u64,
    origin: u64,
    sender: u32,
    partner: u32,
    class: u32,
    since: Millis,
}

/// What a rule on repeats looks at as one. A second effect of an unsafe message is one whoever handed it in again; of
/// a keyed one a sender knows only the handing in that it took on, and clients come again inside the key's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Same {
    Origin(u64),
    Id(u64),
}

/// What an answer said that its sender must have heard to be held to it.
#[derive(Clone, Copy, Debug)]
enum Written {
    /// A handing in was served.
    Served(u64),
    /// A sender must not call a partner; with the wait that held before, if any.
    Wait((u32, u32), Option<(Millis, Millis)>),
}

/// Reads a history, and keeps what the rules say of it.
#[derive(Debug)]
pub struct Judge {
    classes: Vec<ClassRule>,
    max_attempts: u32,
    held: HashMap<u64, Held>,
    calls: HashMap<u64, Call>,
    /// Of what may have run: the calls that may, with when the first of them left.
    may_have_run: HashMap<Same, (Millis, HashSet<u64>)>,
    /// Calls answered a moment ago: a sender may have called one off before it could hear.
    written: VecDeque<(Millis, u64, Written)>,
    /// Whose time is up when, by sender.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    waits: HashMap<(u32, u32), (Millis, Millis)>,
    /// Endpoints that drain, since when, by sender.
    drains: HashMap<(u32, u32), Millis>,
    /// What was handed in with a key and is not over, by sender and key, in the order taken.
    turns: HashMap<(u32, u64), VecDeque<u64>>,
    owner: HashMap<u32, u32>,
    /// Until when a sender's ends are not overdue: it is down, or has just come back.
    excused: HashMap<u32, Millis>,
    out: HashSet<u32>,
    /// Senders that saw a partner fail during its present or latest outage.
    saw: HashMap<u32, HashSet<u32>>,
    recent: HashMap<u32, VecDeque<(Millis, u32)>>,
    last: Millis,
    breaches: Vec<Breach>,
    /// Messages over which are counted, not kept.
    most: usize,
    /// How many breaches there were of each rule.
    pub counts: std::collections::BTreeMap<Rule, u64>,
}

impl Judge {
    /// A judge for classes in their order, who lets each handing in have so many attempts.
    pub fn new(classes: Vec<ClassRule>, max_attempts: u32) -> Judge {
        Judge {
            classes,
            max_attempts,
            held: HashMap::new(),
            calls: HashMap::new(),
            may_have_run: HashMap::new(),
            written: VecDeque::new(),
            due: BinaryHeap::new(),
            waits: HashMap::new(),
            drains: HashMap::new(),
            turns: HashMap::new(),
            owner: HashMap::new(),
            excused: HashMap::new(),
            out: HashSet::new(),
            saw: HashMap::new(),
            recent: HashMap::new(),
            last: 0.0,
            breaches: Vec::new(),
            most: 100,
            counts: Default::default(),
        }
    }

    fn breach(&mut self, rule: Rule, id: Option<u64>, at: Millis, text: String) {
        *self.counts.entry(rule).or_insert(0) += 1;
        if self.breaches.len() < self.most {
            self.breaches.push(Breach { rule, id, at, text });
        }
    }

    /// Takes the next fact; facts must come in the order of time.
    pub fn hear(&mut self, fact: &Fact) {
        let at = fact.at;
        self.look_at_the_clock(at);
        self.last = self.last.max(at);
        match fact.what {
            What::HandedIn {
                origin,
                id,
                sender,
                class,
                partner,
                deadline,
                key,
                ..
            } => {
                if let Some(key) = key {
                    self.turns.entry((sender, key)).or_default().push_back(id);
                }
                let (taken, delivered, ended) = (None, None, None);
                let (calls, out, closed) = (0, 0, false);
                self.due
                    .push(Reverse(((deadline + LOST_AFTER).to_bits(), id)));
                self.held.insert(
                    id,
                    Held {
                        origin,
                        sender,
                        class,
                        partner,
                        deadline,
                        taken,
                        delivered,
                        unheard: false,
                        ended,
                        calls,
                        out,
                        closed,
                        key,
                    },
                );
            }
            What::Answered { id, status } => self.answered(id, status, at),
            What::Listed {
                sender,
                endpoint,
                partner,
                on,
            } => {
                self.owner.insert(endpoint, partner);
                if on {
                    self.drains.remove(&(sender, endpoint));
                } else {
                    self.drains.entry((sender, endpoint)).or_insert(at);
                }
            }
            What::Call {
                call,
                id,
                sender,
                partner,
                endpoint,
                ..
            } => {
                self.call(call, id, (sender, partner, endpoint), at);
            }
            What::Arrived { call } => self.arrived(call, at),
            What::Ran { .. } => {}
            What::Replied { call, reply } => self.replied(call, reply, at),
            What::Ended { call, how } => self.silent(call, how, at),
            What::Notice { id, deferred, .. } => self.notice(id, deferred, at),
            What::Withdrawn { id } => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.ended.get_or_insert((at, false));
                }
            }
            What::Out { partner, out } => {
                if out && self.out.insert(partner) {
                    self.saw.remove(&partner);
                }
                if !out {
                    self.out.remove(&partner);
                }
            }
            What::Toppled { partner } => self.toppled(partner, at),
            What::Joins { .. } => {}
            What::Ready { sender } => {
                self.excused.insert(sender, at + AFTER_START);
                self.waits.retain(|(s, _), _| *s != sender);
            }
            What::Told { sender } => {
                self.excused.insert(sender, f64::INFINITY);
            }
            What::Gone { sender } => {
                self.excused.insert(sender, f64::INFINITY);
                // Its next life may not know of a delivery. What may be repeated is answered as delivered once more;
                // what may not is looked at by its own rule.
                self.held
                    .values_mut()
                    .filter(|h| h.sender == sender)
                    .for_each(|h| h.unheard = true);
            }
        }
    }

    /// Whatever should have ended by now.
    fn look_at_the_clock(&mut self, now: Millis) {
        while let Some(Reverse((due, id))) = self
            .due
            .peek()
            .copied()
            .filter(|Reverse((d, _))| f64::from_bits(*d) < now)
        {
            self.due.pop();
            let Some(held) = self.held.get_mut(&id) else {
                continue;
            };
            if held.delivered.is_some() || held.ended.is_some() || held.taken != Some(true) {
                held.closed = true;
                self.forget(id);
                continue;
            }
            let excused = self.excused.get(&held.sender).copied().unwrap_or(0.0);
            if excused.is_infinite() {
                // Looked at again once its sender is back.
                self.due.push(Reverse(((now + 1_000.0).to_bits(), id)));
                continue;
            }
            if excused > f64::from_bits(due) {
                self.due.push(Reverse((excused.to_bits(), id)));
                continue;
            }
            held.closed = true;
            let (sender, deadline) = (held.sender, held.deadline);
            let text =
                format!("taken on by sender {sender}, had no end by its time, {deadline:.1} ms");
            self.breach(Rule::Lost, Some(id), f64::from_bits(due), text);
            self.forget(id);
        }
    }

    /// A message whose time is over and that has nothing out is not kept.
    fn forget(&mut self, id: u64) {
        if self.held.get(&id).is_some_and(|h| h.out == 0 && h.closed) {
            self.held.remove(&id);
            self.may_have_run.remove(&Same::Id(id));
        }
    }

    fn answered(&mut self, id: u64, status: u16, at: Millis) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let taken = matches!(status, 200 | 202);
        held.taken = Some(taken);
        if !taken && held.calls > 0 && matches!(status, 429 | 503) {
            let text = format!(
                "{} calls had left for it when it was refused with {status}",
                held.calls
            );
            self.breach(Rule::OneAnswer, Some(id), at, text);
        }
    }

    fn call(&mut self, call: u64, id: u64, to: (u32, u32, u32), at: Millis) {
        let (sender, partner, endpoint) = to;
        let Some(held) = self.held.get_mut(&id) else {
            let text = format!(
                "a call to partner {partner} for a message that is over or was never handed in"
            );
            return self.breach(Rule::OneAnswer, Some(id), at, text);
        };
        held.calls += 1;
        held.out += 1;
        let (origin, class, calls, own) = (held.origin, held.class, held.calls, held.partner);
        let heard = held.delivered.filter(|_| !held.unheard);
        let (ended, delivered, refused) = (held.ended, heard, held.taken == Some(false));
        let since = at;
        self.calls.insert(
            call,
            Call {
                id,
                origin,
                sender,
                partner,
                class,
                since,
            },
        );
        if own != partner || self.owner.get(&endpoint).is_some_and(|o| *o != own) {
            let text = format!(
                "it is for partner {own} and went to endpoint {endpoint} of partner {partner}"
            );
            self.breach(Rule::RightPartner, Some(id), at, text);
        }
        if calls > self.max_attempts {
            self.breach(
                Rule::Attempts,
                Some(id),
                at,
                format!("attempt {calls} of {}", self.max_attempts),
            );
        }
        if let Some((when, _)) = ended {
            self.breach(
                Rule::OneAnswer,
                Some(id),
                at,
                format!("a call after its notice of {when:.1} ms"),
            );
        } else if refused {
            self.breach(
                Rule::OneAnswer,
                Some(id),
                at,
                "a call after its client was refused".into(),
            );
        } else if let Some(when) = delivered.filter(|when| at > when + TRAVEL + SLACK) {
            self.breach(
                Rule::OneAnswer,
                Some(id),
                at,
                format!("a call after its delivery at {when:.1} ms"),
            );
        }
        if let Some(told) = self
            .drains
            .get(&(sender, endpoint))
            .copied()
            .filter(|t| at > t + DRAIN + SLACK)
        {
            let text = format!(
                "sender {sender} began a call to endpoint {endpoint}, told to drain at {told:.1} ms"
            );
            self.breach(Rule::Drains, Some(id), at, text);
        }
        self.in_turn(id, at);
        let recent = self.recent.entry(partner).or_default();
        recent.push_back((at, sender));
        while recent
            .front()
            .is_some_and(|(t, _)| *t < at - COLLAPSE_WINDOW)
        {
            recent.pop_front();
        }
    }

    /// Whether all that was taken before it with its key is over, with nothing out.
    fn in_turn(&mut self, id: u64, at: Millis) {
        let Some((sender, key)) = self.held.get(&id).and_then(|h| Some((h.sender, h.key?))) else {
            return;
        };
        let over = |id: &u64| {
            let open = |h: &Held| h.out > 0 || (h.delivered.is_none() && h.ended.is_none());
            !self.held.get(id).is_some_and(open)
        };
        let turns = self.turns.entry((sender, key)).or_default();
        while turns
            .front()
            .is_some_and(|first| *first != id && over(first))
        {
            turns.pop_front();
        }
        if let Some(first) = turns.front().copied().filter(|first| *first < id) {
            let text = format!("sent before message {first} of its key was over");
            self.breach(Rule::Order, Some(id), at, text);
        }
    }

    fn arrived(&mut self, call: u64, at: Millis) {
        let Some(c) = self.calls.get(&call) else {
            return;
        };
        let (id, origin, class, since) = (c.id, c.origin, c.class, c.since);
        let (sender, partner) = (c.sender, c.partner);
        if let Some((told, until)) = self.waits.get(&(sender, partner)).copied()
            && at > told + TRAVEL + SLACK
            && at < until - SLACK
        {
            let text = format!(
                "came to partner {partner}, which told sender {sender} at {told:.1} ms to wait until {until:.1} ms"
            );
            self.breach(Rule::Waits, Some(id), at, text);
        }
        let Some(rule) = self.classes.get(class as usize).copied() else {
            return;
        };
        let same = self.same(class, origin, id);
        let before = self
            .may_have_run
            .get(&same)
            .filter(|(_, calls)| calls.iter().any(|c| *c != call));
        if let Some((first, _)) = before {
            let first = *first;
            match rule.effect {
                Effect::Unsafe => {
                    let text = format!("sent again though the call of {first:.1} ms may have run");
                    self.breach(Rule::NoSecondEffect, Some(id), at, text);
                }
                Effect::Keyed if at > first + rule.window + SLACK => {
                    let text = format!(
                        "repeated {:.1} ms after its first call, its key lasts {:.1}",
                        at - first,
                        rule.window
                    );
                    self.breach(Rule::KeyWindow, Some(id), at, text);
                }
                _ => {}
            }
        }
        let entry = self
            .may_have_run
            .entry(same)
            .or_insert((since, HashSet::new()));
        entry.1.insert(call);
    }

    fn same(&self, class: u32, origin: u64, id: u64) -> Same {
        match self.classes.get(class as usize).map(|c| c.effect) {
            Some(Effect::Unsafe) => Same::Origin(origin),
            _ => Same::Id(id),
        }
    }

    /// A call is over; `ran`: it may have.
    fn over(&mut self, call: u64, ran: bool) -> Option<Call> {
        let c = self.calls.remove(&call)?;
        let same = self.same(c.class, c.origin, c.id);
        if !ran && let Some((_, calls)) = self.may_have_run.get_mut(&same) {
            calls.remove(&call);
            if calls.is_empty() {
                self.may_have_run.remove(&same);
            }
        }
        if let Some(held) = self.held.get_mut(&c.id) {
            held.out -= 1;
        }
        Some(c)
    }

    fn replied(&mut self, call: u64, reply: Reply, at: Millis) {
        let Some(c) = self.over(call, !matches!(reply, Reply::Refused(_))) else {
            return;
        };
        if reply != Reply::Served && self.out.contains(&c.partner) {
            self.saw.entry(c.partner).or_default().insert(c.sender);
        }
        match reply {
            Reply::Served => {
                if let Some(held) = self.held.get_mut(&c.id) {
                    held.delivered.get_or_insert(at);
                    self.written.push_back((at, call, Written::Served(c.id)));
                    if held.ended.is_some_and(|(_, deferred)| deferred) {
                        let text = "served after it was given up as never run".to_string();
                        self.breach(Rule::OneAnswer, Some(c.id), at, text);
                    }
                }
            }
            Reply::Refused(Some(wait)) => {
                let until = at + wait;
                let who = (c.sender, c.partner);
                let before = self.waits.get(&who).copied();
                // A longer wait that was told before holds as well.
                if before.is_none_or(|(_, earlier)| until >= earlier) {
                    self.waits.insert(who, (at, until));
                    self.written
                        .push_back((at, call, Written::Wait(who, before)));
                }
            }
            _ => {}
        }
        self.forget(c.id);
    }

    fn silent(&mut self, call: u64, how: Silence, at: Millis) {
        while self
            .written
            .front()
            .is_some_and(|(when, ..)| *when < at - TRAVEL - SLACK)
        {
            self.written.pop_front();
        }
        match self
            .written
            .iter()
            .find(|(_, c, _)| *c == call)
            .map(|(.., what)| *what)
        {
            Some(Written::Served(id)) => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.unheard = true;
                }
            }
            Some(Written::Wait(who, before)) => {
                self.waits.remove(&who);
                self.waits.extend(before.map(|wait| (who, wait)));
            }
            None => {}
        }
        let Some(c) = self.over(call, how != Silence::NeverSent) else {
            return;
        };
        if self.out.contains(&c.partner) && how != Silence::Died {
            self.saw.entry(c.partner).or_default().insert(c.sender);
        }
        self.forget(c.id);
    }

    fn notice(&mut self, id: u64, deferred: bool, at: Millis) {
        // One for a message that is already over does no harm.
        let Some(held) = self.held.get_mut(&id).filter(|h| h.delivered.is_none()) else {
            return;
        };
        if let Some((when, before)) = held.ended {
            if before != deferred {
                let text = format!("a second and different end; the first came at {when:.1} ms");
                self.breach(Rule::OneAnswer, Some(id), at, text);
            }
            return;
        }
        held.ended = Some((at, deferred));
        let (origin, class) = (held.origin, held.class);
        let unsafe_one = self
            .classes
            .get(class as usize)
            .is_some_and(|c| c.effect == Effect::Unsafe);
        if deferred && unsafe_one && self.may_have_run.contains_key(&Same::Origin(origin)) {
            let text = "given up as harmless to repeat, though it may have run".to_string();
            self.breach(Rule::NoSecondEffect, Some(id), at, text);
        }
        self.forget(id);
    }

    fn toppled(&mut self, partner: u32, at: Millis) {
        let none = HashSet::new();
        let saw = self.saw.get(&partner).unwrap_or(&none);
        let all = self.recent.get(&partner).map_or(0, VecDeque::len);
        let blamed = self
            .recent
            .get(&partner)
            .into_iter()
            .flatten()
            .filter(|(_, s)| saw.contains(s))
            .count();
        if all > 0 && blamed * 3 >= all * 2 {
            let text = format!(
                "partner {partner} fell over; {blamed} of {all} calls came from senders that saw it fail"
            );
            self.breach(Rule::NoneToppled, None, at, text);
        }
    }

    /// Ends the history at an instant, and says what was broken.
    pub fn end(mut self, at: Millis) -> Verdict {
        self.look_at_the_clock(at);
        Verdict {
            breaches: self.breaches,
            counts: self.counts,
        }
    }
}

/// What the judge found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The first hundred breaches.
    pub breaches: Vec<Breach>,
    /// All of them, by rule.
    pub counts: std::collections::BTreeMap<Rule, u64>,
}

impl Verdict {
    /// Whether every rule was kept.
    pub fn clean(&self) -> bool {
        self.counts.is_empty()
    }
}
