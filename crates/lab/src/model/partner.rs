//! The running state of one partner: its rate limit, the queues of its endpoints, its slow start after an outage, and
//! its collapse under too much load while it is warming up.
//!
//! The model is independent of the transport of the calls. It is notified of a call once the call's last byte has
//! arrived, and returns the reply and when it is written.

use std::collections::{BTreeMap, VecDeque};

use martenlatch_clock::Millis;

use crate::experiment::{Kind, WorkDistribution};
use crate::model::endpoint::{CompletionKey, Endpoint};
use crate::model::fault_schedule::ActiveFaults;
use crate::model::rate_limit::{LimitDecision, RateLimiter};
use crate::model::site::PartnerProfile;
use crate::sampling::{Stream, bernoulli, gamma_factor, rng_for, uniform};

/// A partner that is warming up collapses when its load exceeds this many times its current capacity ...
pub const COLLAPSE_FACTOR: f64 = 2.0;
/// ... over this many milliseconds.
pub const COLLAPSE_WINDOW: Millis = 3_000.0;

/// Coefficient of variation of a call's service time around the work of its message.
const SERVICE_TIME_VARIATION: f64 = 0.3;
/// The shortest service time, in milliseconds.
const MIN_SERVICE_TIME: Millis = 0.1;

/// Indices that keep the random draws for one call or message apart.
mod draw_index {
    pub const HAS_RETRY_AFTER: u64 = 1;
    pub const RETRY_AFTER: u64 = 2;
    pub const ANSWER: u64 = 3;
    /// The attempt's number is added to this index.
    pub const SERVICE_TIME: u64 = 100;
}

/// A partner's reply to a call. The serialized names are those of stored event logs.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// Success: the call has run.
    Served,
    /// An error: the call has run.
    Failed,
    /// A malformed answer: the call has run.
    #[serde(rename = "Spoilt")]
    Malformed,
    /// A rejection: the call has not run. With the Retry-After in milliseconds, if one is given.
    #[serde(rename = "Refused")]
    Rejected(Option<Millis>),
}

/// A call that arrives at a partner.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// The call's number, unique within a run.
    pub number: u64,
    /// The number of the client's message that the call carries.
    pub origin: u64,
    /// The number of the attempt to deliver the message, from zero.
    pub attempt: u32,
    /// The distribution of the work of the message's class.
    pub work: WorkDistribution,
}

/// What a partner does with a call that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It answers the call at once.
    Answered(Reply),
    /// It runs the call now.
    Running,
    /// It queues the call.
    Queued,
}

/// The reply to a call that has run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    /// The call's number.
    pub call: u64,
    /// The reply that the partner writes.
    pub reply: Reply,
}

/// The calls that a partner has answered and started up to an instant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// The answers to calls that have completed.
    pub answers: Vec<Answer>,
    /// The numbers of the queued calls that have begun to run.
    pub started: Vec<u64>,
}

/// The running state of one partner.
#[derive(Debug)]
pub struct Partner {
    profile: PartnerProfile,
    kind: Kind,
    seed: u64,
    /// Calls per second when it is warm.
    capacity: f64,
    endpoints: BTreeMap<u32, Endpoint>,
    limiter: RateLimiter,
    in_outage: bool,
    /// When its last outage ended. `None` if it has had no outage or is in one.
    recovered_at: Option<Millis>,
    /// Arrival times of the calls within the last `COLLAPSE_WINDOW` while it was warming up.
    recent_arrivals: VecDeque<Millis>,
    collapsed: bool,
}

