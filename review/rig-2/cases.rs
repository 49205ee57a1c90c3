//! The cases. Each returns the exit code of its script.

use super::*;

/// Settings of a small deployment: one sender with 60 slots, the two classes of the pages.
const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"WeightKind":"rough",
"Categories":[
{"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1,"LateWorth":0.4},
{"Name":"meter","Target":3000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"all","MemorySpan":6000000000,"Worth":1,"LateWorth":0.4}],
"FamilyInfo":{"CallsOut":60,"LosesWorth":"halving"},
"Limits":{"OpenCap":600,"AttemptsCap":8,"Cancel":true,"SecondCopies":true,"ConnectTimeout":1000000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":3000000000},
"Guarantees":{"StopSendingWithin":1000000000,"GraceToAnswer":20000000,"OverloadFactor":2,"OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

const RAMP: Ramp = Ramp { from: 0.22, cold: 9.2, factor: 2.0, window: 3.0 };

pub fn run(name: &str, record: &Record, trouble: bool) -> i32 {
    match name {
        "resets" => failback(record, trouble),
        "copies" => copies(record, trouble),
        _ => {
            eprintln!("no case {name}");
            2
        }
    }
}

const SMALL: u64 = 7;
const LARGE: u64 = 3;
/// Calls a second that destination 7 takes from all senders together.
const CAPACITY: f64 = 14.0;

/// An entry of the list for an endpoint that is in service.
fn target(uid: &str, address: SocketAddr, destination: u64, hint: f64) -> Target {
    let (uid, state) = (uid.into(), "in_service");
    Target { uid, address, destination, state, hint }
}

fn class(number: usize) -> &'static str {
    if number % 2 == 0 { "meter" } else { "debit" }
}

/// A destination fails all calls for 10 s and comes back cold; the next clump of messages for it follows.
fn failback(record: &Record, trouble: bool) -> i32 {
    let small = ColdDestination::new(CAPACITY, 0.35, RAMP);
    let large = ColdDestination::new(200.0, 0.35, RAMP);
    let failed = Arc::new(AtomicU64::new(0));
    let (destination, clock) = (small.clone(), record.clone());
    let handler: Handler = Arc::new(move |call| {
        let mut state = destination.state.lock().unwrap();
        if state.in_outage {
            return Reply::ResetAt(call.at + 0.1);
        }
        if let Some((counted, allowed)) = destination.count(&mut state, call.at) {
            let since = call.at - state.returned_at.unwrap_or(0.0);
            clock.line(format!("destination {SMALL} falls: {counted} calls within 3 s, {allowed:.1} allowed, {since:.2} s after its return"));
        }
        answer(&destination, &mut state, call)
    });
    let (destination, seen) = (small.clone(), failed.clone());
    let gave_up: GaveUp = Arc::new(move |_| {
        if destination.state.lock().unwrap().in_outage {
            seen.fetch_add(1, SeqCst);
        }
    });
    let first = Endpoint::start(record, "s-7", 17, handler, gave_up);
    let destination = large.clone();
    let handler: Handler = Arc::new(move |call| {
        let mut state = destination.state.lock().unwrap();
        answer(&destination, &mut state, call)
    });
    let second = Endpoint::start(record, "s-3", 13, handler, Arc::new(|_| {}));
    let targets = vec![
        target("s-7", first.address, SMALL, small.capacity),
        target("s-3", second.address, LARGE, large.capacity),
    ];
    let platform = Platform::start(record, 2, targets);
    // A sender of 120 messages a second at full load: 2.4 times the slots that these keep busy at 0.35 s each, room for
    // 8.3 s of them, and deadlines of 12 s.
    let limit = 12.0;
    let settings = SETTINGS
        .replace("\"CallsOut\":60", "\"CallsOut\":102")
        .replace("\"OpenCap\":600", "\"OpenCap\":1000")
        .replace("\"Deadline\":16000000000", "\"Deadline\":12000000000");
    let mut sender = Sender::start(record, &Setup::new(&platform, &settings));
    let clients = Clients::new(record, sender.address);

    let start = record.now();
    let (outage_at, returns_at) = (start + 8.0, start + 18.0);
    let (mut next_large, mut next_small) = (start, start);
    let (mut turn, mut began, mut returned, mut clumped) = (0, false, false, false);
    while record.now() < returns_at + 6.0 {
        let now = record.now();
        if sender.has_ended() {
            record.line("the sender has ended");
            return 2;
        }
        if trouble && !began && now >= outage_at {
            began = true;
            record.line("outage begins");
            small.begin_outage();
        }
        if trouble && !returned && now >= returns_at {
            returned = true;
            record.line(format!("outage ends; the sender has seen {} calls fail", failed.load(SeqCst)));
            small.end_outage(record.now());
        }
        if !clumped && now >= returns_at + 0.2 {
            clumped = true;
            record.line("a clump: as many messages as destination 7 takes in 3.5 s");
            for number in 0..(3.5 * CAPACITY) as usize {
                clients.submit(class(number), SMALL, limit);
            }
        }
        // The usual traffic: 48 messages a second, 40% of the full load.
        if now >= next_large {
            next_large += 1.0 / 45.0;
            turn += 1;
            clients.submit(class(turn), LARGE, limit);
        }
        if now >= next_small {
            next_small = now + 0.3;
            turn += 1;
            clients.submit(class(turn), SMALL, limit);
        }
        sleep(ms(2));
    }
    sender.signal(SIGKILL);
    sender.wait();
    sleep(ms(100));
    let failed = failed.load(SeqCst);
    let fallen = small.state.lock().unwrap().fallen_at;
    if trouble && failed == 0 {
        record.line("no call failed in the outage: nothing is shown");
        return 2;
    }
    // All calls come from this one sender.
    record.line(match fallen {
        Some(_) => format!("BROKEN: toppled by the sender that had seen {failed} calls fail in the outage"),
        None => "held".into(),
    });
    i32::from(fallen.is_some())
}

/// What a destination that is up answers. The way to the endpoint and back takes 15 ms each.
fn answer(destination: &ColdDestination, state: &mut ColdState, call: &Call) -> Reply {
    if state.fallen_at.is_some() {
        return Reply::Nothing;
    }
    match destination.serve(state, call.at) {
        Some(at) => Reply::Answer(at + 0.03, "200 OK\r\n".into()),
        None => Reply::Answer(call.at + 0.03, "503 Service Unavailable\r\n".into()),
    }
}

/// One answer in so many comes twice.
const COPIED: u64 = 4;

/// Some answers come twice, and a destination stops answering in the middle of a clump.
fn copies(record: &Record, trouble: bool) -> i32 {
    let hung = Flag::default();
    let served: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let answers = Arc::new(AtomicU64::new(0));
    let endpoint = |uid: &str, part: u8, capacity: f64, can_hang: bool| {
        let destination = ColdDestination::new(capacity, 0.35, RAMP);
        let (hung, served, answers) = (hung.clone(), served.clone(), answers.clone());
        let handler: Handler = Arc::new(move |call| {
            let Some(at) = destination.serve(&mut destination.state.lock().unwrap(), call.at) else {
                return Reply::Answer(call.at, "503 Service Unavailable\r\n".into());
            };
            let (id, hung, served, answers) = (call.id.clone(), hung.clone(), served.clone(), answers.clone());
            let decide = move || {
                if can_hang && hung.load(SeqCst) {
                    return None;
                }
                served.lock().unwrap().insert(id, at);
                let copied = trouble && answers.fetch_add(1, SeqCst) % COPIED == 0;
                Some(("200 OK\r\n".into(), copied))
            };
            Reply::Later(at, Box::new(decide))
        });
        let endpoint = Endpoint::start(record, uid, part, handler, Arc::new(|_| {}));
        network(endpoint.address, part + 1, ms(10))
    };
    // Destination 7 takes 45 calls a second; destination 3 stands for all others.
    let capacity = 45.0;
    let small = endpoint("s-7", 17, capacity, true);
    let large = endpoint("s-3", 13, 150.0, false);
    let targets = vec![target("s-7", small, SMALL, capacity), target("s-3", large, LARGE, 150.0)];
    let platform = Platform::start(record, 2, targets);
    let limit = 10.0;
    let settings = SETTINGS.replace("\"Deadline\":16000000000", "\"Deadline\":10000000000");
    let mut sender = Sender::start(record, &Setup::new(&platform, &settings));
    let clients = Clients::new(record, sender.address);
    let start = record.now();
    let (clump_at, hang_at, stop, end) = (start + 18.0, start + 20.0, start + 21.0, start + 32.0);
    let (mut next, mut turn, mut clumped) = (start, 0, false);
    while record.now() < end {
        let now = record.now();
        if !clumped && now >= clump_at {
            clumped = true;
            record.line("a clump: as many messages as destination 7 takes in 3.5 s");
            for number in 0..(3.5 * capacity) as usize {
                clients.submit(class(number), SMALL, limit);
                if number % 8 == 7 {
                    sleep(ms(1));
                }
            }
        }
        if now >= hang_at && !hung.load(SeqCst) {
            record.line("destination 7 takes calls and answers none from now on");
            hung.store(true, SeqCst);
        }
        // The usual traffic: 50 messages a second, a tenth of them for destination 7.
        if now >= next && now < stop {
            next += 0.02;
            turn += 1;
            clients.submit(class(turn / 10 + turn), if turn % 10 == 0 { SMALL } else { LARGE }, limit);
        }
        sleep(ms(2));
    }
    if sender.has_ended() {
        record.line("the sender has ended");
        return 2;
    }
    sender.signal(SIGKILL);
    sender.wait();
    sleep(ms(100));
    let accepted = clients.accepted.lock().unwrap();
    let served = served.lock().unwrap();
    let notices = platform.notices.lock().unwrap();
    let mut lost = 0;
    for (id, at) in accepted.iter() {
        let due = at + limit + 0.35;
        let ended = notices.iter().any(|notice| notice.text.contains(id.as_str()) && notice.at <= due);
        if !served.contains_key(id) && !ended {
            record.line(format!("LOST {id}: taken on at {at:.3}, neither delivered nor ended by a notice by {due:.3}"));
            lost += 1;
        }
    }
    record.line(format!(
        "{} messages taken on, {} delivered, {} notices, {lost} lost",
        accepted.len(),
        accepted.keys().filter(|id| served.contains_key(*id)).count(),
        notices.len()
    ));
    record.line(if lost > 0 { "BROKEN" } else { "held" });
    i32::from(lost > 0)
}
