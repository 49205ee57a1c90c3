//! Random load on a sender whose endpoints write some answers more than once, and a count of what became of each message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;

use super::endpoint::{endpoint_entry_of, endpoint_list};
use super::from_environment;
use super::http::{try_exchange, try_exchange_on};
use super::platform::Platform;
use super::sender::Sender;
use super::timed_endpoint::{TimedEndpoint, TimedWrite};
use super::withdrawals::{Withdrawals, WithdrawnMessages};

/// Requests per second of all clients together.
const REQUESTS_PER_SECOND: f64 = 55.0;
/// The time of each message, which its client sends.
const TIMEOUT_HEADER: &str = "3.0";
/// When all messages have ended: their time and the platform's tolerance.
const END_WAIT: Duration = Duration::from_millis(4_000);
/// The mean of what is added to the shortest service time, as a share of it.
const EXTRA_SERVICE: f64 = 0.5;
/// The longest delay of a request that is written again, behind its answer, in seconds.
const LONGEST_REQUEST_DELAY: f64 = 1.0;
/// How much longer a slow answer takes.
const SLOW_FACTOR: f64 = 10.0;
/// Bytes that are no answer.
const JUNK: &str = "\r\nno answer at all\r\n\r\n";
/// The destinations, each with two endpoints.
const DESTINATIONS: [u64; 2] = [7, 8];
/// The fewest bytes of a copy that is cut off.
const SHORTEST_COPY: usize = 12;

/// Which answers are written again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Copies {
    /// None.
    Nothing,
    /// Answers with status 200.
    Successes,
    /// Answers of any status.
    AnyAnswer,
    /// One of the last three answers of the connection.
    OneOfLastThree,
    /// The first bytes of an answer of any status.
    FirstBytes,
    /// Bytes that are no answer, in place of a copy.
    Junk,
}

/// What happens to the sender's process again and again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Interruptions {
    Nothing,
    /// It is killed and started again.
    Kills,
    /// It gets SIGTERM and is started again.
    Terminations,
    /// Another process replaces it.
    Replacements,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub seed: u64,
    pub copies: Copies,
    /// The share of answers after which a copy is written.
    pub share: f64,
    /// The longest delay of a copy behind its answer, in milliseconds.
    pub span: f64,
    pub duration: Duration,
    /// What happens to the sender's process every 1 to 2.5 s.
    pub interruptions: Interruptions,
    /// The shortest time in which an endpoint answers, in milliseconds.
    pub service: f64,
    /// The share of requests that are answered 503.
    pub rejected_share: f64,
    /// The share of requests that are not answered.
    pub hanging_share: f64,
    /// The messages that are over.
    pub withdrawals: Withdrawals,
    /// The share of requests that are answered 500.
    pub failed_share: f64,
    /// The share of answers that take [`SLOW_FACTOR`] times as long.
    pub slow_share: f64,
    /// Whether each answer has a body of its own.
    pub distinct_answers: bool,
    /// Whether the platform confirms some reports twice and ends the connection under others.
    pub unreliable_platform: bool,
    /// The share of requests that a client writes a second time on its connection.
    pub repeated_requests: f64,
}

impl Default for Workload {
    /// Four endpoints that repeat nothing and take 60 ms or more.
    fn default() -> Workload {
        Workload {
            seed: 1,
            copies: Copies::Nothing,
            share: 0.0,
            span: 50.0,
            duration: Duration::from_secs(4),
            interruptions: Interruptions::Nothing,
            service: 60.0,
            rejected_share: 0.15,
            hanging_share: 0.0,
            withdrawals: Withdrawals::default(),
            failed_share: 0.02,
            slow_share: 0.0,
            distinct_answers: false,
            unreliable_platform: false,
            repeated_requests: 0.0,
        }
    }
}

