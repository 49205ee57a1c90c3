//! Gossip in a simulated run: the knowledge of partners that running senders pass on to a sender that joins.

use martenlatch_clock::nanos;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge};
use martenlatch_policy::Policy;

use super::CLOCK_ORIGIN;
use super::simulation::Simulation;

/// Maximum number of running senders that a joining sender learns from.
const MAX_PEERS_ASKED: usize = 3;
/// Number of observations in one page of gossip.
const PAGE_SIZE: usize = 32;

impl Simulation<'_> {
    /// Collects the current knowledge of the running senders for a sender that joins later.
    pub(super) fn collect_gossip(&mut self, newcomer: u32) {
        let collected = self.gossip_for(newcomer);
        self.senders[newcomer as usize].collected_gossip = Some(collected);
    }

    /// The current knowledge of up to `MAX_PEERS_ASKED` running senders for a joining sender, in the form in which it
    /// crosses the network.
    pub(super) fn gossip_for(&self, newcomer: u32) -> PartnerKnowledge {
        let mut known = PartnerKnowledge::default();
        let others = self
            .senders
            .iter()
            .enumerate()
            .filter(|(number, _)| *number as u32 != newcomer);
        let running = others.filter_map(|(number, sender)| Some((number, sender.policy.as_ref()?)));
        for (number, policy) in running.take(MAX_PEERS_ASKED) {
            self.add_observations(&mut known, number, policy);
        }
        known
    }

    /// Adds all observations of a sender to `known`, page by page.
    fn add_observations(&self, known: &mut PartnerKnowledge, reporter: usize, policy: &Policy) {
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
