//! Owns the service table as discovery tells it: the watch, its lines, and the regions' names and addresses. It
//! must never forget a region because discovery is silent, and never judge one: health is not in the table.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use martenlatch_policy::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointState, KindId, ZoneId,
};
use martenlatch_settings::platform::Boot;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tracing::warn;

use crate::cordons::{CordonError, Cordons, MAX_NAME_BYTES};
use crate::event_source::{Connection, EventSource, Handle};
use crate::jitter::Jitter;
use martenlatch_clock::Millis;
use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;

/// Longest line of the watch, and most regions at a time; past these discovery is not believed.
const LINE: usize = 4 << 20;
const REGIONS: usize = 1 << 16;
/// Said of a region past that.
const TOO_MANY: &str = "uid (too many regions)";
/// Most names of regions that are gone which are remembered.
const GONE_KEPT: usize = 4_096;
/// An empty line comes every 2 s: after this long the watch's other end may have vanished without a word. What
/// discovery has to tell counts as told after 6 s, so that a drain must be heard on a new watch before that.
const SILENT: Millis = 3_200.0;
/// An agent answers at once: a watch that has not begun to by then has met none that speaks. Guards the 6 s against watches
/// that come up and say nothing, one behind the other.
const FIRST_WORD: Millis = 1_000.0;
const BACKOFF: (Millis, Millis) = (100.0, 2_000.0);
/// Where lists are asked for, watches are opened over so long for each sender there is, where a list is known already;
/// and from so many senders on what discovery refuses is tried again more seldom, in proportion. Guards discovery, which a
/// herd keeps down by asking.
const FIRST: Millis = 60.0;
const HERD: f64 = 4.0;
/// However many senders there are, no pause is longer, and a first watch or one that was lost waits half as long at most:
/// a change counts as told after 6 s, and sends to what drains must end 1 s later.
const LONGEST: Millis = 5_000.0;
/// Where lists are pushed, an agent of our own machine speaks at no cost, and what it has counts as told at once. The
/// first watch is opened at once, and pauses are no longer than this.
const AGENT: Millis = 400.0;

/// What a line of the table changed, in the module's terms. A region keeps its number while it is listed; no other
/// ever gets it.
pub struct Change {
    pub whole: bool,
    pub entries: Vec<EndpointEntry>,
}

pub struct EndpointDirectory {
    discovery: SocketAddr,
    zones: Vec<String>,
    kinds: Vec<String>,
    rev: u64,
    /// Something that the watch brought could not be read.
    unread: bool,
    /// Destinations that were ever listed: one whose regions have all gone may have new ones soon.
    destinations: BTreeSet<u64>,
    /// Discovery has spoken in this life.
    told: bool,
    numbers: HashMap<Rc<str>, EndpointId>,
    /// The regions that are listed.
    rows: HashMap<EndpointId, Row>,
    /// The next region's number.
    next: u32,
    /// What operators have taken out.
    cordons: Cordons,
    /// Names of regions that have gone, the latest last, each once.
    gone: VecDeque<Rc<str>>,
    gone_names: HashSet<Rc<str>>,
    watch: Option<Watch>,
    heard: Millis,
    backoff: Millis,
    next_try: Millis,
    jitter: Jitter,
    senders: f64,
    /// Lists come only to who asks for them.
    asked: bool,
}

/// A region as discovery lists it.
#[derive(Clone, Serialize, Deserialize)]
struct Row {
    name: Rc<str>,
    /// Where it is now.
    address: SocketAddr,
    entry: EndpointEntry,
}

/// The table, as it is passed to a later process. Bans are read from their file.
#[derive(Serialize, Deserialize)]
pub struct ConnectionSnapshot {
    rev: u64,
    destinations: BTreeSet<u64>,
    told: bool,
    rows: Vec<(EndpointId, Row)>,
    next: u32,
    gone: VecDeque<Rc<str>>,
}

struct Watch {
    connection: Connection,
    body: Option<http::Body>,
    /// What has come of an object, which may be indented over several lines.
    line: Vec<u8>,
    nest: Nest,
}

