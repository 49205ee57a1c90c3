//! Every decision of a sender. The types that it works on (events, actions, settings) are in `interface.rs`.

use crate::call_counts::CallCounts;
use crate::interface::*;
use crate::latency_window::LatencyWindow;
use crate::random::Random;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

mod observations;
mod restore;

const MS: Nanos = 1_000_000;
/// Delay of a copy, as a percentile of served latencies: the design's p95.
const COPY_PERCENTILE: f64 = 0.95;
/// Served calls that the estimator remembers: enough for a p95, few enough to follow a change of pace.
const LATENCIES: usize = LatencyWindow::CAPACITY;
/// Served calls before a percentile is believed; under these the delay would wobble low.
const SEEN_ENOUGH: usize = 6;
/// Stands for a call's time while nothing is learned: a second, long for a call and short for a client.
const UNKNOWN_CALL: Nanos = 1000 * MS;
/// First step of the pacing gap where no limit is told; a few calls' worth of a small partner's second.
const GAP_STEP: Nanos = 50 * MS;
/// The pacing gap's cap, from the design.
const GAP_CAP: Nanos = 1000 * MS;
/// Share of the gap that a served call takes off: refusals, which may use limits up, level out at one in 17.
/// The second where it is wider than two steps, the sender's whole even share of a told limit.
const GAP_SHRINK: (f64, f64) = (0.04, 0.5);
/// Bad outcomes in a row that make an outage, and among the last eight that start the return budget: most.
const BAD_RUN: u32 = 4;
const BAD_AMONG: u32 = 5;
/// A call out for this many p95 is overdue: it counts as a bad outcome, and may be lost.
const SILENT_AFTER: f64 = 4.0;
/// Least time before a call is overdue, so that a quick partner's hiccup is none.
const SILENT_LEAST: Nanos = 1200 * MS;
/// Refusals in a row, over so many spans of the fail-back rule, that mean shut: a busy one would serve some.
const SHUT_RUN: u32 = 5;
const SHUT_SPANS: Nanos = 2;
/// Doubt at which a sender rests from a route for its share of what a cold one takes: one loss is no trouble.
const DOUBT: f64 = 2.0;
/// Longest rest, in cold times: with one, 200 senders that saw an outage come back too close together.
const REST_COLDS: Nanos = 2;
/// How well tries after a refusal pay: where it starts, and its memory.
const PAYS_FIRST: f64 = 0.5;
const PAYS_MEMORY: f64 = 0.25;
/// Slots up to which one free slot is enough for a copy, and a lone hung call is called off for others.
const FEW_SLOTS: usize = 3;
/// Pause between single trials of a route in an outage, doubled up to the cap.
const TRIAL_FIRST: Nanos = 500 * MS;
const TRIAL_CAP: Nanos = 2000 * MS;
/// Part of the return budget that is used; the rest is for chance and for what travels at the same time.
const BUDGET_PART: f64 = 0.8;
/// A told rough figure may be half too high.
const ROUGH: f64 = 1.5;
/// Part of a key's memory that is used: the rest is for travel, there and into the queue.
const MEMORY_PART: f64 = 0.85;
/// Part of the slots that calls of one destination may take, and of one that does not answer.
const SLOT_SHARE: (f64, f64) = (0.5, 0.2);
/// Time limit of a call that may be repeated, in p95.
const LIMIT: Nanos = 6;
/// Part of the hold limit that one destination may fill with waiting messages; part kept free for others.
const HOLD_SHARE: (f64, f64) = (0.6, 0.06);
/// The weight of earning now, against what a wait of such a call would cost.
const EARN_WEIGHT: f64 = 0.3;
/// How soon a message is looked at again that waits for a slot, a turn or a budget; outcomes wake it sooner.
const PULSE: Nanos = 20 * MS;
/// A turn that comes this much after its due time follows a stall.
const STALL: Nanos = 100 * MS;
/// Senders with one history are spread over so long, each by its seed.
const SPREAD: Nanos = 100 * MS;

type RouteKey = (DestinationId, Option<EndpointId>);

/// A pace, a limit and outages of their own: an endpoint where routes are apart, else a destination.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Route {
    /// Back from an outage, or failing in part: within the return budget, which ramps from then.
    returning: Option<Nanos>,
    latencies: LatencyWindow,
    /// What was seen amiss since it last served, when last, and until when the sender rests from it for that.
    doubt: f64,
    failed: Nanos,
    rest_until: Nanos,
    gap: Nanos,
    rise: Nanos,
    last_send: Option<Nanos>,
    wait_until: Nanos,
    limit: Option<f64>,
    /// When calls were sent in the span of the fail-back rule.
    sent: VecDeque<Nanos>,
    /// The last eight outcomes, newest lowest; a bit is set for a bad one.
    bad: u8,
    refused_run: u32,
    unrefused: Nanos,
    /// When the latest of the served calls was sent.
    served_sent: Nanos,
    calls: CallCounts,
    /// Attempts out: message, attempt, time of sending.
    out: Vec<(MessageId, u32, Nanos)>,
}

impl Route {
    fn down(&self) -> bool {
        self.bad.trailing_ones() >= BAD_RUN
    }

    /// What is sent there now is likely to be lost or refused, and mostly shows how the route is.
    fn on_trial(&self) -> bool {
        self.down() || self.refused_run >= BAD_RUN
    }

    fn warm(&self, now: Nanos, set: &Settings) -> bool {
        !self.down() && self.returning.is_none_or(|since| now >= since + set.recovery.duration)
    }

