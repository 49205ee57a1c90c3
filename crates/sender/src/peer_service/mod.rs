//! Communication with this sender's peers, the other senders: group membership by UDP datagrams, and queries about
//! partners over TCP connections. It is disabled unless the settings contain an address to listen on.
//!
//! When a sender starts, it queries some seeds for their observations of partners (`seed_queries`). It passes these to
//! its decision module as soon as the partner is listed (`gossip`). It serves such queries of other senders
//! (`page_server`), and saves its own observations for its next start (`snapshot_writer`).

mod datagrams;
mod error;
mod gossip;
mod page_server;
mod rejections;
mod seed_queries;
mod shared_secret;
mod snapshot_writer;
mod sockets;

use std::path::Path;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_peers::membership::{Membership, Settings};
use martenlatch_peers::partner_knowledge::{Bounds, PartnerKnowledge};
use martenlatch_peers::wire::Secret;
use martenlatch_policy::Policy;
use martenlatch_settings::program;
use tracing::info;

use crate::event_source::{EventLoopHandle, EventSource};
pub use error::PeerServiceError;
use gossip::{EndpointNames, OwnObservations};
use page_server::PageServer;
use rejections::Rejections;
use seed_queries::{Learning, SeedQueries};
pub use shared_secret::read_shared_secret;
use snapshot_writer::SnapshotWriter;
use sockets::Sockets;

/// Number of buffers for all connections: each connection uses up to one for input and one for output.
const BUFFER_COUNT: usize = 2 * (page_server::MAX_CONNECTIONS + seed_queries::MAX_QUERIES);
/// How long to wait for the ack of a ping, in protocol periods.
const ACK_TIMEOUT_PERIODS: f64 = 0.3;
/// The number of half-lives after which the knowledge from the start is dropped, because its weight is negligible.
const KNOWLEDGE_HALF_LIVES: f64 = 4.0;

/// The membership of this sender in its group, and the exchange of knowledge with its peers.
pub struct PeerService {
    settings: program::PeerSettings,
    secret: Secret,
    sockets: Sockets,
    membership: Membership,
    /// Knowledge from peers, or from the snapshot of an earlier process, that was not yet passed to the decision
    /// module.
    knowledge: PartnerKnowledge,
    bounds: Bounds,
    /// For each kind of destination, whether limits apply to each endpoint separately.
    limits_per_endpoint: Vec<bool>,
    seed_queries: SeedQueries,
    page_server: PageServer,
    snapshot_writer: SnapshotWriter,
    started_at: Millis,
    rejections: Rejections,
}

impl PeerService {
    /// Binds the sockets, reads the snapshot of an earlier process from `folder`, joins the group, and queries the
    /// seeds. `limits_per_endpoint` states for each kind of destination whether limits apply to each endpoint
    /// separately.
    ///
    /// # Errors
    /// If the shared secret cannot be read or is too short, or if the address to listen on cannot be bound.
    pub fn open(
        settings: &program::PeerSettings,
        name: &str,
        folder: &Path,
        limits_per_endpoint: Vec<bool>,
        rng_seed: u64,
        handle: &EventLoopHandle,
        now: Millis,
    ) -> Result<PeerService, PeerServiceError> {
        let secret = read_shared_secret(&settings.secret_file)?;
        let sockets = Sockets::bind(settings.listen, handle)?;
        let bounds = Bounds {
            half_life: settings.half_life_ms,
            max_retry_after: settings.longest_wait_ms,
            ..Bounds::default()
        };
        let (mut snapshot_writer, snapshot) = SnapshotWriter::open(folder, settings.keep, now);
        let knowledge = snapshot_writer.restore(&snapshot, now, &bounds);
        let incarnation = snapshot_writer.begin_incarnation(snapshot, now);
        let membership = join_group(settings, name, incarnation, rng_seed, now);
        let local = membership.local();
        info!(
            name = %local.name, address = %settings.listen, incarnation = local.incarnation,
            restored = knowledge.len(), seeds = settings.seeds.len(), "peers started"
        );
        let pool = BufferPool::new(BUFFER_COUNT);
        let mut service = PeerService {
            seed_queries: SeedQueries::new(settings, local.name.clone(), rng_seed, handle, &pool),
            page_server: PageServer::new(handle, &pool),
            settings: settings.clone(),
            secret,
            sockets,
            membership,
            knowledge,
            bounds,
            limits_per_endpoint,
            snapshot_writer,
            started_at: now,
            rejections: Rejections::default(),
        };
        service.seed_queries.start(&service.secret);
        service.send_datagrams();
        Ok(service)
    }