/// How deep in an object the bytes so far end.
#[derive(Default)]
struct Nest {
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Nest {
    fn feed(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.text => self.escaped = true,
            b'"' => self.text = !self.text,
            _ if self.text => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

impl EndpointDirectory {
    pub fn new(
        discovery: SocketAddr,
        boot: &Boot,
        cordons: Cordons,
        jitter: Jitter,
    ) -> EndpointDirectory {
        EndpointDirectory {
            discovery,
            zones: boot.zones.clone(),
            kinds: boot.kinds.clone(),
            rev: 0,
            unread: false,
            destinations: BTreeSet::new(),
            told: false,
            numbers: HashMap::new(),
            rows: HashMap::new(),
            next: 0,
            cordons,
            gone: VecDeque::new(),
            gone_names: HashSet::new(),
            watch: None,
            heard: 0.0,
            backoff: BACKOFF.0,
            next_try: 0.0,
            jitter,
            senders: f64::from(boot.settings.senders),
            asked: boot.asked,
        }
    }

    /// What is passed to a later process.
    pub fn snapshot(&self) -> ConnectionSnapshot {
        let rows = self.rows.iter().map(|(e, row)| (*e, row.clone())).collect();
        let (rev, destinations, told) = (self.rev, self.destinations.clone(), self.told);
        ConnectionSnapshot {
            rev,
            destinations,
            told,
            rows,
            next: self.next,
            gone: self.gone.clone(),
        }
    }

    /// Goes on with what an earlier process has passed; the watch is opened anew, from its version.
    pub fn restore_state(&mut self, passed: ConnectionSnapshot) {
        (self.rev, self.destinations, self.told) = (passed.rev, passed.destinations, passed.told);
        self.numbers = passed
            .rows
            .iter()
            .map(|(e, row)| (row.name.clone(), *e))
            .collect();
        self.rows = passed.rows.into_iter().collect();
        self.next = passed.next;
        passed.gone.into_iter().for_each(|name| self.forget(name));
    }

    /// Takes one object of the table; none where it is no such object. Of entries that cannot be read the regions stand as
    /// they are, and the version with them: what it brought is asked for again. One that names what the settings lack is
    /// not: it would come back the same.
    pub fn apply(&mut self, json: &Value) -> Option<Change> {
        let Some(targets) = json.get("targets").and_then(Value::as_array) else {
            warn!(reason = "no list of targets", "table line skipped");
            return None;
        };
        let whole = json.get("all").and_then(Value::as_bool).unwrap_or(false);
        let (mut entries, mut unread, mut stand) = (Vec::new(), false, BTreeSet::new());
        for target in targets {
            match self.entry(target) {
                Ok(entry) => entries.extend(entry),
                Err(field) => {
                    warn!(field, "table entry skipped");
                    unread |= !matches!(field, "az" | "model" | TOO_MANY);
                    let known = target
                        .get("uid")
                        .and_then(Value::as_str)
                        .and_then(|uid| self.numbers.get(uid));
                    stand.extend(known);
                }
            }
        }
        if whole {
            // What a whole list does not name is gone: these are named.
            entries.extend(
                stand
                    .iter()
                    .filter_map(|e| self.rows.get(e))
                    .map(|row| self.told(row)),
            );
        }
        match json.get("rev").and_then(Value::as_u64) {
            Some(rev) if !unread => self.rev = rev,
            _ => {}
        }
        self.unread |= unread;
        // Guards memory: regions are replaced by ones with new names all day long, and none that has gone returns.
        let mut gone: Vec<EndpointId> = Vec::new();
        gone.extend(
            entries
                .iter()
                .filter(|e| e.stage == EndpointState::Removed)
                .map(|e| e.endpoint),
        );
        if whole {
            let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.endpoint).collect();
            gone.extend(self.rows.keys().filter(|e| !listed.contains(e)));
        }
        for row in gone
            .iter()
            .filter_map(|e| self.rows.remove(e))
            .collect::<Vec<_>>()
        {
            self.numbers.remove(&row.name);
            self.forget(row.name);
        }
        Some(Change { whole, entries })
    }

    /// Remembers that a region was once listed.
    fn forget(&mut self, name: Rc<str>) {
        if self.gone_names.insert(name.clone()) {
            self.gone.push_back(name);
        }
        if self.gone.len() > GONE_KEPT
            && let Some(oldest) = self.gone.pop_front()
        {
            self.gone_names.remove(&oldest);
        }
    }

    /// What the module hears of a region: the stricter of discovery's word and the operators'.
    fn told(&self, row: &Row) -> EndpointEntry {
        let out = row.entry.stage == EndpointState::Active && self.cordons.holds(&row.name);
        EndpointEntry {
            stage: if out {
                EndpointState::Draining
            } else {
                row.entry.stage
            },
            ..row.entry.clone()
        }
    }

    /// An operator takes a region out, or puts it back: what the module is to hear of it, if it is listed.
    ///
    /// # Errors
    /// Why that does not hold.
    pub fn set_cordon(&mut self, name: &str, out: bool) -> Result<Option<Change>, CordonError> {
        let listed = self.numbers.get(name).copied();
        if listed.is_none() && !self.gone_names.contains(name) && !self.cordons.holds(name) {
            let shown: String = name
                .chars()
                .take(80)
                .flat_map(char::escape_default)
                .collect();
            return Err(CordonError::NeverListed(shown));
        }
        if name.len() > MAX_NAME_BYTES {
            return Err(CordonError::NameTooLong);
        }
        if !self.cordons.put(&Rc::from(name), out)? {
            return Ok(None);
        }
        Ok(listed.map(|e| Change {
            whole: false,
            entries: vec![self.told(&self.rows[&e])],
        }))
    }

    /// Whether operators have taken a region out, for each region that is listed.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, bool)> {
        self.rows
            .iter()
            .map(|(e, row)| (*e, self.cordons.holds(&row.name)))
    }

    /// Where a region is now; none where it is not listed.
    pub fn address(&self, region: EndpointId) -> Option<SocketAddr> {
        self.rows.get(&region).map(|row| row.address)
    }

    /// The kind of a region, by its place in the settings; the first where it is not listed.
    pub fn kind(&self, region: EndpointId) -> usize {
        self.rows.get(&region).map_or(0, |row| row.entry.kind.0)
    }

    fn entry(&mut self, json: &Value) -> Result<Option<EndpointEntry>, &'static str> {
        let text = |field: &'static str| json.get(field).and_then(Value::as_str).ok_or(field);
        let uid = text("uid")?;
        let stage = match text("state")? {
            "in_service" => EndpointState::Active,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return Err("state"),
        };
        let address =
            text("endpoint").and_then(|a| a.parse::<SocketAddr>().map_err(|_| "endpoint"));
        let known = self.numbers.get(uid).copied();
        if stage == EndpointState::Removed && known.is_none() {
            return Ok(None);
        }
        // One that is removed needs no address any more.
        let address = match (address, known) {
            (Ok(address), _) => address,
            (Err(_), Some(known)) if stage != EndpointState::Active => self.rows[&known].address,
            (Err(field), _) => return Err(field),
        };
        let place = |names: &[String], field: &'static str| {
            let name = text(field)?;
            names.iter().position(|n| n == name).ok_or(field)
        };
        let zone = ZoneId(place(&self.zones, "az")?);
        let kind = KindId(place(&self.kinds, "model")?);
        let destination = DestinationId(
            json.get("pod_group")
                .and_then(Value::as_u64)
                .ok_or("pod_group")?,
        );
        self.destinations.insert(destination.0);
        let weight = json
            .get("capacity_hint")
            .and_then(Value::as_f64)
            .unwrap_or(0.0);
        let endpoint = match known {
            Some(known) => known,
            None if self.rows.len() >= REGIONS => return Err(TOO_MANY),
            None => {
                let fresh = EndpointId(self.next);
                self.next += 1;
                self.numbers.insert(Rc::from(uid), fresh);
                fresh
            }
        };
        let entry = EndpointEntry {
            endpoint,
            zone,
            kind,
            destination,
            stage,
            weight,
        };
        let row = Row {
            name: Rc::from(uid),
            address,
            entry,
        };
        let told = self.told(&row);
        self.rows.insert(endpoint, row);
        Ok(Some(told))
    }

    fn drop_watch(&mut self, now: Millis, reason: &str) {
        if self.watch.take().is_some() {
            warn!(reason, rev = self.rev, "watch lost");
        }
        let (herd, longest) = if self.asked {
            ((self.senders / HERD).max(1.0), LONGEST)
        } else {
            (1.0, AGENT)
        };
        let longest = if self.backoff > BACKOFF.0 {
            longest
        } else {
            longest / 2.0
        };
        self.next_try = now + self.jitter.around((self.backoff * herd).min(longest));
        self.backoff = (self.backoff * 2.0).min(BACKOFF.1);
    }

    /// A list is known: the first watch need not be opened with those of all other senders, where it costs discovery.
    pub fn delay_first_watch(&mut self, now: Millis) {
        let over = if self.asked {
            (FIRST * self.senders).min(LONGEST / 2.0)
        } else {
            0.0
        };
        self.next_try = now + self.jitter.up_to(over);
    }

    /// The name by which discovery lists a region.
    pub fn endpoint_name(&self, region: EndpointId) -> Option<String> {
        self.rows.get(&region).map(|row| row.name.to_string())
    }

    /// Whether a destination is served by any region; nothing while discovery has not said.
    pub fn serves(&self, destination: u64) -> Option<bool> {
        let listed = self.destinations.contains(&destination) || self.destinations.is_empty();
        (listed || self.told).then_some(listed)
    }

    /// Discovery is elsewhere from now on. Its versions may be others there, so that the whole list is asked for;
    /// until it comes, the table stands.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Millis) {
        self.watch = None;
        (self.discovery, self.rev) = (discovery, 0);
        self.backoff = BACKOFF.0;
        self.delay_first_watch(now);
    }

    /// Opens the watch when it is due, from the version that we have.
    pub fn run_due(&mut self, now: Millis, handle: &Handle, pool: &BufferPool) {
        if self
            .watch
            .as_ref()
            .is_some_and(|w| now > self.heard + self.patience(w))
        {
            self.drop_watch(now, "silent");
        }
        if self.watch.is_some() || now < self.next_try {
            return;
        }
        (self.heard, self.unread) = (now, false);
        match Connection::connect(self.discovery, handle, pool, EventSource::Watch) {
            Ok(mut connection) => {
                let (host, from) = (self.discovery, self.rev);
                let ask =
                    format!("GET /v1/servers?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\n\r\n");
                connection.queue(ask.as_bytes());
                connection.flush();
                self.watch = Some(Watch {
                    connection,
                    body: None,
                    line: Vec::new(),
                    nest: Nest::default(),
                });
            }
            Err(e) => {
                warn!(error = ?e.kind(), "watch not opened");
                self.drop_watch(now, "");
            }
        }
    }

    /// How long a watch may say nothing. Asking costs where lists are asked for: there each is waited for as long.
    fn patience(&self, watch: &Watch) -> Millis {
        if watch.body.is_none() && !self.asked {
            FIRST_WORD
        } else {
            SILENT
        }
    }

    /// When [`EndpointDirectory::run_due`] has something to do.
    pub fn next_deadline(&self) -> Millis {
        self.watch
            .as_ref()
            .map_or(self.next_try, |w| self.heard + self.patience(w) + 1.0)
    }

    /// Takes the objects of a watch, up to one that cannot be read: what stands behind it would move the version past it.
    /// The flag says that there was one.
    fn take(&mut self, lines: &[Vec<u8>]) -> (Vec<Change>, bool) {
        let mut changes = Vec::new();
        for line in lines.iter().filter(|l| !l.trim_ascii().is_empty()) {
            let json = serde_json::from_slice::<Value>(line);
            let change = json.ok().and_then(|json| self.apply(&json));
            self.unread |= change.is_none();
            changes.extend(change);
            if self.unread {
                break;
            }
        }
        (changes, std::mem::take(&mut self.unread))
    }

    /// Reads what the watch has brought. The flag says that there may be more to read.
    pub fn on_ready(&mut self, now: Millis) -> (Vec<Change>, bool) {
        let Some(mut watch) = self.watch.take() else {
            return (Vec::new(), false);
        };
        watch.connection.flush();
        let more = watch.connection.receive();
        let mut lines = Vec::new();
        let fault = watch.read(&mut lines);
        if !lines.is_empty() {
            self.told = true;
            self.heard = now;
        }
        let (changes, unread) = self.take(&lines);
        if !lines.is_empty() && !unread {
            self.backoff = BACKOFF.0;
        }
        let fault = fault
            .or(unread.then_some("unreadable"))
            .or((watch.connection.eof || watch.connection.broken).then_some("closed"));
        self.watch = Some(watch);
        if let Some(reason) = fault {
            self.drop_watch(now, reason);
        }
        (changes, more && fault.is_none())
    }
}

