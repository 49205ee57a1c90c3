//! Queries to the seeds of a starting sender for their observations of partners. A few queries run at a time, and one
//! that fails is followed by a query to the next seed.

use std::collections::VecDeque;
use std::net::SocketAddr;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge};
use martenlatch_peers::wire::{FrameError, Page, PageAssembler, Secret};
use martenlatch_settings::program;
use tracing::{info, warn};

use crate::event_source::{Connection, EventLoopHandle, EventSource};

/// Maximum number of queries that run at a time.
pub(super) const MAX_QUERIES: usize = 3;

/// A running query.
struct Query {
    connection: Connection,
    pages: PageAssembler,
    seed: SocketAddr,
}

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
enum QueryError {
    #[error("the pages of the response are out of order")]
    OutOfOrder,
    #[error("the connection failed or was closed")]
    Closed,
    #[error("the response is not authenticated with the shared secret")]
    Unauthenticated,
    #[error("the response is malformed")]
    Malformed,
}

/// Whether the response to a query is complete.
#[derive(PartialEq, Eq)]
enum QueryProgress {
    Incomplete,
    Complete,
}

/// The store for the digests of a response, with the bounds and the time at which they are added.
pub(super) struct Learning<'a> {
    pub(super) knowledge: &'a mut PartnerKnowledge,
    pub(super) bounds: &'a Bounds,
    pub(super) now: Millis,
}

impl Learning<'_> {
    /// Adds the digests of one page. Returns the number of digests that were accepted.
    fn add_digests(&mut self, reporter: &str, digests: &[Digest]) -> u64 {
        let mut accepted = 0;
        for digest in digests {
            let is_accepted = self
                .knowledge
                .add_digest(reporter, digest, self.now, self.bounds);
            accepted += u64::from(is_accepted);
        }
        accepted
    }
}

/// The running queries, and the seeds that were not queried yet.
pub(super) struct SeedQueries {
    running: [Option<Query>; MAX_QUERIES],
    unqueried: VecDeque<SocketAddr>,
    local_name: String,
    handle: EventLoopHandle,
    pool: BufferPool,
    last_request_id: u64,
    digests_received: u64,
}

impl SeedQueries {
    /// Prepares the queries without starting any. `rng_seed` selects the first seed, so that starting senders do not
    /// all query the same one.
    pub(super) fn new(
        settings: &program::PeerSettings,
        local_name: String,
        rng_seed: u64,
        handle: &EventLoopHandle,
        pool: &BufferPool,
    ) -> SeedQueries {
        let seeds = settings.seeds.iter().copied();
        let mut unqueried: VecDeque<SocketAddr> =
            seeds.filter(|seed| *seed != settings.listen).collect();
        let first = (rng_seed as usize)
            .checked_rem(unqueried.len())
            .unwrap_or(0);
        unqueried.rotate_left(first);
        SeedQueries {
            running: [const { None }; MAX_QUERIES],
            unqueried,
            local_name,
            handle: handle.clone(),
            pool: pool.clone(),
            last_request_id: rng_seed | 1,
            digests_received: 0,
        }
    }

    /// Starts the first queries.
    pub(super) fn start(&mut self, secret: &Secret) {
        for slot in 0..MAX_QUERIES {
            self.start_next(slot, secret);
        }
    }

    /// Whether any query is running.
    pub(super) fn is_running(&self) -> bool {
        self.running.iter().any(Option::is_some)
    }

    /// The number of digests that were received and accepted.
    pub(super) fn digests_received(&self) -> u64 {
        self.digests_received
    }

    /// Ends all queries that are not complete.
    pub(super) fn abort(&mut self) {
        for query in self.running.iter_mut().filter_map(Option::take) {
            warn!(seed = %query.seed, reason = "the response was not complete in time", "seed query failed");
        }
    }

    /// Starts a query to the next seed to which a connection can be opened, if there is one.
    fn start_next(&mut self, slot: usize, secret: &Secret) {
        while let Some(seed) = self.unqueried.pop_front() {
            self.last_request_id = self.last_request_id.wrapping_add(1);
            let source = EventSource::SeedQuery(slot);
            let connection = Connection::connect(seed, &self.handle, &self.pool, source);
            let Ok(mut connection) = connection else {
                continue;
            };
            let request = Page::DigestsRequest {
                request_id: self.last_request_id,
                requester: self.local_name.clone(),
            };
            connection.queue(&secret.seal_page(&request));
            connection.flush();
            self.running[slot] = Some(Query {
                connection,
                pages: PageAssembler::new(self.last_request_id),
                seed,
            });
            return;
        }
    }

    /// Reads from the connection of a query. Returns true if there may be more to read.
    pub(super) fn receive(&mut self, slot: usize, secret: &Secret, mut learning: Learning) -> bool {
        let Some(mut query) = self.running.get_mut(slot).and_then(Option::take) else {
            return false;
        };
        query.connection.flush();
        let may_have_more = query.connection.receive();
        match self.read_pages(&mut query, slot, secret, &mut learning) {
            Ok(QueryProgress::Complete) => false,
            Ok(QueryProgress::Incomplete) => {
                self.running[slot] = Some(query);
                may_have_more
            }
            // The digests that were already received are kept, because each is complete by itself.
            Err(error) => {
                let reason = error.to_string();
                let digests = self.digests_received;
                info!(seed = %query.seed, reason, digests, "seed query failed");
                self.start_next(slot, secret);
                false
            }
        }
    }

    fn read_pages(
        &mut self,
        query: &mut Query,
        slot: usize,
        secret: &Secret,
        learning: &mut Learning,
    ) -> Result<QueryProgress, QueryError> {
        while let Some(page) = next_page(&mut query.connection, secret)? {
            let digests = query.pages.accept(page).ok_or(QueryError::OutOfOrder)?;
            self.digests_received += learning.add_digests(&reporter_name(slot), &digests);
            if query.pages.is_complete() {
                return Ok(QueryProgress::Complete);
            }
        }
        Ok(QueryProgress::Incomplete)
    }
}

/// The name under which the digests of a query's seed are stored. A response does not contain the seed's own name.
fn reporter_name(slot: usize) -> String {
    format!("asked {slot}")
}

/// Takes the next page from the input of a connection. Returns `None` if more bytes are needed.
fn next_page(connection: &mut Connection, secret: &Secret) -> Result<Option<Page>, QueryError> {
    match secret.open_page(connection.bytes()) {
        Ok((page, length)) => {
            connection.consume(length);
            Ok(Some(page))
        }
        Err(FrameError::Incomplete) if connection.eof || connection.broken => {
            Err(QueryError::Closed)
        }
        Err(FrameError::Incomplete) => Ok(None),
        Err(FrameError::NotAuthenticated) => Err(QueryError::Unauthenticated),
        Err(_) => Err(QueryError::Malformed),
    }
}
