//! The rate limiters of partners: a fixed window, a sliding window in which rejected calls also count, and a token
//! bucket.

use std::collections::VecDeque;

use martenlatch_clock::Millis;

use crate::experiment::{Kind, RateLimitKind};

/// The capacity of a token bucket, in seconds of its rate.
const BUCKET_SECONDS: f64 = 0.5;

/// The decision of a rate limiter on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitDecision {
    /// The call is within the limit, and has been counted.
    Admitted,
    /// The call exceeds the limit, which has capacity again after this time.
    RejectedFor(Millis),
    /// The call exceeds the limit, and the partner draws the Retry-After from its own range.
    RejectedForDrawnWait,
}

/// The current fixed window and the number of calls admitted in it.
#[derive(Debug, Default)]
struct FixedWindow {
    index: u64,
    admitted: f64,
}

/// The tokens of a bucket and when they were last refilled.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

/// The state of one partner's rate limit.
#[derive(Debug)]
pub struct RateLimiter {
    limit: RateLimitKind,
    window: Millis,
    counts_rejected: bool,
    fixed: FixedWindow,
    /// Arrival times within the last window. Used if rejected calls also count, so that a caller who keeps sending too
    /// fast stays rejected.
    arrivals: VecDeque<Millis>,
    bucket: TokenBucket,
}

impl RateLimiter {
    /// Creates the limiter of a kind of partner, with its whole capacity available.
    pub fn new(kind: &Kind) -> RateLimiter {
        RateLimiter {
            limit: kind.rate_limit,
            window: kind.limit_window,
            counts_rejected: kind.rejections_count,
            fixed: FixedWindow::default(),
            arrivals: VecDeque::new(),
            bucket: TokenBucket {
                tokens: f64::INFINITY,
                refilled_at: 0.0,
            },
        }
    }

    /// Counts a call that arrives at `now` against a limit of `rate` calls per second.
    pub fn admit(&mut self, rate: f64, now: Millis) -> LimitDecision {
        match self.limit {
            RateLimitKind::None => LimitDecision::Admitted,
            RateLimitKind::Window if self.counts_rejected => self.admit_sliding(rate, now),
            RateLimitKind::Window => self.admit_fixed(rate, now),
            RateLimitKind::Rate => self.admit_bucket(rate, now),
        }
    }

    fn admit_sliding(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let oldest = now - self.window;
        while self.arrivals.front().is_some_and(|at| *at <= oldest) {
            self.arrivals.pop_front();
        }
        let max_calls = (rate * self.window / 1e3).max(1.0) as usize;
        self.arrivals.push_back(now);
        // There is capacity again once as many arrivals have left the window as exceed the limit.
        match self.arrivals.len().checked_sub(max_calls + 1) {
            None => LimitDecision::Admitted,
            Some(excess) => LimitDecision::RejectedFor(self.arrivals[excess] + self.window - now),
        }
    }

    fn admit_fixed(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let index = (now / self.window) as u64;
        if self.fixed.index != index {
            self.fixed = FixedWindow {
                index,
                admitted: 0.0,
            };
        }
        let max_calls = (rate * self.window / 1e3).max(1.0);
        if self.fixed.admitted + 1.0 > max_calls {
            return LimitDecision::RejectedFor((index + 1) as f64 * self.window - now);
        }
        self.fixed.admitted += 1.0;
        LimitDecision::Admitted
    }

    fn admit_bucket(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let capacity = (rate * BUCKET_SECONDS).max(1.0);
        let filled = self.bucket.tokens + (now - self.bucket.refilled_at) / 1e3 * rate;
        self.bucket.tokens = filled.min(capacity);
        self.bucket.refilled_at = now;
        if self.bucket.tokens < 1.0 {
            return LimitDecision::RejectedForDrawnWait;
        }
        self.bucket.tokens -= 1.0;
        LimitDecision::Admitted
    }
}
