//! One partner as it runs: its rate limit, the queues of its endpoints, its slow start after an outage, and its
//! collapse under too much load while it is still warming up.
//!
//! The model does not know what carries its calls. It is notified of a call once the call's last byte has come, and
//! says what it writes and when.

use std::collections::{BTreeMap, VecDeque};

use martenlatch_clock::Millis;

use crate::experiment::{Kind, WorkDistribution};
use crate::model::endpoint::{CompletionKey, Endpoint};
use crate::model::fault_schedule::ActiveFaults;
use crate::model::rate_limit::{LimitDecision, RateLimiter};
use crate::model::site::PartnerProfile;
use crate::sampling::{Stream, bernoulli, gamma_factor, rng_for, uniform};

/// A partner that is warming up collapses under so many times its capacity of the moment ...
pub const COLLAPSE_FACTOR: f64 = 2.0;
/// ... sustained over so many milliseconds.
pub const COLLAPSE_WINDOW: Millis = 3_000.0;

/// Spread of a call's service time around the work of its message.
const SERVICE_TIME_VARIATION: f64 = 0.3;
/// The shortest service time, in milliseconds.
const LEAST_SERVICE_TIME: Millis = 0.1;

/// Numbers that tell apart the random draws for one call or message.
mod draw_index {
    pub const TELLS_WAIT: u64 = 1;
    pub const WAIT: u64 = 2;
    pub const ANSWER: u64 = 3;
    /// Plus the number of the attempt.
    pub const SERVICE_TIME: u64 = 100;
}

/// What a partner writes to a call.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The call has run.
    Served,
    /// An error; the call has run.
    Failed,
    /// The call has run, and its answer is malformed.
    Spoilt,
    /// The call has not run. With the Retry-After that is given, in milliseconds.
    Refused(Option<Millis>),
}

/// A call as a partner sees it.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its number, unique within a run.
    pub number: u64,
    /// The client's message that it carries.
    pub origin: u64,
    /// How many calls of that message came before.
    pub attempt: u32,
    /// The work of its class.
    pub work: WorkDistribution,
}

/// What became of a call that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is answered at once.
    Answered(Reply),
    /// It runs now.
    Running,
    /// It waits in a queue.
    Queued,
}

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The call's number.
    pub call: u64,
    /// What is written.
    pub reply: Reply,
}

/// What a partner has done up to an instant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Calls that are answered now.
    pub answers: Vec<Answer>,
    /// Numbers of the queued calls that have begun to run.
    pub started: Vec<u64>,
}

/// A partner as it runs.
#[derive(Debug)]
pub struct Partner {
    profile: PartnerProfile,
    kind: Kind,
    seed: u64,
    /// Calls a second when it is warm.
    capacity: f64,
    endpoints: BTreeMap<u32, Endpoint>,
    limiter: RateLimiter,
    out: bool,
    /// When its last outage ended; none where it has had none, or is in one.
    recovered_at: Option<Millis>,
    /// Calls that came within the last collapse window while it was warming up.
    recent_arrivals: VecDeque<Millis>,
    collapsed: bool,
}

