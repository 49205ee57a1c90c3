//! Owns all partners of a run together: which endpoints are whose, who is out, when the next call is done, what is
//! replaced by what. It must never know whether its time is simulated or real.

use martenlatch_clock::Millis;

use crate::draw::{Stream, draw, within};
use crate::experiment::Experiment;
use crate::model::partner::{Call, Partner, Reply, Taken};
use crate::model::site::Site;
use crate::model::weather::{Forecast, Weather};

/// A replaced endpoint is gone so long after its successor has come.
pub const REPLACED: Millis = 8_000.0;

/// How the list speaks of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// In service.
    On,
    /// It finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// All partners of a run.
#[derive(Debug)]
pub struct Ground {
    /// As drawn.
    pub site: Site,
    /// What goes wrong when.
    pub forecast: Forecast,
    /// The partner of each endpoint that ever was.
    pub owner: Vec<u32>,
    partners: Vec<Partner>,
    out: Vec<bool>,
    due: Vec<Option<Millis>>,
    /// Endpoints of each partner that are in service, oldest first.
    serving: Vec<Vec<u32>>,
    seed: u64,
    list: (f64, f64),
}

impl Ground {
    /// The partners that a seed draws, with their first endpoints numbered partner by partner.
    pub fn new(x: &Experiment, seed: u64) -> Ground {
        let site = Site::new(&x.world, seed);
        let forecast = Forecast::new(x, &site);
        let (mut owner, mut serving, mut partners) = (Vec::new(), Vec::new(), Vec::new());
        for (i, drawn) in site.partners.iter().enumerate() {
            let first = owner.len() as u32;
            owner.extend(std::iter::repeat_n(i as u32, drawn.endpoints as usize));
            let own: Vec<u32> = (first..owner.len() as u32).collect();
            let kind = &x.world.kinds[drawn.kind];
            partners.push(Partner::new(
                drawn,
                kind,
                site.work,
                seed,
                own.iter().copied(),
            ));
            serving.push(own);
        }
        let (out, due, list) = (
            vec![false; partners.len()],
            vec![None; partners.len()],
            x.world.list,
        );
        Ground {
            site,
            forecast,
            owner,
            partners,
            out,
            due,
            serving,
            seed,
            list,
        }
    }

    /// The partner of an endpoint.
    pub fn partner(&self, endpoint: u32) -> u32 {
        self.owner[endpoint as usize]
    }

    /// The weather at a partner.
    pub fn weather(&self, partner: u32, now: Millis) -> Weather {
        self.forecast.at(partner as usize, now)
    }

    /// A call's last byte has come. Also says whether its partner has fallen over under it.
    pub fn call(&mut self, endpoint: u32, call: Call, now: Millis) -> (Taken, bool) {
        let at = self.owner[endpoint as usize] as usize;
        let (weather, was) = (self.forecast.at(at, now), self.partners[at].toppled());
        let taken = self.partners[at].call(endpoint, call, &weather, now);
        (taken, !was && self.partners[at].toppled())
    }

    /// When a partner must be looked at, if that is sooner than was known.
    pub fn sooner(&mut self, partner: u32) -> Option<Millis> {
        let due = self.partners[partner as usize].due();
        let known = &mut self.due[partner as usize];
        let sooner = due.filter(|at| known.is_none_or(|k| *at < k));
        if sooner.is_some() {
            *known = sooner;
        }
        sooner
    }

    /// What a partner has answered, and which calls run now; nothing where it was looked at already.
    pub fn advance(&mut self, partner: u32, now: Millis) -> (Vec<(u64, Reply)>, Vec<u64>) {
        let at = partner as usize;
        if self.due[at].is_none_or(|due| due > now) {
            return (Vec::new(), Vec::new());
        }
        self.due[at] = None;
        let weather = self.forecast.at(at, now);
        self.partners[at].advance(&weather, now)
    }

    /// A failure has begun or ended: the partners that go out, or come back.
    pub fn edge(&mut self, now: Millis) -> Vec<(u32, bool)> {
        let mut turned = Vec::new();
        for at in 0..self.partners.len() {
            let out = self.forecast.out(at, now);
            if out != std::mem::replace(&mut self.out[at], out) {
                self.partners[at].turn_out(out, now);
                turned.push((at as u32, out));
            }
        }
        turned
    }

    /// The partner whose turn it is to have an endpoint replaced by a failure.
    pub fn next_replaced(&self, failure: usize, turn: usize) -> Option<u32> {
        let (_, hit) = self.forecast.all().nth(failure)?;
        let hit: Vec<usize> = hit
            .iter()
            .enumerate()
            .filter(|(_, h)| **h)
            .map(|(p, _)| p)
            .collect();
        hit.get(turn % hit.len().max(1)).map(|p| *p as u32)
    }

    /// Puts a new endpoint in the place of a partner's oldest: the old one and the new.
    pub fn replace(&mut self, partner: u32) -> (u32, u32) {
        let new = self.owner.len() as u32;
        self.owner.push(partner);
        let old = self.serving[partner as usize].remove(0);
        self.serving[partner as usize].push(new);
        self.partners[partner as usize].endpoint(new, true);
        (old, new)
    }

    /// An endpoint takes nothing any more.
    pub fn retire(&mut self, endpoint: u32) {
        self.partners[self.owner[endpoint as usize] as usize].endpoint(endpoint, false);
    }

    /// When a sender hears of a change that is made now.
    pub fn heard(&self, sender: u32, endpoint: u32, state: State, now: Millis) -> Millis {
        let stream = (u64::from(endpoint) << 2) | state as u64;
        let late = within(
            &mut draw(self.seed, Stream::List, stream, sender.into()),
            self.list,
        );
        let least = if state == State::Gone { REPLACED } else { 0.0 };
        match self.forecast.list(now) {
            Ok(times) => now + least + late * times,
            Err(end) => end + least + late,
        }
    }
}