/// What became of the messages of a run.
#[derive(Debug, Default)]
pub struct Tally {
    pub accepted: usize,
    pub delivered: usize,
    /// Accepted, and neither delivered nor reported.
    pub lost: Vec<String>,
    /// Non-idempotent and run more than once.
    pub run_twice: Vec<String>,
    pub calls: usize,
    pub connections: usize,
    pub copies: usize,
    /// Reported although they had been delivered.
    pub needless_reports: usize,
    /// Answered with 410.
    pub withdrawn: usize,
    /// Sent again although they had been answered with 410, and how long after that.
    pub sent_after_end: Vec<(String, Duration)>,
}

/// What the endpoints have done with each message.
#[derive(Default)]
struct Calls {
    runs: BTreeMap<String, usize>,
    delivered: BTreeMap<String, usize>,
    count: usize,
    copies: usize,
    /// The answers of each connection, by endpoint and connection.
    answers: BTreeMap<(usize, usize), Vec<String>>,
}

impl Workload {
    /// The workload with the seed and the duration that the environment asks for.
    pub fn with_environment(self) -> Workload {
        let seconds = from_environment("MARTENLATCH_WORKLOAD_SECONDS", self.duration.as_secs());
        Workload {
            seed: from_environment("MARTENLATCH_WORKLOAD_SEED", self.seed),
            duration: Duration::from_secs(seconds),
            ..self
        }
    }

    /// Runs the load and counts the ends of all accepted messages.
    pub fn run(self, test: &str) -> Tally {
        println!("{self:?}");
        let calls = Arc::new(Mutex::new(Calls::default()));
        let withdrawn = WithdrawnMessages::default();
        let endpoints: Vec<TimedEndpoint> = (0..2 * DESTINATIONS.len())
            .map(|number| self.endpoint(number, calls.clone(), withdrawn.clone()))
            .collect();
        let entries: Vec<String> = endpoints
            .iter()
            .enumerate()
            .map(|(number, endpoint)| {
                let name = format!("s-{number}");
                endpoint_entry_of(DESTINATIONS[number / 2], &name, endpoint.address)
            })
            .collect();
        let platform = match self.unreliable_platform {
            true => Platform::unreliable(self.seed),
            false => Platform::new(&[]),
        };
        let settings = write_settings(test);
        let known_endpoints = endpoint_list(1, true, &entries);
        let mut sender = Sender::start_named(test, &platform, &known_endpoints, "n0", &settings);
        sender.change_config("\"CallsOut\":8", "\"CallsOut\":20");
        sender.change_config("\"OpenCap\":50", "\"OpenCap\":229");
        sender = sender.kill_and_restart();
        let (accepted, _sender) = self.submit_all(sender, &withdrawn);
        thread::sleep(END_WAIT);
        let reported: Vec<String> = platform.status_reports.try_iter().collect();
        let connections = endpoints
            .iter()
            .map(|endpoint| endpoint.connections.load(Ordering::SeqCst))
            .sum();
        let calls = calls.lock().unwrap();
        tally(&accepted, &calls, &reported, connections, &withdrawn)
    }

