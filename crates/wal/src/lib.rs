//! Owns the durable journal in the folder that lasts: what was taken on and by which rules, each routed task before its first byte,
//! proofs that one never ran, and ends. It must never lose a record that it has confirmed, hold more than its part
//! of the disk (old and new file together), or bring the program down: full or unwritable, it refuses new work.
//!
//! A record is its length, a CRC-32 and that many bytes. Only a process that dies tears one, and only the last:
//! reading stops there and the tail is cut. SIGKILL loses nothing that `write` took, so there is no sync.

#![allow(missing_docs)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::PathBuf;
use std::rc::Rc;

use martenlatch_clock::Millis;
use serde::{Deserialize, Serialize};
use tracing::{error, warn};

/// How a transaction that was not delivered ends.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum FinalStatus {
    Undeliverable,
    /// With the milliseconds after which the client may return, if any.
    Deferred(Option<u64>),
}

/// One routed task: when it was sent, and whether it is proven that it never ran.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    pub sent: Millis,
    pub never_ran: bool,
}

/// What lasts of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRecord {
    /// Its number; never used twice, over all lives.
    pub no: u64,
    pub id: Rc<str>,
    pub class: Rc<str>,
    pub destination: u64,
    pub deadline: Millis,
    pub key: Option<Rc<str>>,
    pub body: Rc<[u8]>,
    pub attempts: Vec<AttemptRecord>,
    /// Its end is settled, and the platform has not confirmed it yet.
    pub final_status: Option<FinalStatus>,
    /// What its class promised when it was taken on, in the caller's form; empty where no record says it.
    pub rules: Rc<[u8]>,
}

/// Ids of transactions that are over, kept so that one handed in twice is not taken on twice.
const OVER_KEPT: usize = 512;
/// Parts of the disk limit: all that we use, the file at most, and what may stand in it of work not over.
const PARTS: (f64, f64, f64) = (0.92, 0.52, 0.36);
/// Longest record; a longer length is a torn one.
const LONGEST: usize = 80 * 1024;
/// Most tasks of a transaction: one behind these has no record, and its call must not start.
pub const MAX_ATTEMPTS: usize = 64;
const MAGIC: &[u8; 8] = b"mlatch1\n";

pub struct WriteAheadLog {
    path: PathBuf,
    file: Option<File>,
    size: u64,
    cap: f64,
    /// Bytes that a compacted file would hold of each transaction not over.
    live: BTreeMap<u64, u64>,
    live_bytes: u64,
    pub over: VecDeque<Rc<str>>,
    /// The rules of each class as the file last says them: what is taken on behind goes by these.
    rules: HashMap<Rc<str>, Rc<[u8]>>,
    /// Not written to before: after a failure, for a second.
    rest_until: Millis,
}

/// The place of a wal that is passed to a later process.
#[derive(Serialize, Deserialize)]
pub struct LogPosition {
    size: u64,
    over: VecDeque<Rc<str>>,
    rest_until: Millis,
    /// There is a file to write to.
    open: bool,
}

/// A payload being written or read.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Bytes {
    fn num(mut self, value: u64) -> Bytes {
        self.0.extend(value.to_le_bytes());
        self
    }
    fn text(mut self, value: &[u8]) -> Bytes {
        self.0.extend((value.len() as u32).to_le_bytes());
        self.0.extend(value);
        self
    }
}

struct Cursor<'a>(&'a [u8]);

impl<'a> Cursor<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(head)
    }
    fn num(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<&'a [u8]> {
        let count = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(count as usize)
    }
    fn text(&mut self) -> Option<Rc<str>> {
        std::str::from_utf8(self.bytes()?).ok().map(Rc::from)
    }
}

fn framed(payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(payload.len() + 8);
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    out.extend(payload);
    out
}

fn encode_message(t: &MessageRecord) -> Vec<u8> {
    let bytes = Bytes(vec![b'T'])
        .num(t.no)
        .num(t.destination)
        .num(t.deadline.to_bits());
    let bytes = bytes.text(t.id.as_bytes()).text(t.class.as_bytes());
    // An absent key is told apart from an empty one by its mark.
    let key = t
        .key
        .as_ref()
        .map_or(vec![0], |k| [&[1], k.as_bytes()].concat());
    framed(&bytes.text(&key).text(&t.body).0)
}

