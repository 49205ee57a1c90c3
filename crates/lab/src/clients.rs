//! The clients of a run: their messages, the senders to which they submit them, and when they retry. Clients do not
//! wait for an answer before the next message, and do not submit a message again that must not be repeated.

use martenlatch_clock::Millis;

use crate::experiment::{Class, Effect, Experiment};
use crate::load::PlannedMessage;
use crate::sampling::{Span, Stream, rng_for, uniform};

/// Additional retries, beyond the usual limit, of a client whose connections are refused.
const CONNECTION_RETRIES: u32 = 100;
/// One-way latency from a client to a sender, in milliseconds.
const SUBMIT_LATENCY: Span = Span::new(0.28, 1.0);
/// A client that was given a Retry-After waits at most this many milliseconds longer.
const RETRY_AFTER_SLACK: Millis = 100.0;
/// Minimum time from a retry to the message's deadline and to the end of its idempotency window.
const MIN_TIME_LEFT: Millis = 50.0;
/// Keeps a drawn index within its list.
const INDEX_MARGIN: f64 = 0.001;
/// First index of the draws of backoffs. It keeps them apart from the draws of senders.
const FIRST_BACKOFF_DRAW: u64 = 1_000;

/// A client's message, over all attempts to submit it.
#[derive(Clone, Copy, Debug)]
pub struct ClientMessage {
    /// The message as planned.
    pub planned: PlannedMessage,
    /// The message's deadline.
    pub deadline: Millis,
    retries: u32,
    /// When the idempotency window ends. A message with an idempotency key that may have run is not submitted again
    /// after this.
    window_end: Millis,
}

/// The sender to which a message is submitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderChoice {
    /// The sender's number.
    pub sender: u32,
    /// How long the message takes to reach the sender.
    pub latency: Millis,
}

/// All messages of a run, by their numbers.
#[derive(Debug)]
pub struct Clients<'a> {
    experiment: &'a Experiment,
    seed: u64,
    messages: Vec<ClientMessage>,
}

impl<'a> Clients<'a> {
    /// Creates clients that have submitted nothing yet.
    pub fn new(experiment: &'a Experiment, seed: u64) -> Clients<'a> {
        Clients {
            experiment,
            seed,
            messages: Vec::new(),
        }
    }

    /// Registers a message before it is first submitted, and returns its number.
    pub fn register(&mut self, planned: PlannedMessage) -> u64 {
        let deadline = planned.at + self.class_of(&planned).deadline;
        self.messages.push(ClientMessage {
            planned,
            deadline,
            retries: 0,
            window_end: f64::INFINITY,
        });
        self.messages.len() as u64 - 1
    }

    /// The message with a number.
    pub fn message(&self, origin: u64) -> &ClientMessage {
        &self.messages[origin as usize]
    }

    fn class_of(&self, planned: &PlannedMessage) -> &'a Class {
        &self.experiment.world.classes[planned.class as usize]
    }

    /// The effect of a message, which decides whether it may be repeated.
    pub fn effect(&self, origin: u64) -> Effect {
        self.class_of(&self.message(origin).planned).effect
    }

    /// Chooses a sender for a message from the senders that are up, as a load balancer would. `None` if none is up.
    pub fn choose_sender(&self, origin: u64, up: &[u32]) -> Option<SenderChoice> {
        let retries = self.message(origin).retries;
        let mut rng = rng_for(self.seed, Stream::Client, origin, retries.into());
        let indices = Span::new(0.0, up.len() as f64 - INDEX_MARGIN);
        let index = uniform(&mut rng, indices) as usize;
        let sender = *up.get(index)?;
        Some(SenderChoice {
            sender,
            latency: uniform(&mut rng, SUBMIT_LATENCY),
        })
    }

    /// Notes that an attempt that was sent at `sent_at` may have run. Partners know the message's idempotency key from
    /// then on, so its idempotency window begins.
    pub fn may_have_run(&mut self, origin: u64, sent_at: Millis) {
        let class = self.class_of(&self.message(origin).planned);
        if class.effect == Effect::Keyed {
            let message = &mut self.messages[origin as usize];
            message.window_end = message.window_end.min(sent_at + class.idempotency_window);
        }
    }

    /// When a message is submitted again after a rejection with an optional Retry-After, or after it has reached no
    /// sender (`reached_sender` is false). `None` if it is not submitted again.
    pub fn retry_at(
        &mut self,
        origin: u64,
        retry_after: Option<Millis>,
        reached_sender: bool,
        now: Millis,
    ) -> Option<Millis> {
        let load = &self.experiment.load;
        let connection_retries = if reached_sender {
            0
        } else {
            CONNECTION_RETRIES
        };
        let max_retries = load.retries + connection_retries;
        let message = &mut self.messages[origin as usize];
        if message.retries >= max_retries {
            return None;
        }
        message.retries += 1;
        let draw = FIRST_BACKOFF_DRAW + u64::from(message.retries);
        let mut rng = rng_for(self.seed, Stream::Client, origin, draw);
        let backoff = uniform(&mut rng, load.backoff);
        let wait = retry_after.map_or(backoff, |min_wait| {
            min_wait.max(backoff.min(min_wait + RETRY_AFTER_SLACK))
        });
        let at = now + wait;
        let end = message.deadline.min(message.window_end);
        (at + MIN_TIME_LEFT < end).then_some(at)
    }
}