impl Partner {
    /// A warm partner with its first endpoints. `mean_work` is the mean work of a call, in milliseconds.
    pub fn new(
        profile: &PartnerProfile,
        kind: &Kind,
        mean_work: f64,
        seed: u64,
        endpoints: impl IntoIterator<Item = u32>,
    ) -> Partner {
        Partner {
            capacity: profile.capacity(mean_work),
            profile: profile.clone(),
            kind: kind.clone(),
            seed,
            endpoints: endpoints
                .into_iter()
                .map(|endpoint| (endpoint, Endpoint::default()))
                .collect(),
            limiter: RateLimiter::new(kind),
            out: false,
            recovered_at: None,
            recent_arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// Says whether the partner is in an outage from `now` on. One that comes back starts cold.
    pub fn set_out(&mut self, out: bool, now: Millis) {
        if self.out && !out {
            self.recovered_at = Some(now);
            self.recent_arrivals.clear();
        }
        if out && !self.out {
            // What ran or waited there is lost, and its answers never come.
            self.drop_all_calls();
            self.recovered_at = None;
        }
        self.out = out;
    }

    /// Whether it has collapsed; it does not come back from that.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    /// Adds an endpoint.
    pub fn add_endpoint(&mut self, endpoint: u32) {
        self.endpoints.entry(endpoint).or_default();
    }

    /// Has an endpoint drain: it takes no more calls, and goes once it is empty.
    pub fn drain_endpoint(&mut self, endpoint: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.draining = true;
        }
    }

    /// The share of its capacity that it has at an instant: less than one while it is warming up.
    pub fn warmth(&self, now: Millis) -> f64 {
        let Some(recovered_at) = self.recovered_at.filter(|_| self.kind.warm_up > 0.0) else {
            return 1.0;
        };
        let progress = ((now - recovered_at) / self.kind.warm_up).clamp(0.0, 1.0);
        self.kind.initial_share + (1.0 - self.kind.initial_share) * progress
    }

    /// Takes a call whose last byte has come to an endpoint.
    pub fn deliver(
        &mut self,
        endpoint: u32,
        call: Call,
        faults: &ActiveFaults,
        now: Millis,
    ) -> Admission {
        if self.collapsed || self.collapses_under_load(faults, now) {
            return Admission::Answered(Reply::Refused(None));
        }
        if let Some(until) = faults.rejects_until {
            return Admission::Answered(self.refusal(&call, until - now));
        }
        if self.endpoints.get(&endpoint).is_none_or(|it| it.draining) {
            return Admission::Answered(Reply::Refused(None));
        }
        if let Some(wait) = self.wait_over_limit(&call, faults, now) {
            return Admission::Answered(self.refusal(&call, wait));
        }
        if faults.hung {
            return Admission::Queued;
        }
        self.run_or_queue(endpoint, call, faults, now)
    }

    /// Counts an arrival while the partner is warming up, and says whether it collapses under it.
    fn collapses_under_load(&mut self, faults: &ActiveFaults, now: Millis) -> bool {
        let warming = self
            .recovered_at
            .filter(|recovered_at| now < recovered_at + self.kind.warm_up);
        let Some(recovered_at) = warming else {
            return false;
        };
        self.recent_arrivals.push_back(now);
        let oldest = now - COLLAPSE_WINDOW;
        while self.recent_arrivals.front().is_some_and(|at| *at < oldest) {
            self.recent_arrivals.pop_front();
        }
        let sustainable =
            self.capacity * faults.limit_factor * self.warmth(now) * COLLAPSE_WINDOW / 1e3;
        let most = (COLLAPSE_FACTOR * sustainable).max(COLLAPSE_FACTOR);
        if now < recovered_at + COLLAPSE_WINDOW || self.recent_arrivals.len() as f64 <= most {
            return false;
        }
        self.collapsed = true;
        self.drop_all_calls();
        true
    }

    fn drop_all_calls(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.drop_all_calls();
        }
    }

    /// A rejection; whether it gives a Retry-After is drawn.
    fn refusal(&self, call: &Call, wait: Millis) -> Reply {
        let mut rng = rng_for(self.seed, Stream::Call, call.number, draw_index::TELLS_WAIT);
        let tells = bernoulli(&mut rng, self.kind.retry_after_share);
        Reply::Refused(tells.then_some(wait))
    }

    /// Counts a call against the rate limit. Where it is over the limit: how long until there is capacity again.
    fn wait_over_limit(
        &mut self,
        call: &Call,
        faults: &ActiveFaults,
        now: Millis,
    ) -> Option<Millis> {
        let rate = self.profile.rate_limit? * faults.limit_factor;
        match self.limiter.admit(rate, now) {
            LimitDecision::Within => None,
            LimitDecision::OverUntil(wait) => Some(wait),
            LimitDecision::OverWithOwnWait => {
                let mut rng = rng_for(self.seed, Stream::Call, call.number, draw_index::WAIT);
                Some(uniform(&mut rng, self.kind.retry_after))
            }
        }
    }