/// The rules of a class, for what is taken on behind this record.
fn rules(class: &str, rules: &[u8]) -> Vec<u8> {
    framed(
        &Bytes(vec![b'C'])
            .num(0)
            .text(class.as_bytes())
            .text(rules)
            .0,
    )
}

fn task(no: u64, attempt: usize, sent: Millis) -> Vec<u8> {
    framed(
        &Bytes(vec![b'R'])
            .num(no)
            .num(attempt as u64)
            .num(sent.to_bits())
            .0,
    )
}

fn never_ran(no: u64, attempt: usize) -> Vec<u8> {
    framed(&Bytes(vec![b'N']).num(no).num(attempt as u64).0)
}

fn ending(no: u64, notice: FinalStatus) -> Vec<u8> {
    let (status, again) = match notice {
        FinalStatus::Undeliverable => (0, 0),
        FinalStatus::Deferred(None) => (1, 0),
        FinalStatus::Deferred(Some(ms)) => (2, ms),
    };
    framed(&Bytes(vec![b'E']).num(no).num(status).num(again).0)
}

fn over(no: u64, id: &str) -> Vec<u8> {
    framed(&Bytes(vec![b'O']).num(no).text(id.as_bytes()).0)
}

fn keep(over: &mut VecDeque<Rc<str>>, id: Rc<str>) {
    over.push_back(id);
    if over.len() > OVER_KEPT {
        over.pop_front();
    }
}

/// What is left of earlier lives.
#[derive(Default)]
pub struct RecoveredState {
    pub open: BTreeMap<u64, MessageRecord>,
    pub over: VecDeque<Rc<str>>,
    pub next: u64,
    /// Whole records read.
    pub records: u64,
    rules: HashMap<Rc<str>, Rc<[u8]>>,
    /// Bytes of the file that hold whole records.
    good: u64,
}

impl RecoveredState {
    fn record(&mut self, payload: &[u8]) -> Option<()> {
        let mut c = Cursor(payload.get(1..)?);
        let no = c.num()?;
        self.next = self.next.max(no.saturating_add(1));
        match payload[0] {
            b'T' => {
                let (destination, deadline) = (c.num()?, f64::from_bits(c.num()?));
                let (id, class, key) = (c.text()?, c.text()?, c.bytes()?);
                let key = match key.split_first()? {
                    (0, _) => None,
                    (_, key) => Some(Rc::from(std::str::from_utf8(key).ok()?)),
                };
                let body = Rc::from(c.bytes()?);
                let rules = self.rules.get(&class).cloned().unwrap_or_default();
                let t = MessageRecord {
                    no,
                    id,
                    class,
                    destination,
                    deadline,
                    key,
                    body,
                    attempts: Vec::new(),
                    final_status: None,
                    rules,
                };
                self.open.insert(no, t);
            }
            b'C' => {
                let (class, rules) = (c.text()?, Rc::from(c.bytes()?));
                self.rules.insert(class, rules);
            }
            b'R' => {
                let (attempt, sent) = (c.num()? as usize, f64::from_bits(c.num()?));
                let tasks = self.open.get_mut(&no).map(|t| &mut t.attempts);
                if let Some(tasks) = tasks.filter(|_| attempt < MAX_ATTEMPTS) {
                    // One whose record did not fit was never sent. One that a compaction found not yet begun is known
                    // for one that never ran, and begins here.
                    let least = tasks.len().max(attempt + 1);
                    tasks.resize(
                        least,
                        AttemptRecord {
                            sent,
                            never_ran: true,
                        },
                    );
                    tasks[attempt] = AttemptRecord {
                        sent,
                        never_ran: false,
                    };
                }
            }
            b'N' => {
                let attempt = c.num()? as usize;
                let task = self
                    .open
                    .get_mut(&no)
                    .and_then(|t| t.attempts.get_mut(attempt));
                task.into_iter().for_each(|t| t.never_ran = true);
            }
            b'E' => {
                let notice = match (c.num()?, c.num()?) {
                    (0, _) => FinalStatus::Undeliverable,
                    (1, _) => FinalStatus::Deferred(None),
                    (_, ms) => FinalStatus::Deferred(Some(ms)),
                };
                self.open
                    .get_mut(&no)
                    .into_iter()
                    .for_each(|t| t.final_status = Some(notice));
            }
            b'O' => {
                self.open.remove(&no);
                let id = c.text()?;
                if !id.is_empty() {
                    keep(&mut self.over, id);
                }
            }
            // Written by a later version: its meaning is not known, its frame is whole.
            _ => {}
        }
        Some(())
    }

