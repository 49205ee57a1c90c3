//! Messages of a workload that are over before they are delivered: their endpoints answer 410.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::from_environment;
use super::timed_endpoint::{AfterWrite, TimedWrite};

/// The answer for a message that is over. All of them have the same bytes.
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone";
/// The fewest bytes of an answer that is cut off, which have its status.
const SHORTEST_PART: usize = "HTTP/1.1 410 Gone\r\n".len();
/// The longest time from an answer to the end of its connection, to its copy or to its second piece, in milliseconds.
const LONGEST_PAUSE: f64 = 400.0;
/// The usual time, in milliseconds, within which a busy sender reads an answer. A request that comes sooner may have been
/// written before that, and a kill that comes sooner may have prevented it.
const USUAL_READING_TIME: u64 = 300;

/// The shares of the messages that are over, and of what happens to the answers that say so.
#[derive(Clone, Copy, Debug, Default)]
pub struct Withdrawals {
    /// The share of the messages that are over from the hand-in on.
    pub at_once: f64,
    /// The share of the messages that are over from their second request on.
    pub later: f64,
    /// The share of the answers whose connections end behind them.
    pub ended: f64,
    /// The share whose connections are reset at once.
    pub reset: f64,
    /// The share that is written twice.
    pub copied: f64,
    /// The share that is cut off, with the end of the connection.
    pub cut_off: f64,
    /// The share that is written in two pieces.
    pub in_pieces: f64,
}

/// When the endpoints have said that messages are over, and the requests that came too late.
#[derive(Clone, Default)]
pub struct WithdrawnMessages(Arc<Mutex<Ends>>);

#[derive(Default)]
struct Ends {
    requests: BTreeMap<String, usize>,
    gone_at: BTreeMap<String, Instant>,
    sent_after_end: Vec<(String, Instant, Duration)>,
    kills: Vec<Instant>,
}

impl Withdrawals {
    /// Whether a message is over at its request with this number, from 0.
    fn is_over(&self, id: &str, request: usize) -> bool {
        let seed = id
            .bytes()
            .fold(17u64, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte));
        let draw = Pcg64::seed_from_u64(seed).random::<f64>();
        draw < self.at_once || (request > 0 && draw < self.at_once + self.later)
    }

    /// What the endpoint writes for a message that is over, after its service time in milliseconds.
    fn writes(&self, service: f64, rng: &mut Pcg64) -> Vec<TimedWrite> {
        let pause = rng.random_range(0.0..LONGEST_PAUSE);
        let draw = rng.random::<f64>();
        let mut bound = 0.0;
        let mut is_drawn = |share: f64| {
            bound += share;
            draw < bound
        };
        let first = |bytes: &str| TimedWrite::at(service, bytes);
        let second = |bytes: &str| TimedWrite::at(service + pause, bytes);
        let ending = |then| TimedWrite { then, ..second("") };
        if is_drawn(self.ended) {
            vec![first(GONE), ending(AfterWrite::Close)]
        } else if is_drawn(self.reset) {
            let reset = TimedWrite {
                then: AfterWrite::Reset,
                ..first(GONE)
            };
            vec![reset]
        } else if is_drawn(self.copied) {
            vec![first(GONE), second(GONE)]
        } else if is_drawn(self.cut_off) {
            let length = rng.random_range(SHORTEST_PART..GONE.len());
            let cut_off = TimedWrite {
                then: AfterWrite::Close,
                ..first(&GONE[..length])
            };
            vec![cut_off]
        } else if is_drawn(self.in_pieces) {
            let length = rng.random_range(SHORTEST_PART..GONE.len());
            vec![first(&GONE[..length]), second(&GONE[length..])]
        } else {
            vec![first(GONE)]
        }
    }
}

impl WithdrawnMessages {
    /// Notes a request, and returns what is written for it if its message is over.
    pub fn answer(
        &self,
        withdrawals: &Withdrawals,
        id: &str,
        service: f64,
        rng: &mut Pcg64,
    ) -> Option<Vec<TimedWrite>> {
        let mut ends = self.0.lock().unwrap();
        if let Some(gone_at) = ends.gone_at.get(id).copied() {
            let distance = gone_at.elapsed();
            ends.sent_after_end
                .push((id.to_string(), gone_at, distance));
        }
        let request = ends.requests.entry(id.to_string()).or_default();
        let number = *request;
        *request += 1;
        if !withdrawals.is_over(id, number) {
            return None;
        }
        let mut writes = withdrawals.writes(service, rng);
        let messages = self.clone();
        let id = id.to_string();
        if let Some(first) = writes.first_mut() {
            first.when_written = Some(Box::new(move || messages.note_end(id)));
        }
        Some(writes)
    }

    fn note_end(&self, id: String) {
        let mut ends = self.0.lock().unwrap();
        ends.gone_at.entry(id).or_insert_with(Instant::now);
    }

    /// Notes that the sender is killed now.
    pub fn note_kill(&self) {
        self.0.lock().unwrap().kills.push(Instant::now());
    }

    /// Whether an endpoint has said that a message is over.
    pub fn contains(&self, id: &str) -> bool {
        self.0.lock().unwrap().gone_at.contains_key(id)
    }

    /// The messages with a request behind the answer that they are over, and how far behind it. A request counts that was
    /// surely sent after the answer was read, unless the sender was killed before it could read it.
    pub fn sent_after_end(&self) -> Vec<(String, Duration)> {
        let milliseconds = from_environment("MARTENLATCH_READING_MS", USUAL_READING_TIME);
        let reading_time = Duration::from_millis(milliseconds);
        let ends = self.0.lock().unwrap();
        let unread = |gone_at: Instant| {
            let since = |kill: &Instant| kill.saturating_duration_since(gone_at);
            let mut kills = ends.kills.iter();
            kills.any(|kill| *kill + reading_time > gone_at && since(kill) < reading_time)
        };
        ends.sent_after_end
            .iter()
            .filter(|(_, gone_at, distance)| *distance > reading_time && !unread(*gone_at))
            .map(|(id, _, distance)| (id.clone(), *distance))
            .collect()
    }

    /// The number of messages that an endpoint has called over.
    pub fn count(&self) -> usize {
        self.0.lock().unwrap().gone_at.len()
    }
}
