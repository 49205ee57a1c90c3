//! All partners of a run together: which endpoint belongs to whom, which partners are in an outage, when the next
//! call is done, and which endpoint replaces which. The same model serves simulated and real time.

use martenlatch_clock::Millis;

use crate::experiment::Experiment;
use crate::model::fault_schedule::{ActiveFaults, Discovery, FaultSchedule};
use crate::model::partner::{Admission, Call, Partner, Progress};
use crate::model::site::Site;
use crate::sampling::{Span, Stream, rng_for, uniform};

/// A replaced endpoint is gone so many milliseconds after its successor has come.
pub const REPLACEMENT_OVERLAP: Millis = 8_000.0;

/// What the endpoint list says of an endpoint. The order is part of the random draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Active,
    /// It finishes what it has.
    Draining,
    /// Not there any more.
    Removed,
}

/// What became of a call that was delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delivery {
    /// What its partner did with it.
    pub admission: Admission,
    /// Its partner has collapsed under it.
    pub collapsed: bool,
}

/// A partner goes into an outage, or comes out of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageChange {
    /// The partner's number.
    pub partner: u32,
    /// Whether it is in an outage now.
    pub in_outage: bool,
}

/// An endpoint that takes the place of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The endpoint that leaves.
    pub old: u32,
    /// Its successor.
    pub new: u32,
}

/// All partners of a run.
#[derive(Debug)]
pub struct Environment {
    /// The partners as drawn.
    pub site: Site,
    /// What goes wrong when.
    pub faults: FaultSchedule,
    /// The partner of each endpoint that ever was.
    pub endpoint_partners: Vec<u32>,
    partners: Vec<Partner>,
    /// For each partner, whether it is in an outage.
    in_outage: Vec<bool>,
    /// For each partner, when it was last said to be looked at.
    next_completion: Vec<Option<Millis>>,
    /// Endpoints of each partner that are in service, oldest first.
    serving: Vec<Vec<u32>>,
    seed: u64,
    list_lateness: Span,
}

impl Environment {
    /// The partners that a seed draws, with their first endpoints numbered partner by partner.
    pub fn new(experiment: &Experiment, seed: u64) -> Environment {
        let site = Site::new(&experiment.world, seed);
        let faults = FaultSchedule::new(experiment, &site);
        let mut endpoint_partners = Vec::new();
        let mut serving = Vec::new();
        let mut partners = Vec::new();
        for (number, profile) in site.partners.iter().enumerate() {
            let first = endpoint_partners.len() as u32;
            endpoint_partners.extend(std::iter::repeat_n(
                number as u32,
                profile.endpoint_count as usize,
            ));
            let own: Vec<u32> = (first..endpoint_partners.len() as u32).collect();
            let kind = &experiment.world.kinds[profile.kind_index];
            let endpoints = own.iter().copied();
            partners.push(Partner::new(profile, kind, site.mean_work, seed, endpoints));
            serving.push(own);
        }
        Environment {
            in_outage: vec![false; partners.len()],
            next_completion: vec![None; partners.len()],
            list_lateness: experiment.world.list_lateness,
            site,
            faults,
            endpoint_partners,
            partners,
            serving,
            seed,
        }
    }

    /// The partner of an endpoint.
    pub fn partner_of(&self, endpoint: u32) -> u32 {
        self.endpoint_partners[endpoint as usize]
    }

    /// The faults of a partner at an instant.
    pub fn faults_at(&self, partner: u32, now: Millis) -> ActiveFaults {
        self.faults.active_at(partner as usize, now)
    }

    /// Hands a call whose last byte has come to its partner.
    pub fn deliver(&mut self, endpoint: u32, call: Call, now: Millis) -> Delivery {
        let number = self.endpoint_partners[endpoint as usize] as usize;
        let faults = self.faults.active_at(number, now);
        let partner = &mut self.partners[number];
        let had_collapsed = partner.collapsed();
        let admission = partner.deliver(endpoint, call, &faults, now);
        Delivery {
            admission,
            collapsed: !had_collapsed && partner.collapsed(),
        }
    }

    /// When a partner's next call is done, if that is sooner than was last said.
    pub fn earlier_completion(&mut self, partner: u32) -> Option<Millis> {
        let next = self.partners[partner as usize].next_completion();
        let known = &mut self.next_completion[partner as usize];
        let sooner = next.filter(|at| known.is_none_or(|known| *at < known));
        if sooner.is_some() {
            *known = sooner;
        }
        sooner
    }

    /// Lets a partner finish what is done by now; nothing where it was looked at already.
    pub fn advance(&mut self, partner: u32, now: Millis) -> Progress {
        let number = partner as usize;
        if self.next_completion[number].is_none_or(|at| at > now) {
            return Progress::default();
        }
        self.next_completion[number] = None;
        let faults = self.faults.active_at(number, now);
        self.partners[number].advance(&faults, now)
    }

    /// Follows a failure that has begun or ended: the partners that go into an outage, or come out of one.
    pub fn update_outages(&mut self, now: Millis) -> Vec<OutageChange> {
        let mut changes = Vec::new();
        for number in 0..self.partners.len() {
            let in_outage = self.faults.in_outage(number, now);
            if in_outage != self.in_outage[number] {
                self.in_outage[number] = in_outage;
                self.partners[number].set_outage(in_outage, now);
                changes.push(OutageChange {
                    partner: number as u32,
                    in_outage,
                });
            }
        }
        changes
    }

    /// The partner that a failure has an endpoint replaced of at its `turn`th time; they take turns.
    pub fn next_partner_to_replace(&self, failure: usize, turn: usize) -> Option<u32> {
        let hit = self.faults.partners_of(failure)?;
        hit.get(turn % hit.len().max(1))
            .map(|partner| *partner as u32)
    }

    /// Puts a new endpoint in the place of a partner's oldest.
    pub fn replace_endpoint(&mut self, partner: u32) -> Replacement {
        let new = self.endpoint_partners.len() as u32;
        self.endpoint_partners.push(partner);
        let serving = &mut self.serving[partner as usize];
        let old = serving.remove(0);
        serving.push(new);
        self.partners[partner as usize].add_endpoint(new);
        Replacement { old, new }
    }

    /// Has an endpoint take no more calls.
    pub fn retire_endpoint(&mut self, endpoint: u32) {
        let partner = self.endpoint_partners[endpoint as usize];
        self.partners[partner as usize].drain_endpoint(endpoint);
    }

    /// When a sender is notified of a change to the endpoint list that is made now.
    pub fn notification_time(
        &self,
        sender: u32,
        endpoint: u32,
        state: ListedState,
        now: Millis,
    ) -> Millis {
        let change = (u64::from(endpoint) << 2) | state as u64;
        let mut rng = rng_for(self.seed, Stream::EndpointList, change, sender.into());
        let late = uniform(&mut rng, self.list_lateness);
        let least = if state == ListedState::Removed {
            REPLACEMENT_OVERLAP
        } else {
            0.0
        };
        match self.faults.discovery(now) {
            Discovery::Up { delay_factor } => now + least + late * delay_factor,
            Discovery::DownUntil(end) => end + least + late,
        }
    }
}
