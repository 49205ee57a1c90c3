//! Owns what clients want: their messages, whom they hand them to, and when they come again. It must never wait for
//! an answer before the next message comes, nor hand in again what may not be repeated.

use martenlatch_clock::Millis;

use crate::draw::{Stream, draw, within};
use crate::experiment::{Effect, Experiment};
use crate::load::Intended;

/// A client that nobody listens to comes again so often at most.
const KNOCKS: u32 = 100;

/// A message over all its handings in.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// As it was meant to come.
    pub planned: Intended,
    /// When its time is up.
    pub deadline: Millis,
    tries: u32,
    /// A keyed one that may have run is not handed in again after this.
    until: Millis,
}

/// All messages of a run.
#[derive(Debug)]
pub struct Clients<'a> {
    x: &'a Experiment,
    seed: u64,
    origins: Vec<Origin>,
}

impl<'a> Clients<'a> {
    /// Clients that have handed in nothing yet.
    pub fn new(x: &'a Experiment, seed: u64) -> Clients<'a> {
        Clients {
            x,
            seed,
            origins: Vec::new(),
        }
    }

    /// A message comes for the first time; its number.
    pub fn comes(&mut self, planned: Intended) -> u64 {
        let deadline = planned.at + self.x.world.classes[planned.class as usize].deadline;
        self.origins.push(Origin {
            planned,
            deadline,
            tries: 0,
            until: f64::INFINITY,
        });
        self.origins.len() as u64 - 1
    }

    /// A message by its number.
    pub fn origin(&self, origin: u64) -> &Origin {
        &self.origins[origin as usize]
    }

    /// What a repeat of a message does.
    pub fn effect(&self, origin: u64) -> Effect {
        self.x.world.classes[self.origin(origin).planned.class as usize].effect
    }

    /// Whom of those that are up a message is handed to, through a front that deals them out, and how long that takes.
    pub fn dealt(&self, origin: u64, up: &[u32]) -> Option<(u32, Millis)> {
        let mut rng = draw(
            self.seed,
            Stream::Client,
            origin,
            self.origin(origin).tries.into(),
        );
        let place = within(&mut rng, (0.0, up.len() as f64 - 0.001)) as usize;
        up.get(place)
            .map(|sender| (*sender, within(&mut rng, (0.28, 1.0))))
    }

    /// It was sent at an instant, and that call may have run: its key is remembered from then.
    pub fn may_have_run(&mut self, origin: u64, sent: Millis) {
        if self.effect(origin) == Effect::Keyed {
            let window = self.x.world.classes[self.origin(origin).planned.class as usize].window;
            let o = &mut self.origins[origin as usize];
            o.until = o.until.min(sent + window);
        }
    }

    /// When a message is handed in again that was refused, or that nobody heard of (`heard` is false); none: never.
    pub fn again(
        &mut self,
        origin: u64,
        told: Option<Millis>,
        heard: bool,
        now: Millis,
    ) -> Option<Millis> {
        let o = &mut self.origins[origin as usize];
        if o.tries >= self.x.load.retries + if heard { 0 } else { KNOCKS } {
            return None;
        }
        o.tries += 1;
        let mut rng = draw(
            self.seed,
            Stream::Client,
            origin,
            1_000 + u64::from(o.tries),
        );
        let own = within(&mut rng, self.x.load.backoff);
        let at = now + told.map_or(own, |told| told.max(own.min(told + 100.0)));
        (at + 50.0 < o.deadline.min(o.until)).then_some(at)
    }
}
