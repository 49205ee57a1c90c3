//! Owns the sockets by which senders speak with one another: datagrams for membership, connections for what is known.
//! Off unless the settings name a listener. It must never decide anything (who is a member is `martenlatch-peers`', what
//! knowledge is worth is the module's), take a byte that is not keyed, or keep deliveries waiting past the time that
//! the settings give a newcomer to learn.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;

use martenlatch_clock::{Millis, nanos};
use martenlatch_http::buffer_pool::BufferPool;
use martenlatch_http::register;
use martenlatch_peers::membership::{Membership, MembershipChange, Settings};
use martenlatch_peers::partner_knowledge::{Bounds, Digest, PartnerKnowledge, Subject};
use martenlatch_peers::wire::{
    Fault, MAX_DATAGRAM_BYTES, MAX_DIGESTS_PER_PAGE, MAX_MEMBERS_PER_PAGE, Page, PageAssembler,
    Secret,
};
use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, Event, KindId,
};
use martenlatch_settings::program;
use slab::Slab;
use tracing::{info, warn};

use crate::event_source::{Connection, EventSource, Handle};
use crate::peer_snapshot::PeerSnapshotFile;

/// Datagrams read and connections taken in one round, at most: a flood costs a round no more than that.
const READ: usize = 64;
/// Connections of others at a time, and of ours to others.
const TALKS: usize = 4;
const ASKS: usize = 3;
/// A connection that has not asked by then is closed, and one that has not taken its answer.
const PATIENCE: (Millis, Millis) = (1_000.0, 10_000.0);
/// Buffers for all of it.
const BUFFERS: usize = 2 * (TALKS + ASKS);
/// What was heard at the start is dropped after so many half-lives: it weighs nothing any more.
const FORGET: f64 = 4.0;
/// How often what is known is kept in the folder that lasts.
const KEEP_EVERY: Millis = 10_000.0;

/// Gives a region the name by which discovery lists it.
type Names<'a> = &'a dyn Fn(EndpointId) -> Option<String>;

type RouteName = (DestinationId, Option<EndpointId>);

/// Another that was asked for what it knows.
struct Ask {
    connection: Connection,
    asking: PageAssembler,
    teller: SocketAddr,
}

/// Another that asks.
struct Talk {
    connection: Connection,
    since: Millis,
    digest: Option<Tale>,
    done: bool,
}

impl Talk {
    /// When it is given up: one that takes its answer slowly must not wake the loop before that either.
    fn late_at(&self) -> Millis {
        self.since
            + if self.digest.is_some() {
                PATIENCE.1
            } else {
                PATIENCE.0
            }
    }
}

/// How far a telling has come.
struct Tale {
    no: u64,
    page: u32,
    after: Option<RouteName>,
    /// Members are told, not partners.
    who: bool,
    over: bool,
}

/// Datagrams and connections that were turned away, by what was wrong with them.
#[derive(Default)]
struct TurnedAway {
    key: u64,
    version: u64,
    form: u64,
    talks: u64,
}

impl TurnedAway {
    fn count(&mut self, fault: Fault) {
        match fault {
            Fault::Key => self.key += 1,
            Fault::Version => self.version += 1,
            _ => self.form += 1,
        }
    }
}

/// The other senders, as this one meets them.
pub struct Peers {
    set: program::Peers,
    secret: Secret,
    handle: Handle,
    pool: BufferPool,
    socket: Rc<UdpSocket>,
    listener: Rc<TcpListener>,
    members: Membership,
    known: PartnerKnowledge,
    bounds: Bounds,
    /// Which kinds have endpoints that are routes of their own.
    apart: Vec<bool>,
    asks: Vec<Option<Ask>>,
    /// Seeds not asked yet.
    waiting: VecDeque<SocketAddr>,
    talks: Slab<Talk>,
    started: Millis,
    kept: PeerSnapshotFile,
    /// What is being gathered for the folder: how far it is, and what it is so far.
    gathering: Option<(Option<RouteName>, Vec<Digest>)>,
    next_keep: Millis,
    turned_away: TurnedAway,
    told: u64,
    learned: u64,
    next_no: u64,
}