    fn read(bytes: &[u8]) -> RecoveredState {
        let mut past = RecoveredState::default();
        let mut c = Cursor(bytes);
        if c.take(MAGIC.len()) != Some(MAGIC) {
            return past;
        }
        loop {
            past.good = (bytes.len() - c.0.len()) as u64;
            let head = c.take(8);
            let Some((length, sum)) = head.and_then(|h| {
                let mut h = Cursor(h);
                let mut word = || Some(u32::from_le_bytes(h.take(4)?.try_into().ok()?));
                Some((word()? as usize, word()?))
            }) else {
                return past;
            };
            let payload = c
                .take(length)
                .filter(|p| length <= LONGEST && crc32fast::hash(p) == sum);
            // Guards against a tail that a dying process tore: nothing after it was ever confirmed.
            if payload.and_then(|p| past.record(p)).is_none() {
                return past;
            }
            past.records += 1;
        }
    }
}

/// A wal looked into and left as it is, also while a sender writes to it.
#[derive(Default)]
pub struct LogInspection {
    pub past: RecoveredState,
    /// Bytes of the file.
    pub size: u64,
}

impl LogInspection {
    /// Reads the wal of a folder; one that was never written to is empty.
    ///
    /// # Errors
    /// Where the folder is none, or its wal cannot be read.
    pub fn open(folder: &std::path::Path) -> std::io::Result<LogInspection> {
        if !folder.is_dir() {
            return Err(std::io::Error::new(
                std::io::ErrorKind::NotFound,
                "not a folder",
            ));
        }
        match std::fs::read(folder.join("ledger")) {
            Ok(bytes) => Ok(LogInspection {
                past: RecoveredState::read(&bytes),
                size: bytes.len() as u64,
            }),
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(LogInspection::default()),
            Err(e) => Err(e),
        }
    }

    /// Bytes that belong to whole records.
    pub fn valid_bytes(&self) -> u64 {
        self.past.good
    }
}

impl WriteAheadLog {
    /// Opens the journal and reads what earlier lives left. An unusable one is told, and starts refusing.
    pub fn open(folder: &std::path::Path, disk: u64) -> (WriteAheadLog, RecoveredState) {
        let path = folder.join("ledger");
        // A compaction that was cut short leaves its new file; the old one is still whole.
        let _ = std::fs::remove_file(folder.join("ledger.new"));
        let mut bytes = Vec::new();
        let read = File::open(&path).and_then(|mut f| f.read_to_end(&mut bytes));
        let past = RecoveredState::read(&bytes);
        let read = read
            .map_err(|e| e.kind())
            .err()
            .filter(|e| *e != std::io::ErrorKind::NotFound);
        // A file is put in place whole: one that does not begin as ours is of another version, and may be owed for.
        let foreign = (!bytes.is_empty() && !bytes.starts_with(MAGIC))
            .then_some(std::io::ErrorKind::InvalidData);
        let unreadable = read.or(foreign);
        if let Some(e) = unreadable {
            error!(error = ?e, "ledger unreadable");
        }
        if unreadable.is_none() && past.good < bytes.len() as u64 {
            warn!(bytes = bytes.len() as u64 - past.good, "ledger tail cut");
        }
        let (file, size, cap) = (None, past.good, disk as f64 * PARTS.0);
        let (live, over) = (BTreeMap::new(), past.over.clone());
        let rules = past.rules.clone();
        let mut wal = WriteAheadLog {
            path,
            file,
            size,
            cap,
            live,
            live_bytes: 0,
            over,
            rules,
            rest_until: 0.0,
        };
        for t in past.open.values() {
            wal.count(t.no, WriteAheadLog::whole(t));
        }
        // Guards what an unreadable file may still hold: it is never written over, and no work is taken on.
        if unreadable.is_some() {
            wal.rest_until = f64::INFINITY;
            return (wal, past);
        }
        // A new file at each start: the tail is gone, and so is what is over. Without room for one, the old goes on.
        if !wal.compact(past.open.values()) && past.good > 0 {
            let old = OpenOptions::new().write(true).open(&wal.path);
            wal.file = old.ok().filter(|f| f.set_len(past.good).is_ok());
            wal.file = wal
                .file
                .take()
                .filter(|mut f| f.seek(SeekFrom::End(0)).is_ok());
        }
        (wal, past)
    }