impl Watch {
    /// Gathers whole lines; says what is wrong where the watch cannot go on.
    fn read(&mut self, lines: &mut Vec<Vec<u8>>) -> Option<&'static str> {
        if self.body.is_none() {
            match http::parse_response(self.connection.bytes()) {
                Ok(None) => return None,
                Ok(Some(answer)) if answer.status == 200 => {
                    self.connection.consume(answer.consumed);
                    self.body = Some(answer.body);
                }
                Ok(Some(_)) => return Some("refused"),
                Err(_) => return Some("malformed"),
            }
        }
        let (body, line, nest) = (self.body.as_mut()?, &mut self.line, &mut self.nest);
        let mut empty = false;
        let mut take = |bytes: &[u8]| {
            for part in bytes.split_inclusive(|b| *b == b'\n') {
                empty = line.last().is_none_or(|b| *b == b'\n') && part.trim_ascii().is_empty();
                line.extend(part);
                part.iter().for_each(|b| nest.feed(*b));
                // An empty line says that nothing more comes of what stands before it, whole or not.
                if part.ends_with(b"\n") && (nest.depth == 0 || empty) {
                    *nest = Nest::default();
                    lines.push(std::mem::take(line));
                }
            }
        };
        let Some((used, over)) = body.feed(self.connection.bytes(), &mut take) else {
            return Some("malformed");
        };
        self.connection.consume(used);
        // Guards against a line without end, which would grow without bound.
        if self.line.len() > LINE {
            return Some("line too long");
        }
        over.then_some("ended")
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use martenlatch_policy::interface::Settings;