    /// What it may send a cold route in a span of the fail-back rule: of many senders, far under one call.
    fn budget(&self, now: Nanos, set: &Settings) -> f64 {
        let (fall, down) = (&set.recovery, self.down());
        let back = self.returning.filter(|_| !down).map_or(0, |since| now.saturating_sub(since));
        let warmth = (back as f64 / fall.duration.max(1) as f64).min(1.0);
        BUDGET_PART
            * fall.overload_factor
            * (fall.initial_share + (1.0 - fall.initial_share) * warmth)
            * self.share(set)
    }

    /// This sender's even share of what the route takes in a span; a lone call tells nothing of a rate.
    fn share(&self, set: &Settings) -> f64 {
        set.recovery.overload_window as f64
            / self.limit.map_or(set.recovery.duration, |_| self.even(set)).max(1) as f64
    }

    /// Time in which all senders together send what a route takes; told none, it is fit for a fleet.
    fn even(&self, set: &Settings) -> Nanos {
        let untold = (GAP_STEP * Nanos::from(set.senders)).min(GAP_CAP);
        self.limit.map_or(untold, |l| (set.senders as f64 / l * 1e9) as Nanos)
    }

    /// Time between calls at which all senders together keep to a budget; a few cold times are enough.
    fn spacing(&self, budget: f64, set: &Settings) -> Nanos {
        ((set.recovery.overload_window as f64 / budget.max(1e-9)) as Nanos)
            .min(REST_COLDS * set.recovery.duration)
    }

    fn ready_at(&self) -> Nanos {
        self.last_send.map_or(0, |t| t + self.gap).max(self.wait_until).max(self.rest_until)
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Endpoint {
    destination: DestinationId,
    zone: ZoneId,
    kind: KindId,
    stage: EndpointState,
    route: RouteKey,
    /// Smoothed latency of served calls; 0 until there is one.
    pace: Nanos,
    fails: u32,
    out: usize,
    last_send: Nanos,
    /// A call may follow before its connection idles out: none has yet come too late for that.
    in_use: bool,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Attempt {
    endpoint: EndpointId,
    zone: Option<ZoneId>,
    sent: Nanos,
    end: Option<Outcome>,
    cancelled: bool,
    overdue: bool,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Message {
    destination: DestinationId,
    class: ClassId,
    deadline: Nanos,
    key: Option<KeyId>,
    attempts: Vec<Attempt>,
    not_before: Nanos,
    copied: bool,
    spent: bool,
    done: bool,
}

impl Message {
    fn out(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.end.is_none())
    }

    fn waiting(&self) -> bool {
        !self.done && self.out().next().is_none()
    }

    /// The first attempt that is not proven never to have run.
    fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.end.is_none_or(|end| !end.never_ran()))
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Key {
    queue: VecDeque<MessageId>,
    quiet_until: Nanos,
}

/// The decisions of one sender.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Policy {
    set: Settings,
    now: Nanos,
    /// No call may be out past this: the sender ends.
    closing: Option<Nanos>,
    random: Random,
    /// What this sender adds to each span of its return budgets, by its seed.
    stagger: Nanos,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// The endpoints of each destination.
    of: BTreeMap<DestinationId, Vec<EndpointId>>,
    routes: BTreeMap<RouteKey, Route>,
    messages: BTreeMap<MessageId, Message>,
    keys: BTreeMap<KeyId, Key>,
    /// Calls out, over all routes.
    calls: usize,
    wake_due: Option<Nanos>,
    no_copies_until: Nanos,
    /// Latencies over all routes: what is known of one that this sender has hardly met.
    pooled: LatencyWindow,
    stalled: bool,
    /// For each kind of destination: how often a try is served where the last was refused.
    pays: Vec<f64>,
}

impl Policy {
    /// A sender that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Policy, SettingsError> {
        settings.check()?;
        let pays = vec![PAYS_FIRST; settings.kinds.len()];
        let stagger = ((seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) * SPREAD) >> 24;
        Ok(Policy { set: settings, random: Random::new(seed), stagger, pays, ..Policy::default() })
    }

    /// Takes in what happened and says what to do now. Call it once for all that has come in by `now`.
    pub fn turn(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        // A stalled sender finds every held call past its delay at once; copies would leave in a wave.
        self.stalled = self.wake_due.is_some_and(|due| self.now > due + STALL);
        if self.stalled {
            self.no_copies_until = self.now + STALL;
        }
        events.iter().for_each(|event| self.take(event, actions));
        self.judge_overdue(actions);
        self.dispatch(actions);
        self.copy_slow(actions);
        self.give_up(actions);
        self.messages.retain(|_, m| !m.done || m.out().next().is_some());
        self.forget_gone();
        self.wake(actions);
    }

    fn wake(&mut self, actions: &mut Vec<Action>) {
        // The caller's timers may be a little early.
        self.wake_due = self.wake_due.filter(|due| *due > self.now + self.set.turn_interval);
        let looks = self.messages.values().map(|m| self.next_look(m));
        let Some(next) = looks.min() else { return };
        let next = next.max(self.now + self.set.turn_interval.max(MS));
        if self.wake_due.is_none_or(|due| next < due) {
            self.wake_due = Some(next);
            actions.push(Action::WakeAfter(next - self.now));
        }
    }

    fn next_look(&self, m: &Message) -> Nanos {
        let end = m.deadline.saturating_sub(2 * self.set.turn_interval).max(self.now + PULSE);
        if !m.waiting() {
            let dues = m.out().filter(|(_, a)| !a.cancelled).flat_map(|(_, a)| {
                let key = self.endpoints[&a.endpoint].route;
                [a.sent + self.p95(key), a.sent + self.overdue_after(key)]
            });
            return dues.filter(|due| *due > self.now).min().unwrap_or(self.now + 4 * PULSE).min(end);
        }
        let ready = self.routes_of(m.destination).map(|r| r.ready_at()).min();
        let ready = ready.unwrap_or(Nanos::MAX).max(m.not_before);
        if ready > self.now { ready.min(end) } else { (self.now + PULSE).min(end) }
    }

    fn routes_of(&self, to: DestinationId) -> impl Iterator<Item = &Route> {
        self.of.get(&to).into_iter().flatten().map(|e| &self.routes[&self.endpoints[e].route])
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(entries) => {
                self.endpoints.values_mut().for_each(|e| e.stage = EndpointState::Removed);
                entries.iter().for_each(|e| self.list(e));
            }
            Event::EndpointChanges(entries) => entries.iter().for_each(|e| self.list(e)),
            Event::MessageAccepted { .. } => self.message(event),
            Event::MessageResumed { .. } => self.resumed(event),
            Event::Gossip(told) => self.told(told),
            Event::ShutdownDeadline(at) => self.closing = Some(*at),
            Event::AttemptEnded { .. } => self.ended(event, actions),
            Event::ClientLeft(id) => self.finish(*id, actions),
            Event::Wake => {}
        }
    }

