//! The rate limits of a partner: a fixed window, a sliding window in which rejected calls count too, and a token
//! bucket.

use std::collections::VecDeque;

use martenlatch_clock::Millis;

use crate::experiment::{Kind, RateLimitKind};

/// A token bucket holds the tokens of so many seconds.
const BUCKET_DEPTH_SECONDS: f64 = 0.5;

/// What a limiter says to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitDecision {
    /// The call is within the limit, and has been counted.
    Within,
    /// The call is over the limit, which has capacity again after so long.
    OverUntil(Millis),
    /// The call is over the limit, and the partner draws the wait from its own range.
    OverWithOwnWait,
}

/// Calls taken in the current span of a fixed window.
#[derive(Debug, Default)]
struct FixedWindow {
    index: u64,
    taken: f64,
}

/// Tokens of a bucket, and when they were last refilled.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

/// The state of one partner's limit.
#[derive(Debug)]
pub struct RateLimiter {
    limit: RateLimitKind,
    window: Millis,
    rejected_count: bool,
    fixed: FixedWindow,
    /// Arrivals of the last window; used where rejected calls count too, so that a caller who persists stays
    /// rejected.
    arrivals: VecDeque<Millis>,
    bucket: TokenBucket,
}

impl RateLimiter {
    /// The limiter of a kind of partner, with its whole capacity available.
    pub fn new(kind: &Kind) -> RateLimiter {
        RateLimiter {
            limit: kind.rate_limit,
            window: kind.limit_window,
            rejected_count: kind.rejections_count,
            fixed: FixedWindow::default(),
            arrivals: VecDeque::new(),
            bucket: TokenBucket {
                tokens: f64::INFINITY,
                refilled_at: 0.0,
            },
        }
    }

    /// Counts a call that comes at `now` against a limit of `rate` calls a second.
    pub fn admit(&mut self, rate: f64, now: Millis) -> LimitDecision {
        match self.limit {
            RateLimitKind::None => LimitDecision::Within,
            RateLimitKind::Window if self.rejected_count => self.admit_sliding(rate, now),
            RateLimitKind::Window => self.admit_fixed(rate, now),
            RateLimitKind::Rate => self.admit_bucket(rate, now),
        }
    }

    fn admit_sliding(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let oldest = now - self.window;
        while self.arrivals.front().is_some_and(|at| *at <= oldest) {
            self.arrivals.pop_front();
        }
        let most = (rate * self.window / 1e3).max(1.0) as usize;
        self.arrivals.push_back(now);
        // There is capacity again once as many have left the window as are over the limit.
        match self.arrivals.len().checked_sub(most + 1) {
            None => LimitDecision::Within,
            Some(over) => LimitDecision::OverUntil(self.arrivals[over] + self.window - now),
        }
    }

    fn admit_fixed(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let index = (now / self.window) as u64;
        if self.fixed.index != index {
            self.fixed = FixedWindow { index, taken: 0.0 };
        }
        let most = (rate * self.window / 1e3).max(1.0);
        if self.fixed.taken + 1.0 > most {
            return LimitDecision::OverUntil((index + 1) as f64 * self.window - now);
        }
        self.fixed.taken += 1.0;
        LimitDecision::Within
    }

    fn admit_bucket(&mut self, rate: f64, now: Millis) -> LimitDecision {
        let depth = (rate * BUCKET_DEPTH_SECONDS).max(1.0);
        let filled = self.bucket.tokens + (now - self.bucket.refilled_at) / 1e3 * rate;
        self.bucket.tokens = filled.min(depth);
        self.bucket.refilled_at = now;
        if self.bucket.tokens < 1.0 {
            return LimitDecision::OverWithOwnWait;
        }
        self.bucket.tokens -= 1.0;
        LimitDecision::Within
    }
}