    fn nobody() -> Cordons {
        Cordons::open(std::path::Path::new("/nowhere"), 3_000_000)
    }

    #[test]
    fn regions_that_have_gone_are_forgotten_and_their_numbers_are_not_used_again() {
        let names = || vec!["x".to_string()];
        let (zones, kinds, classes) = (names(), names(), names());
        let boot = Boot {
            settings: Settings::default(),
            zones,
            kinds,
            classes,
            asked: false,
        };
        let mut directory = EndpointDirectory::new(
            "127.0.0.1:9".parse().unwrap(),
            &boot,
            nobody(),
            Jitter::new(1),
        );
        let mut line = |all: bool, uid: usize, state: &str| {
            let target = serde_json::json!({"uid": format!("s-{uid}"), "endpoint": "127.0.0.1:9", "az": "x",
                "model": "x", "pod_group": 7, "state": state});
            let change =
                directory.apply(&serde_json::json!({"rev": uid, "all": all, "targets": [target]}));
            (
                change.unwrap().entries,
                directory.numbers.len() + directory.rows.len(),
            )
        };
        for uid in 0..50 {
            assert_eq!(
                line(false, uid, "in_service").0[0].endpoint,
                EndpointId(uid as u32)
            );
            assert_eq!(line(false, uid, "terminated").1, 0, "its number was {uid}");
        }
        assert!(
            line(false, 1, "terminated").0.is_empty(),
            "one that is not known any more tells nothing"
        );
        line(false, 60, "terminating");
        assert_eq!(
            line(true, 61, "in_service").1,
            2,
            "a whole list says what is left"
        );
    }