    fn list(&mut self, entry: &EndpointEntry) {
        let Some(kind) = self.set.kinds.get(entry.kind.0) else { return };
        let route = (entry.destination, kind.per_endpoint.then_some(entry.endpoint));
        let (destination, zone, kind) = (entry.destination, entry.zone, entry.kind);
        let fresh = Endpoint { destination, zone, kind, route, ..Endpoint::default() };
        if !self.endpoints.contains_key(&entry.endpoint) {
            self.of.entry(destination).or_default().push(entry.endpoint);
        }
        let route_on = |e: &Endpoint| e.route == route && e.stage == EndpointState::Active;
        let alone = !self.of[&destination].iter().filter_map(|e| self.endpoints.get(e)).any(route_on);
        let endpoint = self.endpoints.entry(entry.endpoint).or_insert(fresh);
        // Put back after a drain it was started again, and is cold: alone, it is all that its route has.
        let back = endpoint.stage == EndpointState::Draining && entry.stage == EndpointState::Active && alone;
        endpoint.stage = entry.stage;
        let told = match self.set.weight_meaning {
            EndpointWeights::Ignored => None,
            EndpointWeights::Nominal => Some(entry.weight),
            EndpointWeights::Approximate => Some(entry.weight / ROUGH),
        };
        let route = self.routes.entry(route).or_default();
        route.limit = told.filter(|l| *l > 0.0).or(route.limit);
        route.returning = back.then_some(self.now).or(route.returning);
    }

    /// Endpoints are replaced all day long: one that has gone is forgotten once nothing is out there.
    fn forget_gone(&mut self) {
        let gone = |e: &Endpoint| e.stage == EndpointState::Removed && e.out == 0;
        if self.endpoints.values().any(gone) {
            self.endpoints.retain(|_, e| !gone(e));
            let left = &self.endpoints;
            self.of.values_mut().for_each(|list| list.retain(|e| left.contains_key(e)));
            self.routes.retain(|(_, apart), _| apart.is_none_or(|e| left.contains_key(&e)));
        }
    }

    fn message(&mut self, event: &Event) {
        let Event::MessageAccepted { id, destination, class, deadline, key } = *event else { return };
        if class.0 >= self.set.classes.len() || self.messages.contains_key(&id) {
            return;
        }
        let key = key.filter(|_| self.set.classes[class.0].ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().queue.push_back(id);
        }
        let message = Message { destination, class, deadline, key, ..Message::default() };
        self.messages.insert(id, message);
    }

    /// A message of an earlier life: of its attempts, one stands for all that may have run.
    fn resumed(&mut self, event: &Event) {
        let Event::MessageResumed { id, destination, class, deadline, attempts, ran } = *event else {
            return;
        };
        self.message(&Event::MessageAccepted { id, destination, class, deadline, key: None });
        let Some(m) = self.messages.get_mut(&id) else { return };
        for no in 0..attempts.min(self.set.max_attempts).max(u32::from(ran.is_some())) {
            // The endpoint is not known any more: no group of one zone holds it.
            let (endpoint, first) = (EndpointId(u32::MAX), if no == 0 { ran } else { None });
            let end = Some(if first.is_some() { Outcome::ConnectionLost } else { Outcome::NotSent });
            m.attempts.push(Attempt { endpoint, sent: first.unwrap_or(0), end, ..Attempt::default() });
        }
        // A fleet killed at once comes back at once: what each held is spread, within half of its time left.
        let until = self.repeat_until(&self.messages[&id]).min(deadline);
        let even = self.routes_of(destination).map(|r| r.even(&self.set)).min().unwrap_or(0);
        let late = even.min(until.saturating_sub(self.now) / 2) as f64 * self.random.unit();
        self.messages.get_mut(&id).unwrap().not_before = self.now + late as Nanos;
    }