impl Partner {
    /// Creates a warm partner with its initial endpoints. `mean_work` is the mean work of a call in milliseconds.
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
            in_outage: false,
            recovered_at: None,
            recent_arrivals: VecDeque::new(),
            collapsed: false,
        }
    }

    /// Begins or ends an outage of the partner at `now`. After an outage, the partner starts cold.
    pub fn set_outage(&mut self, in_outage: bool, now: Millis) {
        if self.in_outage && !in_outage {
            self.recovered_at = Some(now);
            self.recent_arrivals.clear();
        }
        if in_outage && !self.in_outage {
            // The running and queued calls are lost and never answered.
            self.drop_all_calls();
            self.recovered_at = None;
        }
        self.in_outage = in_outage;
    }

    /// Whether the partner has collapsed. It does not recover from that.
    pub fn collapsed(&self) -> bool {
        self.collapsed
    }

    /// Adds an endpoint.
    pub fn add_endpoint(&mut self, endpoint: u32) {
        self.endpoints.entry(endpoint).or_default();
    }

    /// Makes an endpoint drain: it takes no more calls, and is removed once it has none.
    pub fn drain_endpoint(&mut self, endpoint: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.draining = true;
        }
    }

    /// The share of its capacity that the partner has at `now`: less than one while it is warming up.
    pub fn warmth(&self, now: Millis) -> f64 {
        let Some(recovered_at) = self.recovered_at.filter(|_| self.kind.warm_up > 0.0) else {
            return 1.0;
        };
        let progress = ((now - recovered_at) / self.kind.warm_up).clamp(0.0, 1.0);
        self.kind.initial_share + (1.0 - self.kind.initial_share) * progress
    }

    /// Takes a call whose last byte has arrived at an endpoint.
    pub fn deliver(
        &mut self,
        endpoint: u32,
        call: Call,
        faults: &ActiveFaults,
        now: Millis,
    ) -> Admission {
        if self.collapsed || self.collapses_under_load(faults, now) {
            return Admission::Answered(Reply::Rejected(None));
        }
        if let Some(until) = faults.rejects_until {
            return Admission::Answered(self.rejection(&call, until - now));
        }
        if self
            .endpoints
            .get(&endpoint)
            .is_none_or(|target| target.draining)
        {
            return Admission::Answered(Reply::Rejected(None));
        }
        if let Some(retry_after) = self.retry_after_over_limit(&call, faults, now) {
            return Admission::Answered(self.rejection(&call, retry_after));
        }
        if faults.hung {
            return Admission::Queued;
        }
        self.run_or_queue(endpoint, call, faults, now)
    }

    /// Counts an arrival while the partner is warming up, and returns whether the partner collapses under its load.
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
            self.capacity * faults.rate_limit_factor * self.warmth(now) * COLLAPSE_WINDOW / 1e3;
        let max_arrivals = (COLLAPSE_FACTOR * sustainable).max(COLLAPSE_FACTOR);
        if now < recovered_at + COLLAPSE_WINDOW || self.recent_arrivals.len() as f64 <= max_arrivals
        {
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

    /// A rejection. Whether it gives the Retry-After is drawn.
    fn rejection(&self, call: &Call, retry_after: Millis) -> Reply {
        let mut rng = rng_for(
            self.seed,
            Stream::Call,
            call.number,
            draw_index::HAS_RETRY_AFTER,
        );
        let has_retry_after = bernoulli(&mut rng, self.kind.retry_after_share);
        Reply::Rejected(has_retry_after.then_some(retry_after))
    }

    /// Counts a call against the rate limit. If the call exceeds the limit, returns how long the caller has to wait.
    fn retry_after_over_limit(
        &mut self,
        call: &Call,
        faults: &ActiveFaults,
        now: Millis,
    ) -> Option<Millis> {
        let rate = self.profile.rate_limit? * faults.rate_limit_factor;
        match self.limiter.admit(rate, now) {
            LimitDecision::Admitted => None,
            LimitDecision::RejectedFor(retry_after) => Some(retry_after),
            LimitDecision::RejectedForDrawnWait => {
                let mut rng = rng_for(
                    self.seed,
                    Stream::Call,
                    call.number,
                    draw_index::RETRY_AFTER,
                );
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
            return Admission::Answered(Reply::Rejected(None));
        };
        if target.running.len() < cores {
            self.start(endpoint, call, faults, now);
            return Admission::Running;
        }
        if target.queue.len() >= queue_capacity {
            return Admission::Answered(Reply::Rejected(None));
        }
        target.queue.push_back(call);
        Admission::Queued
    }

    fn start(&mut self, endpoint: u32, call: Call, faults: &ActiveFaults, now: Millis) {
        let service_time = self.service_time(&call, faults, now);
        let starts_at = faults.paused_until.unwrap_or(now).max(now);
        let completes_at = starts_at + service_time.max(MIN_SERVICE_TIME);
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            let key = CompletionKey::new(completes_at, call.number);
            endpoint.running.insert(key, call);
        }
    }

    /// Draws the service time of a call. The work is drawn once per message, and a variation of it once per attempt.
    fn service_time(&self, call: &Call, faults: &ActiveFaults, now: Millis) -> Millis {
        let attempt_draw = draw_index::SERVICE_TIME + u64::from(call.attempt);
        let mut call_rng = rng_for(self.seed, Stream::Call, call.origin, attempt_draw);
        let mut message_rng = rng_for(self.seed, Stream::Work, call.origin, 0);
        let message_factor = gamma_factor(&mut message_rng, call.work.variation);
        let call_factor = gamma_factor(&mut call_rng, SERVICE_TIME_VARIATION);
        let mut service_time = call.work.mean
            * message_factor
            * call_factor
            * self.profile.service_time_factor
            * faults.slowdown;
        if bernoulli(&mut call_rng, faults.heavy_tail.share) {
            service_time *= faults.heavy_tail.factor;
        }
        service_time / self.warmth(now)
    }

    /// When the next running call completes. `None` if no call runs.
    pub fn next_completion(&self) -> Option<Millis> {
        let first = |endpoint: &Endpoint| endpoint.running.first_key_value().map(|(key, _)| *key);
        self.endpoints
            .values()
            .filter_map(first)
            .min_by_key(|key| key.at_bits)
            .map(CompletionKey::at)
    }

    /// Completes the calls that are done by `now`, and starts queued calls in their place.
    pub fn advance(&mut self, faults: &ActiveFaults, now: Millis) -> Progress {
        let mut progress = Progress::default();
        let numbers: Vec<u32> = self.endpoints.keys().copied().collect();
        for number in numbers {
            self.advance_endpoint(number, faults, now, &mut progress);
        }
        self.endpoints.retain(|_, endpoint| !endpoint.is_drained());
        progress
    }

    fn advance_endpoint(
        &mut self,
        number: u32,
        faults: &ActiveFaults,
        now: Millis,
        progress: &mut Progress,
    ) {
        while let Some(endpoint) = self.endpoints.get_mut(&number) {
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
                self.start(number, next, faults, now);
            }
        }
    }

    /// Draws the reply to a call that has run.
    fn answer(&self, call: &Call, faults: &ActiveFaults) -> Reply {
        let mut rng = rng_for(self.seed, Stream::Call, call.number, draw_index::ANSWER);
        if bernoulli(&mut rng, faults.malformed_share) {
            Reply::Malformed
        } else if bernoulli(&mut rng, self.kind.error_share) {
            Reply::Failed
        } else {
            Reply::Served
        }
    }
}