    #[rstest::rstest]
    #[case::pushed_by_an_agent(false, 3)]
    #[case::asked_for_where_each_costs(true, 1)]
    fn watches_that_fall_silent_are_opened_again_before_their_news_count_as_told(
        #[case] asked: bool,
        #[case] more: usize,
    ) {
        use std::io::Write;
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let (handle, pool) = (events.handle(), BufferPool::new(8));
        let names = || vec!["x".to_string()];
        let (zones, kinds, classes) = (names(), names(), names());
        let boot = Boot {
            settings: Settings::default(),
            zones,
            kinds,
            classes,
            asked,
        };
        let mut directory = EndpointDirectory::new(
            listener.local_addr().unwrap(),
            &boot,
            nobody(),
            Jitter::new(1),
        );
        directory.run_due(1_000.0, &handle, &pool);
        let (mut first, _) = listener.accept().unwrap();
        // It begins to speak, and then falls silent: the empty line of every 2 s is waited for.
        first
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            .unwrap();
        assert!((0..200_000).any(|_| {
            directory.on_ready(1_000.0);
            directory.told
        }));
        directory.run_due(3_000.0, &handle, &pool);
        assert!(directory.watch.is_some() && directory.next_deadline() < 1_000.0 + 6_000.0);
        let lost = directory.next_deadline();
        directory.run_due(lost, &handle, &pool);
        assert!(directory.watch.is_none(), "it is given up");
        // Those behind it come up and never speak.
        let mut opened = 0;
        while directory.next_deadline() < 1_000.0 + 6_000.0 {
            directory.run_due(directory.next_deadline(), &handle, &pool);
            opened += usize::from(directory.watch.is_some());
        }
        assert!(opened >= more, "{opened} before its news count as told");
        (0..opened).for_each(|_| drop(listener.accept().unwrap()));
    }