    /// Hearsay: a wait binds at once; the rest stands for a route where nothing was sent yet.
    fn told(&mut self, told: &GossipedState) {
        let (now, key) = (self.now, (told.destination, told.endpoint));
        let of = self.of.get(&told.destination).into_iter().flatten();
        let Some(at) = of.copied().find(|e| self.endpoints[e].route == key) else { return };
        let route = self.routes.get_mut(&key).unwrap();
        route.wait_until = route.wait_until.max(now.saturating_add(told.wait));
        if route.last_send.is_some() || route.latencies.has_priors() {
            return;
        }
        route.gap = route.gap.max(told.gap.min(GAP_CAP));
        route.limit = route.limit.or(told.limit.filter(|l| *l > 0.0));
        for took in told.latencies.iter().take(LATENCIES / 2) {
            route.latencies.learn(*took);
            self.pooled.learn(*took);
        }
        route.latencies.mark_as_priors();
        match told.outage {
            Some(Outage::Unresponsive) => route.bad = (1 << BAD_RUN) - 1,
            Some(Outage::Rejecting) => {
                route.refused_run = if told.wait > 0 { 1 } else { BAD_RUN };
                route.returning = Some(now.max(route.wait_until));
            }
            Some(Outage::Recovering { since }) => route.returning = Some(now.saturating_sub(since)),
            None => {}
        }
        // One of those that saw it: it rests, tries and returns as they do.
        if let Some(Outage::Unresponsive | Outage::Rejecting) = told.outage {
            self.failed_trial(at, DOUBT);
        }
    }

    /// What a message earns if it is delivered at an instant.
    fn earns(&self, m: &Message, at: Nanos) -> f64 {
        let class = &self.set.classes[m.class.0];
        let handed = m.deadline.saturating_sub(class.deadline);
        let late = at.saturating_sub(handed).saturating_sub(class.latency_objective) as f64;
        if at > m.deadline {
            return 0.0;
        }
        let left = match self.set.decay {
            Decay::Linear => {
                1.0 - (1.0 - class.late_weight_share) * late
                    / (class.deadline - class.latency_objective).max(1) as f64
            }
            Decay::Halving => 0.5f64.powf(late / class.latency_objective as f64),
        };
        class.priority_weight * left.max(class.late_weight_share)
    }

    /// A usual call's time at a route: at first that of all routes, giving way to its own as it is met.
    fn usual(&self, key: RouteKey) -> Nanos {
        let all = if self.pooled.is_empty() { UNKNOWN_CALL } else { self.pooled.quantile(0.5) };
        let own = &self.routes[&key].latencies;
        let seen = own.len().min(SEEN_ENOUGH) as Nanos;
        (own.quantile(0.5) * seen + all * (SEEN_ENOUGH as Nanos - seen)) / SEEN_ENOUGH as Nanos
    }

    /// The delay of a copy. A route that is hardly met has the spread of all routes around its usual pace.
    fn p95(&self, key: RouteKey) -> Nanos {
        let own = &self.routes[&key].latencies;
        if own.len() >= SEEN_ENOUGH {
            return own.quantile(COPY_PERCENTILE);
        }
        if self.pooled.len() < SEEN_ENOUGH {
            return 3 * self.usual(key);
        }
        let spread = self.pooled.quantile(COPY_PERCENTILE) as f64 / self.pooled.quantile(0.5).max(1) as f64;
        (self.usual(key) as f64 * spread) as Nanos
    }

    fn overdue_after(&self, key: RouteKey) -> Nanos {
        ((self.p95(key) as f64 * SILENT_AFTER) as Nanos).max(SILENT_LEAST)
    }

    // ---- The ordinary path -------------------------------------------------------------------------------

