//! Serves queries over TCP connections: starting senders request this sender's own observations, and operators request
//! the members of the group.

use std::io::ErrorKind;
use std::net::TcpListener;

use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_peers::membership::Membership;
use martenlatch_peers::wire::{FrameError, MAX_MEMBERS_PER_PAGE, Page, Secret};
use slab::Slab;

use super::gossip::{ObservationCursor, OwnObservations};
use super::rejections::Rejections;
use crate::event_source::{Connection, EventLoopHandle, EventSource};

/// Maximum number of connections that are served at a time, and of those accepted in one round.
pub(super) const MAX_CONNECTIONS: usize = 4;
/// A connection is closed if its request has not arrived within this time after it was accepted.
const REQUEST_TIMEOUT: Millis = 1_000.0;
/// A connection is closed if its whole response has not been sent within this time after it was accepted.
const RESPONSE_TIMEOUT: Millis = 10_000.0;

/// A connection, which carries one request and its response.
struct ServedConnection {
    connection: Connection,
    accepted_at: Millis,
    /// The response; `None` until the request was read.
    response: Option<Response>,
    /// Whether the request was rejected.
    rejected: bool,
}

/// A response that is sent page by page.
struct Response {
    request_id: u64,
    content: ResponseContent,
    /// The index of the next page.
    next_index: u32,
    /// Whether the last page has been queued.
    complete: bool,
}

/// The content that was requested.
#[derive(Clone, Copy)]
enum ResponseContent {
    /// This sender's own observations. The next page begins after the cursor.
    Digests(Option<ObservationCursor>),
    /// The members of the group.
    Members,
}

impl Response {
    fn new(request_id: u64, content: ResponseContent) -> Response {
        Response {
            request_id,
            content,
            next_index: 0,
            complete: false,
        }
    }

    /// Takes the next page. The last one is [`Page::End`].
    fn next_page(
        &mut self,
        membership: &Membership,
        observed: Option<OwnObservations>,
        now: Millis,
    ) -> Page {
        let page = match self.content {
            ResponseContent::Digests(after) => self.digests_page(after, observed, now),
            ResponseContent::Members => self.members_page(membership),
        };
        let page = page.unwrap_or_else(|| {
            self.complete = true;
            Page::End {
                request_id: self.request_id,
                page_count: self.next_index,
            }
        });
        self.next_index += 1;
        page
    }

    fn digests_page(
        &mut self,
        after: Option<ObservationCursor>,
        observed: Option<OwnObservations>,
        now: Millis,
    ) -> Option<Page> {
        let has_more = self.next_index == 0 || after.is_some();
        let observed = observed.filter(|_| has_more)?;
        let page = observed.digests(after, now);
        self.content = ResponseContent::Digests(page.next);
        Some(Page::Digests {
            request_id: self.request_id,
            index: self.next_index,
            digests: page.digests,
        })
    }

    fn members_page(&self, membership: &Membership) -> Option<Page> {
        let all_members = std::iter::once(membership.local()).chain(membership.others());
        let sent = self.next_index as usize * MAX_MEMBERS_PER_PAGE;
        let page = all_members.skip(sent).take(MAX_MEMBERS_PER_PAGE);
        let members: Vec<_> = page.cloned().collect();
        (!members.is_empty()).then_some(Page::Members {
            request_id: self.request_id,
            index: self.next_index,
            members,
        })
    }
}