/// Reads the secret that all members share. What stands at its ends (a line's end) does not count.
///
/// # Errors
/// One line that names the file.
pub fn secret(file: &Path) -> Result<Secret, String> {
    let bytes =
        std::fs::read(file).map_err(|e| format!("peers.secret_file: {}: {e}", file.display()))?;
    let bytes = bytes.trim_ascii();
    if bytes.len() < 16 {
        return Err(format!(
            "peers.secret_file: {}: at least 16 bytes are wanted",
            file.display()
        ));
    }
    Ok(Secret::new(bytes))
}

impl Peers {
    /// Listens, takes up what the folder holds of an earlier life, and asks the seeds. `apart` says of each kind whether
    /// its endpoints are routes of their own.
    ///
    /// # Errors
    /// One line on what cannot be bound, read or written.
    pub fn open(
        set: &program::Peers,
        name: &str,
        folder: &Path,
        apart: Vec<bool>,
        seed: u64,
        handle: &Handle,
        now: Millis,
    ) -> Result<Peers, String> {
        let secret = secret(&set.secret_file)?;
        let failed = |e: std::io::Error| format!("peers.listen: cannot bind {}: {e}", set.listen);
        let socket = UdpSocket::bind(set.listen).map_err(failed)?;
        let (address, listener) = (set.listen, TcpListener::bind(set.listen).map_err(failed)?);
        socket.set_nonblocking(true).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let (socket, listener) = (Rc::new(socket), Rc::new(listener));
        register(handle, socket.clone(), EventSource::Datagrams).map_err(failed)?;
        register(handle, listener.clone(), EventSource::Tellers).map_err(failed)?;
        let bounds = Bounds {
            half_life: set.half_life_ms,
            max_wait: set.longest_wait_ms,
            ..Bounds::default()
        };
        let (mut kept, past) = PeerSnapshotFile::open(folder, now);
        let mut known = PartnerKnowledge::default();
        if set.keep {
            for digest in &past.digests {
                known.hear("before", digest, now, &bounds);
            }
            // What was told to an earlier life binds this one no more.
            known.forget_waits();
        }
        // The incarnation is down before it is told to anyone. On a full disk it is not, and others have it raised.
        if let Err(reason) = kept.write(past.incarnation + 1, now, past.digests) {
            warn!(reason, "knowledge not kept");
        }
        let protocol = Settings {
            period: set.period_ms,
            ack_timeout: set.period_ms * 0.3,
            suspicion_periods: set.suspect_periods,
            ..Settings::default()
        };
        let mut members = Membership::new(
            name,
            address,
            past.incarnation + 1,
            &set.seeds,
            protocol,
            seed,
            now,
        );
        members.join();
        info!(
            name = %members.local().name, address = %address, incarnation = members.local().incarnation,
            kept = known.len(), seeds = set.seeds.len(), "peers started"
        );
        // Each newcomer begins at another seed, so that they do not all ask the same.
        let mut seeds: Vec<SocketAddr> = set
            .seeds
            .iter()
            .copied()
            .filter(|s| *s != address)
            .collect();
        let first = (seed as usize).checked_rem(seeds.len()).unwrap_or(0);
        seeds.rotate_left(first);
        let mut peers = Peers {
            secret,
            handle: handle.clone(),
            pool: BufferPool::new(BUFFERS),
            socket,
            listener,
            members,
            known,
            bounds,
            apart,
            asks: (0..ASKS).map(|_| None).collect(),
            waiting: seeds.into(),
            talks: Slab::new(),
            started: now,
            kept,
            gathering: None,
            next_keep: now + KEEP_EVERY,
            turned_away: TurnedAway::default(),
            told: 0,
            learned: 0,
            next_no: seed | 1,
            set: set.clone(),
        };
        (0..ASKS).for_each(|at| peers.ask_next(at));
        peers.flush();
        Ok(peers)
    }