    #[test]
    fn watches_that_fall_silent_together_are_not_opened_again_together() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let names = || vec!["x".to_string()];
        let boot = Boot {
            settings: Settings::default(),
            zones: names(),
            kinds: names(),
            classes: names(),
            asked: true,
        };
        let again = |seed: u64| {
            let (handle, pool) = (events.handle(), BufferPool::new(8));
            let mut directory = EndpointDirectory::new(
                listener.local_addr().unwrap(),
                &boot,
                nobody(),
                Jitter::new(seed),
            );
            directory.backoff = BACKOFF.1;
            directory.run_due(1_000.0, &handle, &pool);
            let lost = directory.next_deadline();
            directory.run_due(lost, &handle, &pool);
            directory.next_deadline() - lost
        };
        let mut tries: Vec<Millis> = (0..12).map(again).collect();
        tries.sort_by(f64::total_cmp);
        println!("opened again after, ms: {tries:.0?}");
        assert!(tries[0] >= BACKOFF.1 * 0.75 && tries[11] <= BACKOFF.1 * 1.25);
        assert!(
            tries.windows(4).all(|few| few[3] - few[0] > 20.0),
            "four within 20 ms: {tries:?}"
        );
    }

    /// When each of a fleet's senders opens its watches, in a minute in which all are refused.
    fn tries(senders: u32, asked: bool) -> Vec<Vec<Millis>> {
        let names = || vec!["x".to_string()];
        let settings = Settings {
            senders,
            ..Settings::default()
        };
        let boot = Boot {
            settings,
            zones: names(),
            kinds: names(),
            classes: names(),
            asked,
        };
        let one = |seed: u32| {
            let jitter = Jitter::new(seed.into());
            let mut directory =
                EndpointDirectory::new("127.0.0.1:9".parse().unwrap(), &boot, nobody(), jitter);
            directory.delay_first_watch(0.0);
            let mut tries = Vec::new();
            while directory.next_deadline() < 60_000.0 {
                let now = directory.next_deadline();
                tries.push(now);
                directory.drop_watch(now, "");
            }
            tries
        };
        (0..senders).map(one).collect()
    }

    #[test]
    fn a_herd_whose_watches_are_refused_asks_discovery_the_more_seldom() {
        // Once all have found that it is refused: each sender's share of a minute's second half.
        let late = |senders: u32| {
            let all = tries(senders, true).concat();
            all.iter().filter(|at| **at > 30_000.0).count() as f64 / f64::from(senders)
        };
        let (few, herd) = (late(4), late(48));
        println!("opened in half a minute, each: {few:.1} of 4 senders, {herd:.1} of 48");
        assert!(herd < 0.5 * few && few > 10.0);
        for senders in [48, 300] {
            let mut all = tries(senders, true).concat();
            all.sort_by(f64::total_cmp);
            let most = senders as usize / 2;
            let crowded = all
                .windows(most)
                .filter(|w| w[most - 1] - w[0] < 500.0)
                .count();
            assert!(
                crowded == 0,
                "{crowded} times half of {senders} within half a second"
            );
        }
    }

    #[rstest::rstest]
    #[case::few(2)]
    #[case::herd(48)]
    #[case::fleet(300)]
    fn what_discovery_tells_is_asked_for_before_it_counts_as_told(#[case] senders: u32) {
        // Guards the drains: they count as told 6 s later, heard or not, and sends there must end within 1 s more.
        for tries in tries(senders, true) {
            let pauses = tries.windows(2).map(|w| w[1] - w[0]);
            let longest = pauses.fold(tries[0], f64::max);
            assert!(
                longest < 6_500.0,
                "{longest:.0} ms between two watches of one of {senders}"
            );
        }
        // What is pushed counts as told once the agent beside us has it.
        for tries in tries(senders, false) {
            let longest = tries.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
            assert!(
                tries[0] == 0.0 && longest <= 500.0,
                "{:.0} ms, then {longest:.0} ms",
                tries[0]
            );
        }
    }

    /// What a table makes of a watch's text: how often it was told something, its version, and whether it goes on.
    fn told(text: &str) -> (Vec<(bool, usize)>, u64, bool) {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
        let (handle, pool) = (events.handle(), BufferPool::new(8));
        let names = || vec!["x".to_string()];
        let (zones, kinds, classes) = (names(), names(), names());
        let boot = Boot {
            settings: Settings::default(),
            zones,
            kinds,
            classes,
            asked: false,
        };
        let mut directory = EndpointDirectory::new(
            listener.local_addr().unwrap(),
            &boot,
            nobody(),
            Jitter::new(1),
        );
        let first = serde_json::json!({"rev": 5, "all": true, "targets": [
            {"uid": "a", "endpoint": "127.0.0.1:9", "az": "x", "model": "x", "pod_group": 7, "state": "in_service"}]});
        directory.apply(&first).unwrap();
        directory.run_due(0.0, &handle, &pool);
        let (mut peer, _) = listener.accept().unwrap();
        while directory
            .watch
            .as_ref()
            .is_some_and(|w| !w.connection.is_flushed())
        {
            directory.on_ready(0.0);
        }
        assert!(peer.read(&mut [0; 512]).unwrap() > 0);
        peer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        write!(peer, "{:x}\r\n{text}\r\n", text.len()).unwrap();
        // Its end comes behind what it has told.
        peer.write_all(b"0\r\n\r\n").unwrap();
        let (mut changes, mut reason) = (Vec::new(), None);
        while reason.is_none() {
            let mut watch = directory.watch.take().unwrap();
            watch.connection.receive();
            let mut lines = Vec::new();
            let fault = watch.read(&mut lines);
            directory.watch = Some(watch);
            let (heard, unread) = directory.take(&lines);
            changes.extend(heard.iter().map(|c| (c.whole, c.entries.len())));
            reason = if unread { Some("unreadable") } else { fault };
        }
        (changes, directory.rev, reason == Some("ended"))
    }

    const DRAIN: &str = r#"{"rev":6,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:9","az":"x","model":"x","pod_group":7,"state":"terminating"}]}"#;

    #[rstest::rstest]
    #[case::one_a_line(format!("{DRAIN}\n\n"), &[(false, 1)], 6, true)]
    #[case::indented(DRAIN.replace(',', ",\n  ") + "\n\n", &[(false, 1)], 6, true)]
    #[case::indented_with_braces_in_a_name(
        DRAIN.replace(',', ",\n  ").replace(r#""uid":"a""#, r#""uid":"a\"{[""#) + "\n", &[(false, 1)], 6, true)]
    #[case::not_json(format!("nonsense\n{DRAIN}\n"), &[], 5, false)]
    #[case::torn(format!("{}\n\n{DRAIN}\n", &DRAIN[..40]), &[], 5, false)]
    #[case::no_targets("{\"rev\":9}\n".to_string(), &[], 5, false)]
    #[case::an_entry_unread(DRAIN.replace("terminating", "odd") + "\n", &[(false, 0)], 5, false)]
    #[case::one_that_the_settings_lack(DRAIN.replace(r#""az":"x""#, r#""az":"y""#) + "\n", &[(false, 0)], 6, true)]
    #[case::an_entry_of_a_whole_list_unread(
        DRAIN.replace("false", "true").replace("127.0.0.1:9", "odd").replace("terminating", "in_service") + "\n",
        &[(true, 1)], 5, false)]
    fn what_cannot_be_read_of_a_list_is_asked_for_again_and_takes_nothing_away(
        #[case] text: String,
        #[case] changes: &[(bool, usize)],
        #[case] rev: u64,
        #[case] goes_on: bool,
    ) {
        // Guards a drain that the version would move past, and a region that would count as gone.
        let (heard, version, on) = told(&text);
        assert_eq!((heard.as_slice(), version, on), (changes, rev, goes_on));
    }
}