    /// Whether a query to a seed is running and the time for learning has not passed. This is false as soon as the last
    /// query has ended, for example because no seed could be reached.
    pub fn is_learning(&self, now: Millis) -> bool {
        now < self.started_at + self.settings.learn_ms && self.seed_queries.is_running()
    }

    /// Ends the queries to the seeds, and logs how much was learned.
    pub fn finish_learning(&mut self, now: Millis) {
        self.seed_queries.abort();
        let took_ms = (now - self.started_at) as u64;
        info!(
            partners = self.knowledge.len(),
            digests = self.seed_queries.digests_received(),
            took_ms,
            "learned from peers"
        );
    }

    /// The time by which [`PeerService::run_due`] must be called next.
    pub fn next_deadline(&self) -> Millis {
        if self.page_server.can_send() || self.snapshot_writer.is_gathering() {
            return 0.0;
        }
        self.page_server
            .timeouts()
            .chain([self.membership.next_deadline()])
            .fold(f64::INFINITY, f64::min)
    }

    /// Reads from a socket that is ready. Returns true if there may be more to read.
    pub fn on_ready(&mut self, source: EventSource, now: Millis) -> bool {
        match source {
            EventSource::PeerDatagrams => self.receive_datagrams(now),
            EventSource::PeerListener => {
                self.page_server
                    .accept(&self.sockets.listener, now, &mut self.rejections)
            }
            EventSource::PeerConnection(index) => {
                self.page_server
                    .receive(index, &self.secret, &mut self.rejections)
            }
            EventSource::SeedQuery(index) => {
                let learning = Learning {
                    knowledge: &mut self.knowledge,
                    bounds: &self.bounds,
                    now,
                };
                self.seed_queries.receive(index, &self.secret, learning)
            }
            _ => false,
        }
    }

    /// Runs what is due: the membership protocol, the next page of each response, and the snapshot. `observed` is
    /// `None` while this sender still queries its own seeds: it has no observations yet, and its responses are empty.
    pub fn run_due(&mut self, now: Millis, observed: Option<(&Policy, EndpointNames)>) {
        let observed = observed.map(|(policy, endpoint_names)| OwnObservations {
            policy,
            endpoint_names,
        });
        if now >= self.membership.next_deadline() {
            self.membership.tick(now);
        }
        self.send_datagrams();
        self.page_server
            .run_due(&self.secret, &self.membership, observed, now);
        if let Some(observed) = observed {
            let incarnation = self.membership.local().incarnation;
            self.snapshot_writer.run_due(observed, incarnation, now);
        }
        let expires_at = self.started_at + KNOWLEDGE_HALF_LIVES * self.bounds.half_life;
        if now > expires_at {
            self.knowledge = PartnerKnowledge::default();
        }
    }

    /// Prepares for the end of this process: leaves the group, and lets the next [`PeerService::run_due`] begin to save
    /// a snapshot.
    pub fn leave(&mut self) {
        self.snapshot_writer.save_soon();
        self.membership.leave();
        self.send_datagrams();
    }

    /// Logs the counters.
    pub fn log_counters(&self) {
        info!(
            members = self.membership.live_count() + 1,
            digests_sent = self.page_server.digests_sent(),
            digests_received = self.seed_queries.digests_received(),
            not_authenticated = self.rejections.unauthenticated,
            other_version = self.rejections.other_version,
            malformed = self.rejections.malformed,
            connections_rejected = self.rejections.connections,
            updates_rejected = self.membership.rejected_updates,
            "counters of peers"
        );
    }
}

fn join_group(
    settings: &program::PeerSettings,
    name: &str,
    incarnation: u64,
    rng_seed: u64,
    now: Millis,
) -> Membership {
    let membership_settings = Settings {
        period: settings.period_ms,
        ack_timeout: settings.period_ms * ACK_TIMEOUT_PERIODS,
        suspicion_periods: settings.suspect_periods,
        ..Settings::default()
    };
    let mut membership = Membership::new(
        name,
        settings.listen,
        incarnation,
        &settings.seeds,
        membership_settings,
        rng_seed,
        now,
    );
    membership.join();
    membership
}