    /// Asks the next seed in a place that is free, if there is one that was not asked.
    fn ask_next(&mut self, at: usize) {
        while let Some(teller) = self.waiting.pop_front() {
            self.next_no = self.next_no.wrapping_add(1);
            let (no, name) = (self.next_no, self.members.local().name.clone());
            let Ok(mut connection) =
                Connection::connect(teller, &self.handle, &self.pool, EventSource::Ask(at))
            else {
                continue;
            };
            connection.queue(&self.secret.seal_page(&Page::Ask { no, name }));
            connection.flush();
            self.asks[at] = Some(Ask {
                connection,
                asking: PageAssembler::new(no),
                teller,
            });
            return;
        }
    }

    /// Whether there is somebody yet who may tell something, and time for it. With nobody there it is over at once.
    pub fn learning(&self, now: Millis) -> bool {
        now < self.started + self.set.learn_ms && self.asks.iter().any(Option::is_some)
    }

    /// Says what was learned; what comes later does not count.
    pub fn learned(&mut self, now: Millis) {
        for ask in self.asks.iter_mut().filter_map(Option::take) {
            warn!(teller = %ask.teller, reason = "not whole in time", "snapshot cut");
        }
        let took_ms = (now - self.started) as u64;
        info!(
            partners = self.known.len(),
            digests = self.learned,
            took_ms,
            "learned from peers"
        );
    }

    /// When [`Peers::run_due`] has something to do.
    pub fn next_deadline(&self) -> Millis {
        let digest = self
            .talks
            .iter()
            .any(|(_, t)| t.connection.is_flushed() && t.digest.as_ref().is_some_and(|t| !t.over));
        if digest || self.gathering.is_some() {
            return 0.0;
        }
        let slow = self.talks.iter().map(|(_, t)| t.late_at());
        slow.chain([self.members.next_deadline()])
            .fold(f64::INFINITY, f64::min)
    }

    /// Reads what a socket has brought. True where there may be more.
    pub fn ready(&mut self, key: EventSource, now: Millis) -> bool {
        match key {
            EventSource::Datagrams => self.datagrams(now),
            EventSource::Tellers => self.accept(now),
            EventSource::Talk(at) => self.talk(at),
            EventSource::Ask(at) => self.answer(at, now),
            _ => false,
        }
    }

    fn datagrams(&mut self, now: Millis) -> bool {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..READ {
            match self.socket.recv_from(&mut bytes) {
                Ok((count, _)) => match self.secret.open_datagram(&bytes[..count]) {
                    Ok(datagram) => self.members.handle_datagram(datagram, now),
                    Err(fault) => self.turned_away.count(fault),
                },
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                // An answer that one of ours has met nobody; there may be datagrams behind it.
                Err(_) => {}
            }
        }
        true
    }

