//! Gossip in a simulated run: what running senders tell one that joins.

use martenlatch_clock::nanos;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge};
use martenlatch_policy::Policy;

use super::CLOCK_ORIGIN;
use super::simulation::Simulation;

/// A newcomer asks at most so many others.
const PEERS_ASKED: usize = 3;
/// Observations that cross the network together.
const PAGE_SIZE: usize = 32;

impl Simulation<'_> {
    /// Puts down what the others know now, for a sender that joins later.
    pub(super) fn collect_gossip(&mut self, newcomer: u32) {
        let collected = self.gossip_for(newcomer);
        self.senders[newcomer as usize].collected_gossip = Some(collected);
    }

    /// What a few others that run can tell a newcomer now, in the form in which it crosses the network.
    pub(super) fn gossip_for(&self, newcomer: u32) -> PartnerKnowledge {
        let mut known = PartnerKnowledge::default();
        let others = self
            .senders
            .iter()
            .enumerate()
            .filter(|(number, _)| *number as u32 != newcomer);
        let running = others.filter_map(|(number, sender)| Some((number, sender.policy.as_ref()?)));
        for (number, policy) in running.take(PEERS_ASKED) {
            self.hear_all(&mut known, number, policy);
        }
        known
    }

    /// Hears everything that a sender has observed, page by page.
    fn hear_all(&self, known: &mut PartnerKnowledge, reporter: usize, policy: &Policy) {
        let reporter = reporter.to_string();
        let now = nanos(CLOCK_ORIGIN + self.now);
        let bounds = Bounds::default();
        let mut after = None;
        loop {
            let (observations, next) = policy.observations(now, after, PAGE_SIZE);
            for observation in &observations {
                let name = observation.endpoint.map(|endpoint| endpoint.0.to_string());
                let digest = Digest::from_observation(observation, name);
                known.add_digest(&reporter, &digest, self.now, &bounds);
            }
            if next.is_none() {
                return;
            }
            after = next;
        }
    }
}
