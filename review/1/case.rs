//! Case 1: a second copy of a refusal is taken for the answer to the next direct debit, which then runs twice.

#[path = "../common/mod.rs"]
mod common;
use common::*;

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Partners with an endpoint each; each gets one clump of messages.
const PARTNERS: u64 = 4;
/// One way of the network between sender and endpoint, in milliseconds (the site: 5 to 15).
const ONE_WAY: u64 = 5;
/// How long behind a refusal its second copy is written, in milliseconds.
const COPY_AFTER: u64 = 10;
/// Calls that the endpoint works on and queues; more are refused.
const QUEUE: usize = 5;
/// Times of calls, in milliseconds: the usual ones, the first of a clump, and of one message in a clump (17 times the usual).
const USUAL: u64 = 120;
const SHORT: u64 = 12;
const LONG: u64 = 2_040;
/// The quiet time before the clumps, the time between two of them, and their size.
const QUIET_MESSAGES: u64 = 80;
const QUIET_UNTIL: f64 = 22_000.0;
const CLUMP_EVERY: f64 = 4_000.0;
const CLUMP: u64 = 24;

const SETTINGS: &str = r#"{"Areas":["swansea-dc"],"Zone":"swansea-dc","Balancers":1,
"Kinds":["payment-processor","housing-assoc","council"],"WeightKind":"rough","RegistryMode":"push","Tick":5000000,
"Categories":[
{"Name":"direct-debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1,"LateWorth":0.4,"Stream":false},
{"Name":"meter-reading","Target":3000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"all","MemorySpan":6000000000,"Worth":1,"LateWorth":0.4,"Stream":false}],
"FamilyInfo":{"CallsOut":12,"LosesWorth":"halving","OwnLimits":[false,false,false],"PerCall":[1,1,1],"Toll":[0],"TurnedAwayPrice":0.05},
"Deductions":{"Handshake":0.06,"Waste":0.05,"LateFail":0.024},
"Limits":{"OpenCap":229,"AttemptsCap":8,"Cancel":true,"SecondCopies":true,"Probes":false,"ConnectTimeout":1000000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":3000000000},
"Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000}}"#;

/// The endpoint of a partner, behind a network that delays each way.
struct Endpoint {
    world: Arc<World>,
    partner: u64,
    in_work: Mutex<usize>,
    /// When the last second copy was written, in milliseconds of the run.
    copied_at: Mutex<f64>,
    /// The times at which each message ran.
    runs: Mutex<BTreeMap<String, Vec<f64>>>,
    copies: AtomicU64,
    slow: AtomicU64,
}

impl Endpoint {
    fn answer(&self, status: u16) -> Vec<u8> {
        // Each answer has a line of its own, so that only a second copy equals an earlier answer.
        let now = self.world.now();
        format!("HTTP/1.1 {status} X\r\nX-Answer: {now:.3}\r\nContent-Length: 0\r\n\r\n")
            .into_bytes()
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut http = Http::new(stream);
        let arrivals = Arc::new(AtomicU64::new(0));
        let was_refused = Arc::new(AtomicBool::new(false));
        while let Ok(call) = http.read(std::time::Duration::from_secs(30)) {
            // The last byte reaches the endpoint.
            sleep_ms(ONE_WAY);
            arrivals.fetch_add(1, Ordering::SeqCst);
            let id = call.header("x-request-id").to_string();
            let mut in_work = self.in_work.lock().unwrap();
            if *in_work >= QUEUE {
                drop(in_work);
                let Ok(stream) = http.stream.try_clone() else {
                    return;
                };
                let (endpoint, arrivals, was_refused) =
                    (self.clone(), arrivals.clone(), was_refused.clone());
                thread::spawn(move || {
                    endpoint.refuse(Http::new(stream), &id, &arrivals, &was_refused)
                });
                continue;
            }
            let is_first = *in_work == 0 && self.world.now() > QUIET_UNTIL;
            *in_work += 1;
            drop(in_work);
            self.world
                .note(format!("endpoint {}: runs id={id}", self.partner));
            self.runs
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(self.world.now());
            // One message of a clump takes long: the one behind the refusal.
            let time = if was_refused.swap(false, Ordering::SeqCst) {
                self.slow.fetch_add(1, Ordering::SeqCst);
                LONG
            } else if is_first {
                SHORT
            } else {
                USUAL
            };
            sleep_ms(time);
            *self.in_work.lock().unwrap() -= 1;
            let answer = self.answer(200);
            self.world
                .note(format!("endpoint {}: 200 id={id}", self.partner));
            sleep_ms(ONE_WAY);
            if !http.write(&answer) {
                return;
            }
        }
    }

    /// Refuses a call as the queue is full. Once in a clump a second copy follows right behind, unless something waits on
    /// the connection by then.
    fn refuse(&self, mut http: Http, id: &str, arrivals: &AtomicU64, was_refused: &AtomicBool) {
        let before = arrivals.load(Ordering::SeqCst);
        let written_at = self.world.now();
        let answer = self.answer(503);
        self.world
            .note(format!("endpoint {}: 503 id={id}", self.partner));
        let repeats = {
            let mut copied_at = self.copied_at.lock().unwrap();
            let due = written_at > QUIET_UNTIL && written_at > *copied_at + 2_000.0;
            if due {
                *copied_at = written_at;
            }
            due
        };
        was_refused.store(repeats, Ordering::SeqCst);
        self.world.sleep_until(written_at + ONE_WAY as f64);
        if !http.write(&answer) || !repeats || !has_trouble() {
            return;
        }
        self.world.sleep_until(written_at + COPY_AFTER as f64);
        if arrivals.load(Ordering::SeqCst) != before {
            self.world.note(format!(
                "endpoint: no second copy behind id={id}, a call waits"
            ));
            return;
        }
        self.copies.fetch_add(1, Ordering::SeqCst);
        self.world
            .note(format!("endpoint: second copy of the 503 to id={id}"));
        self.world
            .sleep_until(written_at + (COPY_AFTER + ONE_WAY) as f64);
        http.write(&answer);
    }
}

fn main() {
    let world = World::new();
    let machine = Machine::new(&world);
    let mut endpoints = Vec::new();
    let mut targets = Vec::new();
    for partner in 0..PARTNERS {
        let endpoint = Arc::new(Endpoint {
            world: world.clone(),
            partner,
            in_work: Mutex::new(0),
            copied_at: Mutex::new(0.0),
            runs: Mutex::default(),
            copies: AtomicU64::new(0),
            slow: AtomicU64::new(0),
        });
        let listener = world.listen();
        targets.push(Target {
            uid: format!("s-{partner}"),
            endpoint: listener.local_addr().unwrap(),
            az: "swansea-dc".into(),
            model: "payment-processor".into(),
            pod_group: partner,
            state: "in_service".into(),
            capacity_hint: 400.0,
            boot_ms: 0,
        });
        endpoints.push(endpoint.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = endpoint.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
    }
    let agent = Agent::start(&world, targets.clone());
    machine.configure(agent.address, &list_json(1, true, &targets), SETTINGS);
    let mut process = machine.start("sender", None);
    machine.wait_until_ready(30_000);

    let taken_on = Arc::new(AtomicU64::new(0));
    let mut client = Client::new(machine.listen);
    let hand_in = |client: &mut Client, id: String, partner: u64| {
        let heard = client.hand_in("direct-debit", &id, partner, 16.0, None, b"debit");
        world.note(format!("client: id={id} {heard:?}"));
        if heard == Heard::Status(202) {
            taken_on.fetch_add(1, Ordering::SeqCst);
        }
    };
    for count in 0..QUIET_MESSAGES {
        hand_in(&mut client, format!("00{count:014x}"), count % PARTNERS);
        sleep_ms(130);
    }
    let first_clump = world.now().max(QUIET_UNTIL + 500.0);
    let workers: Vec<_> = (0..CLUMP)
        .map(|number| {
            let (world, listen, taken_on) = (world.clone(), machine.listen, taken_on.clone());
            thread::spawn(move || {
                let mut client = Client::new(listen);
                for clump in 0..PARTNERS {
                    world.sleep_until(first_clump + clump as f64 * CLUMP_EVERY);
                    let id = format!("{:02x}{number:014x}", clump + 1);
                    let heard = client.hand_in("direct-debit", &id, clump, 16.0, None, b"debit");
                    world.note(format!("client: id={id} {heard:?}"));
                    if heard == Heard::Status(202) {
                        taken_on.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    sleep_ms(6_000);

    let mut twice = 0;
    let (mut copies, mut slow) = (0, 0);
    for endpoint in &endpoints {
        copies += endpoint.copies.load(Ordering::SeqCst);
        slow += endpoint.slow.load(Ordering::SeqCst);
        for (id, times) in endpoint
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, times)| times.len() > 1)
        {
            twice += 1;
            world.note(format!(
                "ran {} times: id={id} at {times:.0?} ms",
                times.len()
            ));
        }
    }
    if let Some(status) = process.ended() {
        machine.finish(BROKEN, &format!("the sender has ended: {status}"));
    }
    let text = format!(
        "{} direct debits taken on, {copies} second copies, {slow} slow calls, {twice} direct debits ran more than once",
        taken_on.load(Ordering::SeqCst),
    );
    machine.finish(if twice > 0 { BROKEN } else { HELD }, &text)
}