    fn accept(&mut self, now: Millis) -> bool {
        for _ in 0..TALKS {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => continue,
            };
            let entry = self.talks.vacant_entry();
            let key = EventSource::Talk(entry.key());
            if entry.key() >= TALKS {
                self.turned_away.talks += 1;
                continue;
            }
            if let Ok(connection) = Connection::new(stream, &self.handle, &self.pool, key) {
                entry.insert(Talk {
                    connection,
                    since: now,
                    digest: None,
                    done: false,
                });
            }
        }
        true
    }

    fn talk(&mut self, at: usize) -> bool {
        let Some(talk) = self.talks.get_mut(at) else {
            return false;
        };
        let more = talk.connection.receive();
        if talk.digest.is_none() && !talk.done {
            let (no, who) = match self.secret.open_page(talk.connection.bytes()) {
                Ok((Page::Ask { no, .. }, _)) => (no, false),
                Ok((Page::Who { no }, _)) => (no, true),
                Err(Fault::Short) if !talk.connection.eof => return more,
                Ok(_) => {
                    self.turned_away.count(Fault::Kind);
                    talk.done = true;
                    return false;
                }
                Err(fault) => {
                    self.turned_away.count(fault);
                    talk.done = true;
                    return false;
                }
            };
            talk.digest = Some(Tale {
                no,
                page: 0,
                after: None,
                who,
                over: false,
            });
        }
        // Whatever else it says is not listened to.
        let said = talk.connection.bytes().len();
        talk.connection.consume(said);
        talk.connection.flush();
        more && !talk.connection.broken
    }

    /// Takes what one that was asked has told.
    fn answer(&mut self, at: usize, now: Millis) -> bool {
        let Some(mut ask) = self.asks.get_mut(at).and_then(Option::take) else {
            return false;
        };
        ask.connection.flush();
        let more = ask.connection.receive();
        let fault = loop {
            match self.secret.open_page(ask.connection.bytes()) {
                Ok((page, used)) => {
                    ask.connection.consume(used);
                    let Some(digests) = ask.asking.accept(page) else {
                        break Some("out of order");
                    };
                    let teller = format!("asked {at}");
                    for digest in &digests {
                        self.learned +=
                            u64::from(self.known.hear(&teller, digest, now, &self.bounds));
                    }
                    if ask.asking.is_complete() {
                        return false;
                    }
                }
                Err(Fault::Short) if ask.connection.eof || ask.connection.broken => {
                    break Some("not reached, or closed");
                }
                Err(Fault::Short) => break None,
                Err(Fault::Key) => break Some("not keyed by our secret"),
                Err(_) => break Some("malformed"),
            }
        };
        match fault {
            // What came before stands: each telling is whole by itself.
            Some(reason) => {
                info!(teller = %ask.teller, reason, learned = self.learned, "snapshot cut");
                self.ask_next(at);
                false
            }
            None => {
                self.asks[at] = Some(ask);
                more
            }
        }
    }

    /// Does what is due: pings, the next page of each telling, and what is kept. There is no policy yet while this
    /// sender itself learns: it has seen nothing, and says so.
    pub fn run_due(&mut self, now: Millis, seen: Option<(&Policy, Names)>) {
        if now >= self.members.next_deadline() {
            self.members.tick(now);
        }
        self.flush();
        for at in 0..TALKS {
            let Some(talk) = self.talks.get_mut(at) else {
                continue;
            };
            talk.connection.flush();
            let late = now > talk.late_at();
            let over = talk.digest.as_ref().is_some_and(|t| t.over);
            if late || talk.done || talk.connection.broken || (over && talk.connection.is_flushed())
            {
                self.talks.remove(at);
                continue;
            }
            let Some(tale) = talk
                .digest
                .as_mut()
                .filter(|t| !t.over && talk.connection.is_flushed())
            else {
                continue;
            };
            let (no, page) = (tale.no, tale.page);
            let told = if tale.who {
                let from = page as usize * MAX_MEMBERS_PER_PAGE;
                let me = std::iter::once(self.members.local());
                let rumours: Vec<_> = me
                    .chain(self.members.others())
                    .skip(from)
                    .take(MAX_MEMBERS_PER_PAGE)
                    .cloned()
                    .collect();
                (!rumours.is_empty()).then_some(Page::Membership { no, page, rumours })
            } else {
                let first = page == 0 || tale.after.is_some();
                seen.filter(|_| first).map(|(policy, name)| {
                    let (observations, after) =
                        policy.observations(nanos(now), tale.after, MAX_DIGESTS_PER_PAGE);
                    tale.after = after;
                    let digests: Vec<Digest> = observations
                        .iter()
                        .map(|s| Digest::of(s, s.endpoint.and_then(name)))
                        .collect();
                    self.told += digests.len() as u64;
                    Page::Digests { no, page, digests }
                })
            };
            let told = told.unwrap_or_else(|| {
                tale.over = true;
                Page::End { no, pages: page }
            });
            tale.page += 1;
            talk.connection.queue(&self.secret.seal_page(&told));
            talk.connection.flush();
        }
        if let Some((policy, name)) = seen {
            self.keep(now, policy, name);
        }
        if !self.known.is_empty() && now > self.started + FORGET * self.bounds.half_life {
            self.known = PartnerKnowledge::default();
        }
    }

    /// Gathers what is to be kept a page a round, and writes it once it is whole.
    fn keep(&mut self, now: Millis, policy: &Policy, name: Names) {
        if !self.set.keep || (self.gathering.is_none() && now < self.next_keep) {
            return;
        }
        let (after, mut digests) = self.gathering.take().unwrap_or_default();
        let (observations, next) = policy.observations(nanos(now), after, MAX_DIGESTS_PER_PAGE);
        digests.extend(
            observations
                .iter()
                .map(|s| Digest::of(s, s.endpoint.and_then(name))),
        );
        if next.is_some() && digests.len() < PeerSnapshotFile::MOST {
            self.gathering = Some((next, digests));
            return;
        }
        self.next_keep = now + KEEP_EVERY;
        if let Err(reason) = self
            .kept
            .write(self.members.local().incarnation, now, digests)
        {
            warn!(reason, "knowledge not kept");
        }
    }

    /// Sends what the membership has to say, and logs what has changed in it.
    fn flush(&mut self) {
        for (to, datagram) in self.members.take_outgoing() {
            // One that is lost is one lost: the protocol reckons with it.
            let _ = self
                .socket
                .send_to(&self.secret.seal_datagram(&datagram), to);
        }
        for change in self.members.take_changes() {
            match change {
                MembershipChange::Joined(who) => {
                    info!(name = %who.name, address = %who.address, incarnation = who.incarnation, "member joined");
                }
                MembershipChange::Suspected(name) => info!(name = %name, "member suspected"),
                MembershipChange::Refuted(name) => {
                    info!(name = %name, "member refuted the suspicion")
                }
                MembershipChange::Died(name) => warn!(name = %name, "member died"),
                MembershipChange::Left(name) => info!(name = %name, "member left"),
                MembershipChange::Forgotten(name) => info!(name = %name, "member forgotten"),
                MembershipChange::NameConflict(address) => {
                    warn!(name = %self.members.local().name, address = %address, "another goes by our name");
                }
            }
        }
    }

    /// What the module is to be told of routes that were just listed; each is told once.
    pub fn gossip(&mut self, listed: &[EndpointEntry], name: Names, now: Millis) -> Vec<Event> {
        if self.known.is_empty() {
            return Vec::new();
        }
        let mut told: Vec<RouteName> = Vec::new();
        let apart = |kind: KindId| self.apart.get(kind.0).copied().unwrap_or(false);
        for entry in listed.iter().filter(|e| e.stage == EndpointState::Active) {
            told.push((
                entry.destination,
                apart(entry.kind).then_some(entry.endpoint),
            ));
        }
        told.sort_unstable();
        told.dedup();
        let one = |(destination, endpoint): RouteName| {
            let named = match endpoint {
                Some(endpoint) => Some(name(endpoint)?),
                None => None,
            };
            self.known.take_prior(
                &Subject {
                    destination: destination.0,
                    endpoint: named,
                },
                endpoint,
                now,
                &self.bounds,
            )
        };
        told.into_iter()
            .filter_map(one)
            .map(Event::Gossip)
            .collect()
    }

    /// This sender goes: some are told, and what it knows is kept once more.
    pub fn leave(&mut self) {
        self.next_keep = 0.0;
        self.members.leave();
        self.flush();
    }

    /// One line of counts.
    pub fn print_counters(&self) {
        let t = &self.turned_away;
        info!(
            members = self.members.live() + 1,
            told = self.told,
            learned = self.learned,
            not_keyed = t.key,
            other_version = t.version,
            malformed = t.form,
            talks_refused = t.talks,
            view_full = self.members.rejected_updates,
            "counters of peers"
        );
    }
}