    fn endpoint(
        self,
        number: usize,
        calls: Arc<Mutex<Calls>>,
        withdrawn: WithdrawnMessages,
    ) -> TimedEndpoint {
        let rng = Mutex::new(Pcg64::seed_from_u64(self.seed ^ ((number as u64) << 32)));
        let withdrawal_rng = Mutex::new(Pcg64::seed_from_u64(
            self.seed.rotate_left(16) ^ ((number as u64) << 32),
        ));
        let slow_rng = Mutex::new(Pcg64::seed_from_u64(!self.seed ^ ((number as u64) << 32)));
        TimedEndpoint::new(move |request| {
            // The sender of a test that has ended may still watch its list at an address that is an endpoint's by now.
            if !request.first_line.starts_with("POST /v1/messages ") {
                return Vec::new();
            }
            let mut calls = calls.lock().unwrap();
            let mut rng = rng.lock().unwrap();
            let id = request.id().to_string();
            calls.count += 1;
            let mut withdrawal_rng = withdrawal_rng.lock().unwrap();
            if let Some(writes) =
                withdrawn.answer(&self.withdrawals, &id, self.service, &mut withdrawal_rng)
            {
                return writes;
            }
            let draw = rng.random::<f64>();
            let status = match draw {
                _ if draw < self.rejected_share => 503,
                _ if draw < self.rejected_share + self.failed_share => 500,
                _ => 200,
            };
            if status == 200 && withdrawal_rng.random::<f64>() < self.hanging_share {
                *calls.runs.entry(id).or_default() += 1;
                return Vec::new();
            }
            if status != 503 {
                *calls.runs.entry(id.clone()).or_default() += 1;
            }
            if status == 200 {
                *calls.delivered.entry(id).or_default() += 1;
            }
            let body = if self.distinct_answers {
                format!("{:016x}", rng.random::<u64>())
            } else {
                String::new()
            };
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}");
            let extra: f64 = Exp::new(1.0).unwrap().sample(&mut *rng);
            let usual = self.service * (1.0 + EXTRA_SERVICE * extra);
            let is_slow = slow_rng.lock().unwrap().random::<f64>() < self.slow_share;
            let service = if is_slow { usual * SLOW_FACTOR } else { usual };
            let earlier = calls
                .answers
                .entry((number, request.connection))
                .or_default();
            earlier.push(answer.clone());
            let copy = self.copy(status, earlier, &mut rng);
            let mut writes = vec![write_at(service, answer)];
            if let Some(copy) = copy {
                calls.copies += 1;
                let delay = rng.random_range(0.0..self.span);
                writes.push(write_at(service + delay, copy));
            }
            writes
        })
    }

    /// The copy that follows the latest of the answers of a connection, if one follows.
    fn copy(self, status: u16, answers: &[String], rng: &mut Pcg64) -> Option<String> {
        let is_copied = match self.copies {
            Copies::Nothing => false,
            Copies::Successes => status == 200,
            Copies::AnyAnswer | Copies::OneOfLastThree | Copies::FirstBytes | Copies::Junk => true,
        };
        if !is_copied || rng.random::<f64>() >= self.share {
            return None;
        }
        let latest = answers.last()?;
        match self.copies {
            Copies::OneOfLastThree => {
                let first = answers.len().saturating_sub(3);
                Some(answers[rng.random_range(first..answers.len())].clone())
            }
            Copies::FirstBytes => {
                let length = rng.random_range(SHORTEST_COPY..latest.len());
                Some(latest[..length].to_string())
            }
            Copies::Junk => Some(JUNK.to_string()),
            _ => Some(latest.clone()),
        }
    }

    /// Submits messages at random times, half of them non-idempotent. Returns the ids of the accepted ones.
    fn submit_all(
        self,
        mut sender: Sender,
        withdrawn: &WithdrawnMessages,
    ) -> (Vec<String>, Sender) {
        let mut rng = Pcg64::seed_from_u64(self.seed);
        let mut repeat_rng = Pcg64::seed_from_u64(!self.seed);
        let accepted = Arc::new(Mutex::new(Vec::new()));
        let started = Instant::now();
        let mut next_kill = rng.random_range(1.0..2.5);
        let submitted = AtomicUsize::new(0);
        let mut clients = Vec::new();
        let mut at = 0.0;
        while at < self.duration.as_secs_f64() {
            at += Exp::new(REQUESTS_PER_SECOND).unwrap().sample(&mut rng);
            thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
            if self.interruptions != Interruptions::Nothing && at > next_kill {
                sender = self.interruptions.perform(sender, withdrawn);
                next_kill = started.elapsed().as_secs_f64() + rng.random_range(1.0..2.5);
            }
            let number = submitted.fetch_add(1, Ordering::Relaxed);
            let class = if rng.random::<bool>() {
                "debit"
            } else {
                "meter"
            };
            let id = format!("{class}-{number}");
            let destination = DESTINATIONS[rng.random_range(0..DESTINATIONS.len())];
            let text = format!(
                "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Timeout: {TIMEOUT_HEADER}\r\n\
                 Idempotency-Key: k-{id}\r\nContent-Length: 2\r\nX-Route-To: dest={destination}\r\n\r\nhi"
            );
            let is_repeated = repeat_rng.random::<f64>() < self.repeated_requests;
            let delay = repeat_rng.random_range(0.0..LONGEST_REQUEST_DELAY);
            let delay = Duration::from_secs_f64(delay);
            let client = Client {
                address: sender.address,
                text,
                repeat_after: is_repeated.then_some(delay),
            };
            let accepted = accepted.clone();
            clients.push(thread::spawn(move || {
                if client.submit() {
                    accepted.lock().unwrap().push(id);
                }
            }));
        }
        for client in clients {
            client.join().unwrap();
        }
        let accepted = std::mem::take(&mut *accepted.lock().unwrap());
        (accepted, sender)
    }
}