    /// Where this process stands in the file. It must not write to it once another has gone on from there.
    pub fn position(&self) -> LogPosition {
        let (size, over, rest_until) = (self.size, self.over.clone(), self.rest_until);
        LogPosition {
            size,
            over,
            rest_until,
            open: self.file.is_some(),
        }
    }

    /// Goes on where an earlier process stood, with what is held and not over. Writes nothing.
    ///
    /// # Errors
    /// Where the file is not as that process left it.
    pub fn restore<'a>(
        folder: &std::path::Path,
        disk: u64,
        place: LogPosition,
        open: impl Iterator<Item = &'a MessageRecord>,
    ) -> std::io::Result<WriteAheadLog> {
        let path = folder.join("ledger");
        let file = if place.open {
            let mut file = OpenOptions::new().write(true).open(&path)?;
            if file.seek(SeekFrom::End(0))? != place.size {
                return Err(std::io::Error::other("the ledger is not as it was left"));
            }
            Some(file)
        } else {
            None
        };
        let (size, cap, rest_until) = (place.size, disk as f64 * PARTS.0, place.rest_until);
        // What the file says of classes is said again.
        let (live, over, rules) = (BTreeMap::new(), place.over, HashMap::new());
        let mut wal = WriteAheadLog {
            path,
            file,
            size,
            cap,
            live,
            live_bytes: 0,
            over,
            rules,
            rest_until,
        };
        for t in open {
            wal.count(t.no, WriteAheadLog::whole(t));
        }
        Ok(wal)
    }

    fn whole(t: &MessageRecord) -> u64 {
        (encode_message(t).len() + t.attempts.len() * 60 + 40) as u64
    }

    fn count(&mut self, no: u64, bytes: u64) {
        *self.live.entry(no).or_insert(0) += bytes;
        self.live_bytes += bytes;
    }

    /// Appends whole records; a write that fails halfway is taken back, as the next would stand behind a torn one.
    fn append(&mut self, bytes: &[u8], most: f64) -> bool {
        if (self.size + bytes.len() as u64) as f64 > most {
            return false;
        }
        let Some(file) = self.file.as_mut() else {
            return false;
        };
        match file.write_all(bytes) {
            Ok(()) => {
                self.size += bytes.len() as u64;
                true
            }
            Err(e) => {
                error!(error = ?e.kind(), "ledger unwritable");
                let undone = file
                    .set_len(self.size)
                    .and_then(|()| file.seek(SeekFrom::Start(self.size)));
                if undone.is_err() {
                    self.file = None;
                }
                false
            }
        }
    }

    /// Records a transaction as taken on. False: it must be refused.
    pub fn append_message(&mut self, t: &MessageRecord) -> bool {
        let known = self
            .rules
            .get(&t.class)
            .is_some_and(|known| *known == t.rules);
        let mut record = if known {
            Vec::new()
        } else {
            rules(&t.class, &t.rules)
        };
        record.extend(encode_message(t));
        // Leaves room behind it for its tasks and its end, which must not fail for want of it.
        let fits = (self.live_bytes + record.len() as u64) as f64 <= self.cap * PARTS.2;
        if !fits || !self.append(&record, self.cap * (PARTS.1 - 0.06)) {
            return false;
        }
        if !known {
            self.rules.insert(t.class.clone(), t.rules.clone());
        }
        self.count(t.no, WriteAheadLog::whole(t));
        true
    }

    /// Records a routed task. False: its call must not start.
    pub fn append_attempt(&mut self, no: u64, attempt: usize, sent: Millis) -> bool {
        let done =
            attempt < MAX_ATTEMPTS && self.append(&task(no, attempt, sent), self.cap * PARTS.1);
        if done {
            self.count(no, 60);
        }
        done
    }

    /// Records that a routed task never ran. Losing this one is safe: the task then counts as one that may have.
    pub fn append_never_ran(&mut self, no: u64, attempt: usize) {
        self.append(&never_ran(no, attempt), self.cap * PARTS.1);
    }

    /// Records how a transaction will end. Losing this one is safe: it comes back, and ends again.
    pub fn append_final_status(&mut self, no: u64, notice: FinalStatus) {
        self.append(&ending(no, notice), self.cap * PARTS.1);
    }

    /// Records that nothing more is owed.
    pub fn append_closed(&mut self, no: u64, id: &Rc<str>) {
        self.settle(no, id);
        keep(&mut self.over, id.clone());
    }

    /// Records that a transaction was not taken on after all. Its id stays unknown: who hands it in again is new.
    pub fn append_revoked(&mut self, no: u64) {
        self.settle(no, "");
    }

    fn settle(&mut self, no: u64, id: &str) {
        self.append(&over(no, id), self.cap * PARTS.1);
        self.live_bytes -= self.live.remove(&no).unwrap_or(0);
    }

    /// True once a compaction would free room, or must be tried since there is no file to write to.
    pub fn wants_compaction(&self, now: Millis) -> bool {
        let kept = self.live_bytes as f64 + self.over.len() as f64 * 60.0;
        let full = self.size as f64 > (self.cap * 0.25).max(2.0 * kept);
        let near = self.size as f64 > self.cap * (PARTS.1 - 0.1) && self.size as f64 > 1.1 * kept;
        (full || near || self.file.is_none()) && now >= self.rest_until
    }

    /// A failed compaction is tried again only after a while.
    pub fn compaction_failed(&mut self, now: Millis) {
        self.rest_until = now + 1000.0;
    }

    /// Writes what is not over to a new file and puts it in the old one's place. On failure the old one stands.
    pub fn compact<'a>(&mut self, open: impl Iterator<Item = &'a MessageRecord>) -> bool {
        let mut all = MAGIC.to_vec();
        self.over.iter().for_each(|id| all.extend(over(0, id)));
        let (mut live, mut said) = (BTreeMap::new(), HashMap::new());
        for t in open {
            if said
                .insert(t.class.clone(), t.rules.clone())
                .is_none_or(|before| before != t.rules)
            {
                all.extend(rules(&t.class, &t.rules));
            }
            all.extend(encode_message(t));
            live.insert(t.no, WriteAheadLog::whole(t));
            for (attempt, done) in t.attempts.iter().enumerate() {
                all.extend(task(t.no, attempt, done.sent));
                if done.never_ran {
                    all.extend(never_ran(t.no, attempt));
                }
            }
            t.final_status
                .into_iter()
                .for_each(|notice| all.extend(ending(t.no, notice)));
        }
        let fresh = self.path.with_extension("new");
        let written = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(&fresh)
            .and_then(|mut f| {
                f.write_all(&all)?;
                std::fs::rename(&fresh, &self.path)?;
                Ok(f)
            });
        match written {
            Ok(file) => {
                self.file = Some(file);
                self.size = all.len() as u64;
                self.live_bytes = live.values().sum();
                (self.live, self.rules) = (live, said);
                true
            }
            Err(e) => {
                error!(error = ?e.kind(), "ledger compaction failed");
                let _ = std::fs::remove_file(&fresh);
                false
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder =
            std::env::temp_dir().join(format!("martenlatch-wal-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn some(no: u64, size: usize) -> MessageRecord {
        MessageRecord {
            no,
            id: Rc::from(format!("id{no}")),
            class: Rc::from("notice"),
            destination: 7,
            deadline: 1_796_121_600_016.25,
            key: Some(Rc::from("")),
            body: Rc::from(vec![9; size]),
            attempts: Vec::new(),
            final_status: None,
            rules: Rc::from([]),
        }
    }

    #[test]
    fn what_was_taken_on_comes_back_and_a_torn_tail_is_dropped() {
        let folder = folder("torn");
        let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
        for no in 0..3 {
            assert!(wal.append_message(&some(no, 200)));
        }
        assert!(wal.append_attempt(0, 0, 5.0) && wal.append_attempt(0, 1, 6.0));
        wal.append_never_ran(0, 0);
        wal.append_closed(1, &Rc::from("id1"));
        wal.append_final_status(2, FinalStatus::Deferred(Some(700)));
        assert!(wal.append_message(&some(3, 200)));
        drop(wal);
        let whole = std::fs::read(folder.join("ledger")).unwrap();
        std::fs::write(folder.join("ledger"), &whole[..whole.len() - 3]).unwrap();
        std::fs::write(folder.join("ledger.new"), b"cut short").unwrap();
        for _ in 0..2 {
            let (_, past) = WriteAheadLog::open(&folder, 3_000_000);
            assert_eq!(
                past.open.keys().copied().collect::<Vec<_>>(),
                [0, 2],
                "the torn one was not confirmed"
            );
            let first = &past.open[&0];
            let tasks = [
                AttemptRecord {
                    sent: 5.0,
                    never_ran: true,
                },
                AttemptRecord {
                    sent: 6.0,
                    never_ran: false,
                },
            ];
            assert_eq!(
                (first.attempts.as_slice(), first.key.as_deref()),
                (&tasks[..], Some(""))
            );
            assert_eq!(
                past.open[&2].final_status,
                Some(FinalStatus::Deferred(Some(700)))
            );
            assert_eq!((past.over.len(), &*past.over[0]), (1, "id1"));
            assert!(!folder.join("ledger.new").exists());
        }
    }

    #[test]
    fn an_unreadable_journal_is_left_alone_and_a_file_that_cannot_be_replaced_is_written_on() {
        let (unreadable, stuck) = (folder("unreadable"), folder("stuck"));
        std::fs::create_dir(unreadable.join("ledger")).unwrap();
        let (mut wal, _) = WriteAheadLog::open(&unreadable, 3_000_000);
        assert!(!wal.append_message(&some(1, 10)) && !wal.wants_compaction(1e15));
        assert!(unreadable.join("ledger").is_dir());
        assert!(
            WriteAheadLog::open(&stuck, 3_000_000)
                .0
                .append_message(&some(1, 10))
        );
        // A folder in the new file's place stands for a disk that has no room for it.
        std::fs::create_dir(stuck.join("ledger.new")).unwrap();
        let (mut wal, past) = WriteAheadLog::open(&stuck, 3_000_000);
        assert!(past.open.contains_key(&1) && wal.append_attempt(1, 0, 7.0));
        let (_, past) = WriteAheadLog::open(&stuck, 3_000_000);
        assert_eq!(past.open[&1].attempts.len(), 1);
    }

    #[test]
    fn a_ledger_of_another_version_is_left_as_it_is_and_no_work_is_taken_on() {
        // Guards what a later release has taken on, where an earlier one is started on its folder.
        let folder = folder("version");
        let later = b"mlatch2\nwhatever it holds".to_vec();
        std::fs::write(folder.join("ledger"), &later).unwrap();
        let (mut wal, past) = WriteAheadLog::open(&folder, 3_000_000);
        assert!(
            past.open.is_empty()
                && !wal.append_message(&some(1, 10))
                && !wal.wants_compaction(1e15)
        );
        assert_eq!(std::fs::read(folder.join("ledger")).unwrap(), later);
    }

    #[test]
    fn the_disk_limit_holds_with_old_and_new_file_and_full_means_refusing() {
        let (folder, disk) = (folder("full"), 1_000_000);
        let (mut wal, _) = WriteAheadLog::open(&folder, disk);
        let mut open = BTreeMap::new();
        let mut refused = 0;
        for no in 0..400 {
            let t = some(no, 4_000);
            match wal.append_message(&t) {
                true => drop(open.insert(no, t)),
                false => refused += 1,
            }
            if no % 3 == 0
                && let Some((no, t)) = open.pop_first()
            {
                wal.append_closed(no, &t.id);
            }
            if wal.wants_compaction(0.0) {
                let old = wal.size;
                assert!(wal.compact(open.values()));
                assert!(old + wal.size < disk, "{old} and {}", wal.size);
            }
        }
        assert!(refused > 0, "the limit was never met");
        assert!(
            wal.append_attempt(*open.keys().next().unwrap(), 0, 1.0),
            "what was taken on can still be sent"
        );
        let (_, past) = WriteAheadLog::open(&folder, disk);
        assert_eq!(past.open.len(), open.len());
    }

    #[test]
    fn a_task_that_begins_behind_a_compaction_may_have_run() {
        // Guards against a second effect: a compaction that meets it before it begins writes it as one that never ran.
        let folder =
            std::env::temp_dir().join(format!("martenlatch-wal-begins-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
        let tasks = vec![AttemptRecord {
            sent: 5.0,
            never_ran: true,
        }];
        let (id, class, body) = (Rc::from("a"), Rc::from("debit"), Rc::from(&b"x"[..]));
        let t = MessageRecord {
            no: 0,
            id,
            class,
            destination: 7,
            deadline: 9e3,
            key: None,
            body,
            attempts: tasks,
            final_status: None,
            rules: Rc::from([]),
        };
        assert!(wal.append_message(&t) && wal.compact(std::iter::once(&t)));
        assert_eq!(
            LogInspection::open(&folder).unwrap().past.open[&0].attempts,
            t.attempts,
            "it has not begun"
        );
        assert!(wal.append_attempt(0, 0, 6.0));
        let begun = [AttemptRecord {
            sent: 6.0,
            never_ran: false,
        }];
        assert_eq!(
            LogInspection::open(&folder).unwrap().past.open[&0].attempts,
            begun
        );
    }

    #[test]
    fn what_a_class_promised_at_intake_comes_back_whatever_the_name_stands_for_since() {
        let folder = folder("rules");
        let under = |no: u64, rules: &[u8]| MessageRecord {
            rules: Rc::from(rules),
            ..some(no, 100)
        };
        let lives = [
            [under(0, b"once"), under(1, b"once")],
            [under(2, b"safe"), under(3, b"safe")],
        ];
        for life in &lives {
            let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
            assert!(life.iter().all(|t| wal.append_message(t)));
        }
        // Also behind compactions, which write them all anew.
        for _ in 0..2 {
            let (_, past) = WriteAheadLog::open(&folder, 3_000_000);
            assert_eq!(past.open.into_values().collect::<Vec<_>>(), lives.concat());
        }
    }

    #[test]
    fn what_is_recorded_of_a_task_is_read_again_and_what_would_not_be_is_not_begun() {
        // Guards against a second effect under settings that allow more attempts than a wal keeps.
        let folder = folder("many");
        let (mut wal, _) = WriteAheadLog::open(&folder, 3_000_000);
        assert!(wal.append_message(&some(0, 10)));
        let begun = (0..2 * MAX_ATTEMPTS)
            .filter(|attempt| wal.append_attempt(0, *attempt, 5.0))
            .count();
        let read = &LogInspection::open(&folder).unwrap().past.open[&0].attempts;
        assert_eq!(
            (begun, read.iter().filter(|t| !t.never_ran).count()),
            (MAX_ATTEMPTS, MAX_ATTEMPTS)
        );
    }
}