impl ServedConnection {
    /// The time at which the connection times out.
    fn times_out_at(&self) -> Millis {
        let timeout = if self.response.is_some() {
            RESPONSE_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        self.accepted_at + timeout
    }

    fn is_finished(&self, now: Millis) -> bool {
        let complete = self.response.as_ref().is_some_and(|r| r.complete);
        now > self.times_out_at()
            || self.rejected
            || self.connection.broken
            || (complete && self.connection.is_flushed())
    }

    /// The response, if its next page can be queued because all earlier pages have been written.
    fn sendable_response(&mut self) -> Option<&mut Response> {
        let flushed = self.connection.is_flushed();
        self.response.as_mut().filter(|r| flushed && !r.complete)
    }

    fn can_send(&self) -> bool {
        let response = self.response.as_ref();
        self.connection.is_flushed() && response.is_some_and(|r| !r.complete)
    }

    /// Reads the request from the received bytes. Returns `None` if more bytes are needed.
    fn read_request(&self, secret: &Secret) -> Result<Option<Response>, FrameError> {
        match secret.open_page(self.connection.bytes()) {
            Ok((Page::DigestsRequest { request_id, .. }, _)) => Ok(Some(Response::new(
                request_id,
                ResponseContent::Digests(None),
            ))),
            Ok((Page::MembersRequest { request_id }, _)) => {
                Ok(Some(Response::new(request_id, ResponseContent::Members)))
            }
            Ok(_) => Err(FrameError::UnexpectedKind),
            Err(FrameError::Incomplete) if !self.connection.eof => Ok(None),
            Err(error) => Err(error),
        }
    }
}

/// The connections that are served.
pub(super) struct PageServer {
    connections: Slab<ServedConnection>,
    handle: EventLoopHandle,
    pool: BufferPool,
    digests_sent: u64,
}

impl PageServer {
    pub(super) fn new(handle: &EventLoopHandle, pool: &BufferPool) -> PageServer {
        PageServer {
            connections: Slab::new(),
            handle: handle.clone(),
            pool: pool.clone(),
            digests_sent: 0,
        }
    }

    /// The number of digests sent so far.
    pub(super) fn digests_sent(&self) -> u64 {
        self.digests_sent
    }

    /// Whether any connection can send a page now.
    pub(super) fn can_send(&self) -> bool {
        self.connections.iter().any(|(_, served)| served.can_send())
    }

    /// The times at which the connections time out.
    pub(super) fn timeouts(&self) -> impl Iterator<Item = Millis> {
        self.connections
            .iter()
            .map(|(_, served)| served.times_out_at())
    }

    /// Accepts connections. Returns true if there may be more.
    pub(super) fn accept(
        &mut self,
        listener: &TcpListener,
        now: Millis,
        rejections: &mut Rejections,
    ) -> bool {
        for _ in 0..MAX_CONNECTIONS {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => continue,
            };
            let entry = self.connections.vacant_entry();
            if entry.key() >= MAX_CONNECTIONS {
                rejections.connections += 1;
                continue;
            }
            let source = EventSource::PeerConnection(entry.key());
            if let Ok(connection) = Connection::new(stream, &self.handle, &self.pool, source) {
                entry.insert(ServedConnection {
                    connection,
                    accepted_at: now,
                    response: None,
                    rejected: false,
                });
            }
        }
        true
    }

    /// Reads from a connection. Returns true if there may be more to read.
    pub(super) fn receive(
        &mut self,
        index: usize,
        secret: &Secret,
        rejections: &mut Rejections,
    ) -> bool {
        let Some(served) = self.connections.get_mut(index) else {
            return false;
        };
        let may_have_more = served.connection.receive();
        if served.response.is_none() && !served.rejected {
            match served.read_request(secret) {
                Ok(Some(response)) => served.response = Some(response),
                Ok(None) => return may_have_more,
                Err(error) => {
                    rejections.count(error);
                    served.rejected = true;
                    return false;
                }
            }
        }
        // A connection carries one request. Bytes that follow it are ignored.
        let received_length = served.connection.bytes().len();
        served.connection.consume(received_length);
        served.connection.flush();
        may_have_more && !served.connection.broken
    }

    /// Closes finished connections, and sends the next page on each of the others.
    pub(super) fn run_due(
        &mut self,
        secret: &Secret,
        membership: &Membership,
        observed: Option<OwnObservations>,
        now: Millis,
    ) {
        for index in 0..MAX_CONNECTIONS {
            let Some(served) = self.connections.get_mut(index) else {
                continue;
            };
            served.connection.flush();
            if served.is_finished(now) {
                self.connections.remove(index);
                continue;
            }
            let Some(response) = served.sendable_response() else {
                continue;
            };
            let page = response.next_page(membership, observed, now);
            if let Page::Digests { digests, .. } = &page {
                self.digests_sent += digests.len() as u64;
            }
            served.connection.queue(&secret.seal_page(&page));
            served.connection.flush();
        }
    }
}
