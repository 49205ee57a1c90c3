//! What clients want: their messages, which senders they submit them to, and when they retry. Clients never wait for
//! an answer before the next message comes, and do not submit again what may not be repeated.

use martenlatch_clock::Millis;

use crate::experiment::{Class, Effect, Experiment};
use crate::load::PlannedMessage;
use crate::sampling::{Span, Stream, rng_for, uniform};

/// A client whose connections are refused retries so often beyond its usual limit.
const CONNECTION_RETRIES: u32 = 100;
/// How long a message takes to its sender, in milliseconds.
const HAND_IN_LATENCY: Span = Span::new(0.28, 1.0);
/// A client that was given a Retry-After waits at most so many milliseconds longer.
const RETRY_AFTER_SLACK: Millis = 100.0;
/// A client does not retry within so many milliseconds of the message's end.
const LEAST_TIME_LEFT: Millis = 50.0;
/// Keeps a draw over the places of a list within it.
const INDEX_MARGIN: f64 = 0.001;
/// Numbers the draws of backoffs, apart from those of the choice of a sender.
const BACKOFF_DRAW: u64 = 1_000;

/// A message of a client, over all its attempts to submit it.
#[derive(Clone, Copy, Debug)]
pub struct ClientMessage {
    /// As it was planned.
    pub planned: PlannedMessage,
    /// When its time is up.
    pub deadline: Millis,
    retries: u32,
    /// One with an idempotency key that may have run is not handed in again after this.
    key_valid_until: Millis,
}

/// The sender that a message is submitted to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandIn {
    /// The sender's number.
    pub sender: u32,
    /// How long the message takes there.
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
    /// Clients that have submitted nothing yet.
    pub fn new(experiment: &'a Experiment, seed: u64) -> Clients<'a> {
        Clients {
            experiment,
            seed,
            messages: Vec::new(),
        }
    }

    /// Notes a message that comes for the first time, and returns its number.
    pub fn register(&mut self, planned: PlannedMessage) -> u64 {
        let deadline = planned.at + self.class_of(&planned).deadline;
        self.messages.push(ClientMessage {
            planned,
            deadline,
            retries: 0,
            key_valid_until: f64::INFINITY,
        });
        self.messages.len() as u64 - 1
    }

    /// A message by its number.
    pub fn message(&self, origin: u64) -> &ClientMessage {
        &self.messages[origin as usize]
    }

    fn class_of(&self, planned: &PlannedMessage) -> &'a Class {
        &self.experiment.world.classes[planned.class as usize]
    }

    /// Whether a message may be repeated.
    pub fn effect(&self, origin: u64) -> Effect {
        self.class_of(&self.message(origin).planned).effect
    }

    /// Chooses which of the senders that are up a message is submitted to, as a load balancer would; none where none
    /// is up.
    pub fn choose_sender(&self, origin: u64, up: &[u32]) -> Option<HandIn> {
        let retries = self.message(origin).retries;
        let mut rng = rng_for(self.seed, Stream::Client, origin, retries.into());
        let places = Span::new(0.0, up.len() as f64 - INDEX_MARGIN);
        let place = uniform(&mut rng, places) as usize;
        let sender = *up.get(place)?;
        Some(HandIn {
            sender,
            latency: uniform(&mut rng, HAND_IN_LATENCY),
        })
    }

    /// Notes that a call of a message that was sent at an instant may have run: partners know its key from then on.
    pub fn may_have_run(&mut self, origin: u64, sent: Millis) {
        let class = self.class_of(&self.message(origin).planned);
        if class.effect == Effect::Keyed {
            let message = &mut self.messages[origin as usize];
            message.key_valid_until = message.key_valid_until.min(sent + class.idempotency_window);
        }
    }

    /// When a message is submitted again that was rejected, with the Retry-After that was given, or for which no
    /// sender was there to listen (`heard` is false); none: never.
    pub fn retry_at(
        &mut self,
        origin: u64,
        retry_after: Option<Millis>,
        heard: bool,
        now: Millis,
    ) -> Option<Millis> {
        let load = &self.experiment.load;
        let most = load.retries + if heard { 0 } else { CONNECTION_RETRIES };
        let message = &mut self.messages[origin as usize];
        if message.retries >= most {
            return None;
        }
        message.retries += 1;
        let draw = BACKOFF_DRAW + u64::from(message.retries);
        let mut rng = rng_for(self.seed, Stream::Client, origin, draw);
        let backoff = uniform(&mut rng, load.backoff);
        let wait = retry_after.map_or(backoff, |told| {
            told.max(backoff.min(told + RETRY_AFTER_SLACK))
        });
        let at = now + wait;
        let end = message.deadline.min(message.key_valid_until);
        (at + LEAST_TIME_LEFT < end).then_some(at)
    }
}