impl Interruptions {
    fn perform(self, mut sender: Sender, withdrawn: &WithdrawnMessages) -> Sender {
        match self {
            Interruptions::Nothing => sender,
            Interruptions::Kills => {
                withdrawn.note_kill();
                sender.kill_and_restart()
            }
            Interruptions::Terminations => sender.terminate_and_restart(),
            Interruptions::Replacements => {
                sender.replace();
                sender
            }
        }
    }
}

/// The client of one message.
struct Client {
    address: SocketAddr,
    text: String,
    /// When the request is written again on its connection, counted from its answer.
    repeat_after: Option<Duration>,
}

impl Client {
    /// Submits the message. Returns whether it was accepted.
    fn submit(self) -> bool {
        let Some((mut connection, status)) = try_exchange(self.address, &self.text) else {
            return false;
        };
        let mut is_accepted = status == 202;
        if let Some(delay) = self.repeat_after {
            thread::sleep(delay);
            let status = try_exchange_on(&mut connection, &self.text);
            is_accepted |= status == Some(202);
        }
        is_accepted
    }
}

/// Writes settings with which the sender logs so little that its log, which nobody reads, does not block it; or all it
/// can, if the log goes to a file.
fn write_settings(test: &str) -> PathBuf {
    let name = format!("martenlatch-{test}-{}.textproto", std::process::id());
    let file = std::env::temp_dir().join(name);
    let log = match std::env::var("MARTENLATCH_TEST_LOG") {
        Ok(_) => "log { level: TRACE lines_per_second: 10000 }\n",
        Err(_) => "log { level: ERROR }\n",
    };
    std::fs::write(&file, log).unwrap();
    file
}

fn write_at(milliseconds: f64, bytes: String) -> TimedWrite {
    TimedWrite::at(milliseconds, &bytes)
}

fn tally(
    accepted: &[String],
    calls: &Calls,
    reports: &[String],
    connections: usize,
    withdrawn: &WithdrawnMessages,
) -> Tally {
    let mut tally = Tally {
        withdrawn: withdrawn.count(),
        sent_after_end: withdrawn.sent_after_end(),
        accepted: accepted.len(),
        calls: calls.count,
        copies: calls.copies,
        connections,
        ..Tally::default()
    };
    let reported: std::collections::BTreeSet<&str> = reports
        .iter()
        .filter_map(|line| line.split('"').nth(3))
        .collect();
    for id in accepted {
        let delivered = calls.delivered.contains_key(id);
        let is_reported = reported.contains(id.as_str());
        tally.delivered += usize::from(delivered);
        tally.needless_reports += usize::from(delivered && is_reported);
        if !delivered && !is_reported && !withdrawn.contains(id) {
            tally.lost.push(id.clone());
        }
        let runs = calls.runs.get(id).copied().unwrap_or(0);
        if id.starts_with("debit") && runs > 1 {
            tally.run_twice.push(id.clone());
        }
    }
    tally
}