    /// Sends what waits: what an earlier life left untried, whose turn came, then most worth at risk first.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let ready = self.messages.iter().filter(|(_, m)| m.waiting() && m.not_before <= self.now);
        let owed = |m: &Message| m.attempts.is_empty() && m.not_before > 0;
        let mut waiting: Vec<_> = ready.map(|(id, m)| (owed(m), self.at_risk(m), *id)).collect();
        waiting.sort_by(|(a, x, i), (b, y, j)| b.cmp(a).then(y.total_cmp(x)).then(i.cmp(j)));
        for (.., id) in waiting {
            if let Some(endpoint) = self.best_endpoint(id, None) {
                self.send(id, endpoint, actions);
            }
        }
    }

    fn at_risk(&self, m: &Message) -> f64 {
        let done = self.now + UNKNOWN_CALL / 2;
        let (soon, later) = (self.earns(m, done), self.earns(m, done + UNKNOWN_CALL));
        soon - later + EARN_WEIGHT * soon
    }

    /// The endpoint that delivers a message with the least loss, among those that the gate lets it go to.
    fn best_endpoint(&mut self, id: MessageId, other_than: Option<EndpointId>) -> Option<EndpointId> {
        let destination = self.messages[&id].destination;
        let listed = self.of.get(&destination)?.clone();
        let mut best: Option<(f64, EndpointId)> = None;
        for endpoint in listed {
            if !self.may_send(id, endpoint) {
                continue;
            }
            let same = f64::from(other_than == Some(endpoint));
            let cost = self.cost(id, endpoint) + same + self.random.unit() * 1e-3;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
        best.map(|(_, endpoint)| endpoint)
    }

    fn cost(&self, id: MessageId, at: EndpointId) -> f64 {
        let (m, e) = (&self.messages[&id], &self.endpoints[&at]);
        let pace = if e.pace > 0 { e.pace } else { self.usual(e.route) } as f64;
        let call = (pace * (1.0 + 0.5 * e.out as f64)) as Nanos;
        let class = &self.set.classes[m.class.0];
        let loss =
            (self.earns(m, self.now) - self.earns(m, self.now + call)) / class.priority_weight.max(1e-9);
        let toll = e.route.1.and(self.set.zone_prices.get(e.zone.0)).copied().unwrap_or(0.0);
        let cross = if e.zone == self.set.zone { 0.0 } else { self.set.cross_zone_price };
        let open =
            e.out == 0 && e.last_send > 0 && self.now < e.last_send.saturating_add(self.set.idle_timeout);
        let opening = if open { 0.0 } else { self.set.handshake_price };
        let amiss = 0.2 * e.fails.min(5) as f64 + f64::from(self.routes[&e.route].on_trial());
        loss + toll + cross + opening + amiss + 0.1 * call as f64 / class.latency_objective as f64
    }

    fn send(&mut self, id: MessageId, at: EndpointId, actions: &mut Vec<Action>) {
        let now = self.now;
        let (timeout, latest) = (self.time_limit(id, at), self.repeat_until(&self.messages[&id]));
        let (m, e) = (self.messages.get_mut(&id).unwrap(), self.endpoints.get_mut(&at).unwrap());
        self.calls += 1;
        e.in_use = e.last_send == 0 || now < e.last_send.saturating_add(self.set.idle_timeout);
        let zone = Some(e.zone);
        m.attempts.push(Attempt { endpoint: at, zone, sent: now, ..Attempt::default() });
        let no = m.attempts.len() as u32 - 1;
        e.out += 1;
        e.last_send = now;
        let route = self.routes.get_mut(&e.route).unwrap();
        route.last_send = Some(now);
        route.out.push((id, no, now));
        while route.sent.front().is_some_and(|t| *t + self.stagger + self.set.recovery.overload_window < now)
        {
            route.sent.pop_front();
        }
        route.sent.push_back(now);
        actions.push(Action::Send { id, endpoint: at, timeout, latest });
    }

    /// Patient where a repeat cannot follow; else long enough for a slow call, as one timed out may run on.
    fn time_limit(&self, id: MessageId, at: EndpointId) -> Nanos {
        let m = &self.messages[&id];
        let end = self.closing.unwrap_or(Nanos::MAX).min(m.deadline);
        let left = end.saturating_sub(self.now).max(1);
        let limit = (LIMIT * self.p95(self.endpoints[&at].route)).max(SILENT_LEAST);
        if self.set.classes[m.class.0].idempotency == Idempotency::NonIdempotent {
            left
        } else {
            limit.min(left)
        }
    }

    /// One copy of a repeat-safe message that has no answer at its destination's p95.
    fn copy_slow(&mut self, actions: &mut Vec<Action>) {
        if !self.set.may_hedge || self.now < self.no_copies_until {
            return;
        }
        let ids: Vec<MessageId> = self.messages.keys().copied().collect();
        for id in ids {
            if let Some(first) = self.wants_copy(id)
                && let Some(endpoint) = self.best_endpoint(id, Some(first))
            {
                self.messages.get_mut(&id).unwrap().copied = true;
                self.send(id, endpoint, actions);
            }
        }
    }

    fn wants_copy(&self, id: MessageId) -> Option<EndpointId> {
        let m = &self.messages[&id];
        if m.done || m.copied || self.set.classes[m.class.0].idempotency == Idempotency::NonIdempotent {
            return None;
        }
        let mut out = m.out();
        let ((_, attempt), None) = (out.next()?, out.next()) else { return None };
        let key = self.endpoints.get(&attempt.endpoint)?.route;
        let route = &self.routes[&key];
        let (delay, left) = (self.p95(key), m.deadline.saturating_sub(self.now));
        let calm = route.warm(self.now, &self.set)
            && self.calls + if self.set.max_in_flight > FEW_SLOTS { 2 } else { 1 } <= self.set.max_in_flight
            && route.gap == 0
            && route.doubt < DOUBT
            && self.pooled.len() >= SEEN_ENOUGH
            && self.now > route.rise + GAP_CAP;
        if !calm || attempt.cancelled || self.now < attempt.sent + delay || left <= self.usual(key) {
            return None;
        }
        let slow = route.out.iter().filter(|(_, _, sent)| self.now >= sent + delay).count();
        (slow <= 1 + route.out.len() / 4).then_some(attempt.endpoint)
    }

    // ---- The gate ----------------------------------------------------------------------------------------

    /// Every send passes here: first sends, further attempts, copies and trials. Each rule is checked here.
    fn may_send(&self, id: MessageId, at: EndpointId) -> bool {
        let (m, e) = (&self.messages[&id], &self.endpoints[&at]);
        // Drains: nothing new once told. The message's time and attempts; a second copy where it is allowed.
        let listed = e.stage == EndpointState::Active && e.destination == m.destination;
        let open =
            !m.done && !m.spent && m.deadline > self.now && m.attempts.len() < self.set.max_attempts as usize;
        let copy = self.set.may_hedge || m.out().next().is_none();
        listed && open && copy && self.may_repeat(m, e) && self.in_turn(id, m) && self.route_takes(e)
    }

    /// No effect twice: whether the class allows one more send there after those that may have run.
    fn may_repeat(&self, m: &Message, e: &Endpoint) -> bool {
        let alike = |f: &Attempt| f.zone == Some(e.zone);
        let per_zone = matches!(
            self.set.classes[m.class.0].idempotency,
            Idempotency::IdempotencyKey { per_zone: true, .. }
        );
        self.now < self.repeat_until(m) && m.first_run().is_none_or(|first| !per_zone || alike(first))
    }

    /// Until when a message may be sent again.
    fn repeat_until(&self, m: &Message) -> Nanos {
        match (m.first_run(), self.set.classes[m.class.0].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Nanos::MAX,
            (_, Idempotency::NonIdempotent) => 0,
            (Some(first), Idempotency::IdempotencyKey { window, .. }) => {
                first.sent + (window as f64 * MEMORY_PART) as Nanos
            }
        }
    }

    /// Order: the head of its key, and the key's rest is over.
    fn in_turn(&self, id: MessageId, m: &Message) -> bool {
        let Some(key) = m.key.and_then(|k| self.keys.get(&k)) else { return true };
        key.queue.front() == Some(&id) && (!m.attempts.is_empty() || self.now >= key.quiet_until)
    }

    fn route_takes(&self, e: &Endpoint) -> bool {
        let route = &self.routes[&e.route];
        // Waits: nothing to the route, for any message. Fail-back: a rest in doubt, and the return budget.
        if self.now < route.wait_until.max(route.rest_until) || !self.has_room(route) {
            return false;
        }
        let trial = !route.down() || route.out.iter().all(|(_, _, sent)| *sent < route.rest_until);
        let in_time = self.closing.is_none_or(|end| self.now + self.p95(e.route) <= end);
        let gap = route.gap.max(self.share_gap(e.kind, route));
        let paced = route.last_send.is_none_or(|t| self.now >= t.saturating_add(gap));
        trial && in_time && paced && self.slot_for(e, route)
    }

    /// Where tries after a refusal are mostly refused, refused calls use up that kind's limits, and first
    /// sends alone would keep them shut: each sender then keeps to its even share of a told limit.
    fn share_gap(&self, kind: KindId, route: &Route) -> Nanos {
        let surplus = (1.0 - self.pays[kind.0] / PAYS_FIRST).max(0.0);
        if route.limit.is_some() { (surplus * route.even(&self.set) as f64) as Nanos } else { 0 }
    }

    /// Fail-back: all that was sent in the span counts, refused calls and probes too.
    fn has_room(&self, route: &Route) -> bool {
        let (now, set) = (self.now, &self.set);
        // Senders with one history keep to spans that end apart.
        let span = self.stagger + set.recovery.overload_window;
        let spent = route.sent.iter().filter(|t| *t + span >= now).count() as f64;
        let budget = route.budget(now, set);
        let spaced = route.last_send.is_none_or(|t| now >= t + self.stagger + route.spacing(budget, set));
        route.warm(now, set) || spent + 1.0 <= budget + 1e-9 || (spaced && spent < budget)
    }

    /// Slots are shared, so that a destination that hangs cannot hold them all.
    fn slot_for(&self, e: &Endpoint, route: &Route) -> bool {
        let late = |sent: Nanos| self.now > sent + 2 * self.p95(e.route) && sent >= route.served_sent;
        let free = self.calls < self.set.max_in_flight;
        let answering = route.warm(self.now, &self.set) && !route.out.iter().any(|(_, _, sent)| late(*sent));
        let share = if answering { SLOT_SHARE.0 } else { SLOT_SHARE.1 };
        let most = (self.set.max_in_flight as f64 * share).ceil() as usize;
        let last = self.calls + 1 == self.set.max_in_flight && self.set.max_in_flight > 2;
        free && (route.out.is_empty() || (route.out.len() < most.max(1) && !last))
    }

    // ---- Learning ----------------------------------------------------------------------------------------

    fn ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded { id, attempt, outcome, took, finished } = *event else { return };
        let now = self.now;
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(a) = m.attempts.get_mut(attempt as usize).filter(|a| a.end.is_none()) else { return };
        a.end = Some(outcome);
        m.spent |= outcome == Outcome::AttemptsExhausted;
        let (endpoint, sent, counted) = (a.endpoint, a.sent, a.overdue);
        self.calls -= 1;
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            e.out = e.out.saturating_sub(1);
            // Partners take few connections, idle ones counted: one not soon used again is given back.
            if e.out == 0 && !e.in_use {
                actions.push(Action::CloseIdle(endpoint));
            }
            if let Some(route) = self.routes.get_mut(&e.route) {
                route.out.retain(|(m, no, _)| (*m, *no) != (id, attempt));
            }
        }
        if let Some(key) = m.key.and_then(|k| self.keys.get_mut(&k))
            && matches!(
                outcome,
                Outcome::TimedOut | Outcome::ConnectionLost | Outcome::StaleConnection | Outcome::Cancelled
            )
        {
            key.quiet_until = key.quiet_until.max(now + self.set.key_quiet_period);
        }
        // An overdue call was counted when it became so.
        let seen = if counted && outcome == Outcome::TimedOut { Outcome::Cancelled } else { outcome };
        self.learn(endpoint, sent, seen, Some(took));
        let Some(key) = self.endpoints.get(&endpoint).map(|e| e.route) else { return };
        let (gap, usual, jitter) = (self.routes[&key].gap, self.usual(key), 0.75 + 0.5 * self.random.unit());
        let m = self.messages.get_mut(&id).unwrap();
        let tries = m.attempts.len() as Nanos;
        let pause = match outcome {
            Outcome::Overloaded { .. } => (gap.max(GAP_STEP) << (tries - 1).min(4)).min(GAP_CAP),
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost => usual / 2 * tries,
            Outcome::NotSent | Outcome::StaleConnection => usual / 2 * (tries - 1),
            _ => 0,
        };
        m.not_before = now + (pause as f64 * jitter) as Nanos;
        if finished {
            self.finish(id, actions);
        }
        self.settle_key(id);
    }

    fn cancel_all(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get_mut(&id).filter(|_| self.set.may_cancel) else { return };
        for (no, a) in m.attempts.iter_mut().enumerate() {
            if a.end.is_none() && !a.cancelled {
                a.cancelled = true;
                actions.push(Action::Cancel { id, attempt: no as u32 });
            }
        }
    }

    fn finish(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        m.done = true;
        self.cancel_all(id, actions);
        self.settle_key(id);
    }

    fn settle_key(&mut self, id: MessageId) {
        let m = &self.messages[&id];
        let Some(key) = m.key.filter(|_| m.done && m.out().next().is_none()) else { return };
        if let Some(state) = self.keys.get_mut(&key) {
            state.queue.retain(|q| *q != id);
        }
        self.keys.retain(|_, k| !k.queue.is_empty() || k.quiet_until > self.now);
    }

    fn learn(&mut self, at: EndpointId, sent: Nanos, outcome: Outcome, took: Option<Nanos>) {
        let now = self.now;
        let Some(e) = self.endpoints.get_mut(&at) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        let step = route.limit.map_or(GAP_STEP, |_| route.even(&self.set) / 2);
        route.calls.count(outcome, now);
        match outcome {
            Outcome::Success => {
                // Times measured across a stall say nothing of a pace.
                if let Some(took) = took.filter(|_| !self.stalled) {
                    route.latencies.learn(took);
                    self.pooled.learn(took);
                    e.pace = if e.pace == 0 { took } else { (e.pace * 7 + took) / 8 };
                }
                e.fails = 0;
                if route.refused_run > 0 {
                    self.pays[e.kind.0] += (1.0 - self.pays[e.kind.0]) * PAYS_MEMORY;
                }
                // The cap suits a slow partner. A quick one, on the way down from it, would be sent a call a
                // second for ten while its backlog runs out of time.
                let shrink = if route.gap > 2 * step { GAP_SHRINK.1 } else { GAP_SHRINK.0 };
                route.gap = (route.gap as f64 * (1.0 - shrink)) as Nanos;
                if route.gap < step.min(GAP_CAP) / 4 {
                    route.gap = 0;
                }
                let back = route.down() || (route.doubt >= DOUBT && route.rest_until > 0);
                (route.bad, route.refused_run, route.rest_until) = (route.bad << 1, 0, 0);
                route.served_sent = route.served_sent.max(sent);
                if back {
                    // Since it last failed, or the end of a wait: half way, in the mean over senders.
                    let late = (now - route.failed.max(route.wait_until).min(now)) / 2;
                    route.returning = Some(now - late.min(self.set.recovery.overload_window));
                }
                route.doubt = 0.0;
            }
            Outcome::Overloaded { retry_after } => {
                // At most one rise for the calls sent since the last: they were no tries after a refusal.
                if sent >= route.rise {
                    route.rise = now;
                    route.gap = (route.gap * 2).max(step).min(GAP_CAP);
                    if route.refused_run == 0 {
                        route.unrefused = now;
                    } else {
                        self.pays[e.kind.0] *= 1.0 - PAYS_MEMORY;
                    }
                    route.refused_run += 1;
                }
                route.wait_until = route.wait_until.max(now + retry_after);
                // A wait longer than a limit's tells of an outage: all who were told would come at its end.
                self.failed_trial(
                    at,
                    if retry_after > self.set.recovery.overload_window { DOUBT } else { 0.0 },
                );
            }
            // A partner that dies refuses its next connections: a reset alone, where these come up, is the
            // network's, and no outage that the partner would come back cold from.
            Outcome::ConnectionLost if !route.on_trial() => e.fails += 1,
            Outcome::Failure | Outcome::Unreachable | Outcome::ConnectionLost | Outcome::TimedOut => {
                e.fails += 1;
                route.bad = route.bad << 1 | 1;
                // Well partners lose a call or answer an error now and then, but they take connections.
                let gone = matches!(outcome, Outcome::Unreachable | Outcome::ConnectionLost);
                self.failed_trial(at, if gone { DOUBT } else { 1.0 });
            }
            Outcome::Cancelled | Outcome::StaleConnection | Outcome::NotSent | Outcome::AttemptsExhausted => {
            }
        }
    }

    /// Counts what speaks against a route, and moves it between well, outage and return.
    fn failed_trial(&mut self, at: EndpointId, doubt: f64) {
        let (now, jitter) = (self.now, 0.5 + self.random.unit());
        let (key, set) = (self.endpoints[&at].route, &self.set);
        let route = self.routes.get_mut(&key).unwrap();
        (route.doubt, route.failed) = (route.doubt + doubt, now);
        let cold = BUDGET_PART * set.recovery.overload_factor * set.recovery.initial_share * route.share(set);
        let most = route.spacing(cold, set);
        // Refused calls may use up a limit: where tries after a refusal are mostly refused too, all senders
        // together keep it shut. Each rests longer with each refusal, and the longer the less such tries pay.
        let refused = route.even(set).saturating_mul(1 << route.refused_run.saturating_sub(1).min(8));
        let refused = refused as f64 * (PAYS_FIRST / self.pays[self.endpoints[&at].kind.0]).powi(2);
        let rest = if route.doubt >= DOUBT { most } else { most.min(refused as Nanos) };
        if route.refused_run > 0 || (route.doubt >= DOUBT && most > 2 * TRIAL_CAP) {
            let spread = if route.wait_until > now { jitter - 0.5 } else { jitter };
            route.rest_until = now.max(route.wait_until) + (rest as f64 * spread) as Nanos;
        }
        if most <= 2 * TRIAL_CAP && route.wait_until > now + set.recovery.overload_window {
            // It told when it opens, and is cold then: few senders rest too briefly, and would push it over.
            route.returning = Some(route.wait_until);
        }
        let shut = route.refused_run >= SHUT_RUN
            && now >= route.unrefused + SHUT_SPANS * set.recovery.overload_window;
        if route.down() {
            let tries = (route.bad.trailing_ones() - BAD_RUN).min(4);
            let pause = ((TRIAL_FIRST << tries).min(TRIAL_CAP) as f64 * jitter) as Nanos;
            route.rest_until = route.rest_until.max(now + pause);
        } else if route.bad.count_ones() >= BAD_AMONG || shut {
            // The gap is trial enough where calls are refused; what is sent then keeps to the budget.
            route.returning = Some(now.max(route.wait_until));
        }
    }

    /// A call long unanswered is a bad outcome. Where a later one was served it is lost, and where slots run
    /// short it keeps others waiting: it is called off. May waste a call that is only very slow.
    fn judge_overdue(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let (taken, few) = (self.calls, self.set.max_in_flight <= FEW_SLOTS);
        let wanted = self.messages.values().any(|m| m.waiting() && m.not_before <= now);
        let pressed =
            if few { taken >= self.set.max_in_flight && wanted } else { taken + 1 >= self.set.max_in_flight };
        let out = self
            .messages
            .iter()
            .flat_map(|(id, m)| m.out().filter(|(_, a)| !a.cancelled).map(|(no, a)| (*id, no, a)));
        let out: Vec<_> = out.map(|(id, no, a)| (id, no, a.endpoint, a.sent, a.overdue)).collect();
        for (id, no, at, sent, counted) in out {
            let e = &self.endpoints[&at];
            let (p95, route) = (self.p95(e.route), &self.routes[&e.route]);
            let (bound, age, lost) = (self.overdue_after(e.route), now - sent, route.served_sent > sent);
            let m = &self.messages[&id];
            let more = m.attempts.len() < self.set.max_attempts as usize && self.may_repeat(m, e);
            let first = route.out.iter().all(|(_, _, other)| *other >= sent);
            let spare = lost || !first || few;
            let give = match more {
                true => age > 2 * p95 && ((lost && pressed) || (age > bound && (lost || (pressed && spare)))),
                false => pressed && age > 2 * bound && spare,
            } && self.set.may_cancel
                && !m.done;
            if age > bound && !counted {
                self.messages.get_mut(&id).unwrap().attempts[no].overdue = true;
                self.learn(at, sent, Outcome::TimedOut, None);
            }
            if give {
                self.messages.get_mut(&id).unwrap().attempts[no].cancelled = true;
                actions.push(Action::Cancel { id, attempt: no as u32 });
            }
        }
    }

    // ---- Endings -----------------------------------------------------------------------------------------

    /// Ends at once what cannot be delivered any more; sheds new ones where one destination fills the hold.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let mut over: Vec<MessageId> = Vec::new();
        let mut held: BTreeMap<DestinationId, Vec<(f64, MessageId)>> = BTreeMap::new();
        for (id, m) in self.messages.iter().filter(|(_, m)| m.waiting()) {
            match self.hopeless(m) {
                true => over.push(*id),
                false if m.attempts.is_empty() && m.not_before > 0 => {}
                false => held.entry(m.destination).or_default().push((self.at_risk(m), *id)),
            }
        }
        let live = self.messages.values().filter(|m| !m.done).count() - over.len();
        let part = |share: f64| (self.set.max_held as f64 * share) as usize;
        // Room is left for what comes until the next turn: a flood brings more than one message a turn.
        let (most, free) = (part(HOLD_SHARE.0).max(1), part(HOLD_SHARE.1) + 1);
        let short = (live + free).saturating_sub(self.set.max_held);
        let shed = |held: usize| short.min(held.saturating_sub(most / 2)).max(held.saturating_sub(most));
        for list in held.values_mut().filter(|list| shed(list.len()) > 0) {
            list.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            over.extend(list.iter().take(shed(list.len())).map(|(_, id)| *id));
        }
        for id in over {
            self.end(id, actions);
        }
    }

    /// No send can follow that would still deliver.
    fn hopeless(&self, m: &Message) -> bool {
        let margin = 2 * self.set.turn_interval.max(PULSE);
        let spent = m.spent || m.attempts.len() >= self.set.max_attempts as usize;
        let barred = self.now >= self.repeat_until(m);
        let back = self.routes_of(m.destination).map(|r| r.rest_until.max(r.wait_until)).min().unwrap_or(0);
        spent || barred || back.max(self.now) + margin >= m.deadline
    }

    fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let m = &self.messages[&id];
        let effect = self.set.classes[m.class.0].idempotency;
        let repeats =
            matches!(effect, Idempotency::Idempotent | Idempotency::IdempotencyKey { per_zone: false, .. });
        let harmless = repeats || m.first_run().is_none();
        if harmless {
            // The client is told when a route is likely to take it, as far as clients follow advice.
            let back = self.routes_of(m.destination).map(|r| r.ready_at()).min().unwrap_or(0);
            // Clients refused together come back spread out, and none before the route opens.
            let back = back.saturating_sub(self.now).max(GAP_CAP);
            let chance = self.random.unit();
            let retry_after = self.set.max_retry_after.map(|most| {
                let (least, most) = (back.min(most * 3 / 4), most.min(back + back / 4));
                let least = if back < most { back } else { least };
                least + ((most - least) as f64 * chance) as Nanos
            });
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.finish(id, actions);
    }
}