    fn run_or_queue(
        &mut self,
        endpoint: u32,
        call: Call,
        faults: &ActiveFaults,
        now: Millis,
    ) -> Admission {
        let cores = self.profile.cores as usize;
        let queue_capacity = self.profile.queue_capacity as usize;
        let Some(target) = self.endpoints.get_mut(&endpoint) else {
            return Admission::Answered(Reply::Refused(None));
        };
        if target.running.len() < cores {
            self.start(endpoint, call, faults, now);
            return Admission::Running;
        }
        if target.queue.len() >= queue_capacity {
            return Admission::Answered(Reply::Refused(None));
        }
        target.queue.push_back(call);
        Admission::Queued
    }

    fn start(&mut self, endpoint: u32, call: Call, faults: &ActiveFaults, now: Millis) {
        let service_time = self.service_time(&call, faults, now);
        let starts_at = faults.paused_until.unwrap_or(now).max(now);
        let done_at = starts_at + service_time.max(LEAST_SERVICE_TIME);
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            let key = CompletionKey::new(done_at, call.number);
            endpoint.running.insert(key, call);
        }
    }

    /// Draws the service time of a call. The message has its work; each call of it adds a variation of its own.
    fn service_time(&self, call: &Call, faults: &ActiveFaults, now: Millis) -> Millis {
        let attempt = draw_index::SERVICE_TIME + u64::from(call.attempt);
        let mut call_rng = rng_for(self.seed, Stream::Call, call.origin, attempt);
        let mut message_rng = rng_for(self.seed, Stream::Work, call.origin, 0);
        let message_factor = gamma_factor(&mut message_rng, call.work.variation);
        let call_factor = gamma_factor(&mut call_rng, SERVICE_TIME_VARIATION);
        let mut took = call.work.mean
            * message_factor
            * call_factor
            * self.profile.service_time_factor
            * faults.slowdown;
        if bernoulli(&mut call_rng, faults.tail.share) {
            took *= faults.tail.factor;
        }
        took / self.warmth(now)
    }

    /// When the next running call is done.
    pub fn next_completion(&self) -> Option<Millis> {
        let first = |endpoint: &Endpoint| endpoint.running.first_key_value().map(|(key, _)| *key);
        self.endpoints
            .values()
            .filter_map(first)
            .min_by_key(|key| key.at_bits)
            .map(CompletionKey::at)
    }

    /// Finishes the calls that are done by an instant, and starts queued ones in their place.
    pub fn advance(&mut self, faults: &ActiveFaults, now: Millis) -> Progress {
        let mut progress = Progress::default();
        let names: Vec<u32> = self.endpoints.keys().copied().collect();
        for name in names {
            self.advance_endpoint(name, faults, now, &mut progress);
        }
        self.endpoints.retain(|_, endpoint| !endpoint.is_finished());
        progress
    }

    fn advance_endpoint(
        &mut self,
        name: u32,
        faults: &ActiveFaults,
        now: Millis,
        progress: &mut Progress,
    ) {
        while let Some(endpoint) = self.endpoints.get_mut(&name) {
            let Some(call) = endpoint.take_completed(now) else {
                return;
            };
            if let Some(until) = faults.paused_until.filter(|until| *until > now) {
                let key = CompletionKey::new(until, call.number);
                endpoint.running.insert(key, call);
                continue;
            }
            let next = endpoint.queue.pop_front();
            progress.answers.push(Answer {
                call: call.number,
                reply: self.answer(&call, faults),
            });
            if let Some(next) = next {
                progress.started.push(next.number);
                self.start(name, next, faults, now);
            }
        }
    }

    /// Draws the answer to a call that has run.
    fn answer(&self, call: &Call, faults: &ActiveFaults) -> Reply {
        let mut rng = rng_for(self.seed, Stream::Call, call.number, draw_index::ANSWER);
        if bernoulli(&mut rng, faults.malformed_share) {
            Reply::Spoilt
        } else if bernoulli(&mut rng, self.kind.error_share) {
            Reply::Failed
        } else {
            Reply::Served
        }
    }
}
