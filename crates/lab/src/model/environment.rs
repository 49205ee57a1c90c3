//! All partners of a run: which endpoint belongs to which partner, which partners are in an outage, when the next call
//! completes, and which endpoint replaces which. Simulated runs and runs in real time use the same model.

use martenlatch_clock::Millis;

use crate::experiment::Experiment;
use crate::model::fault_schedule::{ActiveFaults, Discovery, FaultSchedule};
use crate::model::partner::{Admission, Call, Partner, Progress};
use crate::model::site::Site;
use crate::sampling::{Span, Stream, rng_for, uniform};

/// Milliseconds from the appearance of a new endpoint until the endpoint that it replaces is removed.
pub const REPLACEMENT_OVERLAP: Millis = 8_000.0;

/// The state of an endpoint in the endpoint list. The order of the variants is part of the random draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// In service.
    Active,
    /// It finishes the calls that it has and takes no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// The result of delivering a call to a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delivery {
    /// Whether the partner answered the call at once, runs it or queued it.
    pub admission: Admission,
    /// Whether this call made the partner collapse.
    pub collapsed: bool,
}

/// The start or the end of a partner's outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageChange {
    /// The partner's number.
    pub partner: u32,
    /// Whether the partner is in an outage from now on.
    pub in_outage: bool,
}

/// A new endpoint that replaces an old one of the same partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The endpoint that is replaced.
    pub old: u32,
    /// The endpoint that replaces it.
    pub new: u32,
}

/// All partners of a run.
#[derive(Debug)]
pub struct Environment {
    /// The drawn properties of the partners.
    pub site: Site,
    /// The failures of the run, and when each is active.
    pub faults: FaultSchedule,
    /// The partner of each endpoint, including the endpoints that were removed.
    pub endpoint_partners: Vec<u32>,
    partners: Vec<Partner>,
    /// For each partner, whether it is in an outage.
    in_outage: Vec<bool>,
    /// For each partner, the earliest completion that has been scheduled.
    scheduled_completion: Vec<Option<Millis>>,
    /// Endpoints of each partner that are in service, oldest first.
    in_service: Vec<Vec<u32>>,
    seed: u64,
    list_lateness: Span,
}

impl Environment {
    /// Draws the partners for a seed. Their initial endpoints are numbered consecutively, partner by partner.
    pub fn new(experiment: &Experiment, seed: u64) -> Environment {
        let site = Site::new(&experiment.world, seed);
        let faults = FaultSchedule::new(experiment, &site);
        let mut endpoint_partners = Vec::new();
        let mut in_service = Vec::new();
        let mut partners = Vec::new();
        for (number, profile) in site.partners.iter().enumerate() {
            let first_endpoint = endpoint_partners.len() as u32;
            endpoint_partners.extend(std::iter::repeat_n(
                number as u32,
                profile.endpoint_count as usize,
            ));
            let own_endpoints: Vec<u32> =
                (first_endpoint..endpoint_partners.len() as u32).collect();
            let kind = &experiment.world.kinds[profile.kind_index];
            let endpoints = own_endpoints.iter().copied();
            partners.push(Partner::new(profile, kind, site.mean_work, seed, endpoints));
            in_service.push(own_endpoints);
        }
        Environment {
            in_outage: vec![false; partners.len()],
            scheduled_completion: vec![None; partners.len()],
            list_lateness: experiment.world.list_lateness,
            site,
            faults,
            endpoint_partners,
            partners,
            in_service,
            seed,
        }
    }

    /// The partner of an endpoint.
    pub fn partner_of(&self, endpoint: u32) -> u32 {
        self.endpoint_partners[endpoint as usize]
    }

    /// The faults that are active for a partner at `now`.
    pub fn faults_at(&self, partner: u32, now: Millis) -> ActiveFaults {
        self.faults.active_at(partner as usize, now)
    }

    /// Delivers a call whose last byte has arrived at an endpoint to the endpoint's partner.
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

    /// When a partner's next call completes, if that is earlier than the completion that is already scheduled.
    pub fn earlier_completion(&mut self, partner: u32) -> Option<Millis> {
        let next = self.partners[partner as usize].next_completion();
        let scheduled = &mut self.scheduled_completion[partner as usize];
        let earlier = next.filter(|at| scheduled.is_none_or(|scheduled| *at < scheduled));
        if earlier.is_some() {
            *scheduled = earlier;
        }
        earlier
    }

    /// Completes a partner's calls that are done by `now`. Does nothing unless a completion is scheduled for `now` or
    /// earlier.
    pub fn advance(&mut self, partner: u32, now: Millis) -> Progress {
        let number = partner as usize;
        if self.scheduled_completion[number].is_none_or(|at| at > now) {
            return Progress::default();
        }
        self.scheduled_completion[number] = None;
        let faults = self.faults.active_at(number, now);
        self.partners[number].advance(&faults, now)
    }

    /// Updates the partners after a failure has begun or ended, and returns the outages that begin or end with it.
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

    /// The partner whose endpoint a failure replaces in its repetition number `repetition`, counted from zero. The
    /// affected partners take turns. `None` if there is no such failure or it affects no partner.
    pub fn next_partner_to_replace(&self, failure: usize, repetition: usize) -> Option<u32> {
        let affected = self.faults.partners_affected_by(failure)?;
        affected
            .get(repetition % affected.len().max(1))
            .map(|partner| *partner as u32)
    }

    /// Replaces the oldest endpoint that a partner has in service by a new one.
    pub fn replace_endpoint(&mut self, partner: u32) -> Replacement {
        let new = self.endpoint_partners.len() as u32;
        self.endpoint_partners.push(partner);
        let in_service = &mut self.in_service[partner as usize];
        let old = in_service.remove(0);
        in_service.push(new);
        self.partners[partner as usize].add_endpoint(new);
        Replacement { old, new }
    }

    /// Makes an endpoint drain, so that it takes no more calls.
    pub fn retire_endpoint(&mut self, endpoint: u32) {
        let partner = self.endpoint_partners[endpoint as usize];
        self.partners[partner as usize].drain_endpoint(endpoint);
    }

    /// When a sender is notified of a change that is made to the endpoint list at `now`.
    pub fn notification_time(
        &self,
        sender: u32,
        endpoint: u32,
        state: ListedState,
        now: Millis,
    ) -> Millis {
        let change = (u64::from(endpoint) << 2) | state as u64;
        let mut rng = rng_for(self.seed, Stream::EndpointList, change, sender.into());
        let delay = uniform(&mut rng, self.list_lateness);
        let overlap = if state == ListedState::Removed {
            REPLACEMENT_OVERLAP
        } else {
            0.0
        };
        match self.faults.discovery(now) {
            Discovery::Up { delay_factor } => now + overlap + delay * delay_factor,
            Discovery::DownUntil(end) => end + overlap + delay,
        }
    }
}
