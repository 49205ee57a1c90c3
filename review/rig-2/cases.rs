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
        "old-list" => old_list(record, trouble),
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
fn target(uid: &str, endpoint: &Endpoint, destination: u64, hint: f64) -> Target {
    let (uid, address, state) = (uid.into(), endpoint.address, "in_service");
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
        target("s-7", &first, SMALL, small.capacity),
        target("s-3", &second, LARGE, large.capacity),
    ];
    let platform = Platform::start(record, 2, targets);
    // 2.4 times the slots that 120 messages a second of 0.35 s keep busy.
    let settings = SETTINGS.replace("\"CallsOut\":60", "\"CallsOut\":102");
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
                clients.submit(class(number), SMALL, 16.0);
            }
        }
        if now >= next_large {
            next_large += 0.05;
            turn += 1;
            clients.submit(class(turn), LARGE, 16.0);
        }
        if now >= next_small {
            next_small = now + 0.3;
            turn += 1;
            clients.submit(class(turn), SMALL, 16.0);
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

/// An endpoint begins to drain while the sender is down, and discovery is down when it starts again.
fn old_list(record: &Record, trouble: bool) -> i32 {
    let draining = Flag::default();
    let calls: Arc<Mutex<Vec<f64>>> = Arc::default();
    let (drains, seen) = (draining.clone(), calls.clone());
    let leaving: Handler = Arc::new(move |call| {
        if drains.load(SeqCst) {
            seen.lock().unwrap().push(call.at);
            return Reply::Answer(call.at + 0.02, "503 Service Unavailable\r\n".into());
        }
        Reply::Answer(call.at + 0.3, "200 OK\r\n".into())
    });
    let staying: Handler = Arc::new(|call| Reply::Answer(call.at + 0.3, "200 OK\r\n".into()));
    let nobody: GaveUp = Arc::new(|_| {});
    let first = Endpoint::start(record, "s-1", 11, leaving, nobody.clone());
    let second = Endpoint::start(record, "s-2", 12, staying, nobody);
    let targets = vec![target("s-1", &first, SMALL, 60.0), target("s-2", &second, SMALL, 60.0)];
    let platform = Platform::start(record, 2, targets);
    let mut sender = Sender::start(record, &Setup::new(&platform, SETTINGS));
    let clients = Clients::new(record, sender.address);
    let stop = Flag::default();
    let (traffic, stopped) = (clients.clone(), stop.clone());
    let clients_run = thread::spawn(move || {
        for number in 0.. {
            if stopped.load(SeqCst) {
                return;
            }
            traffic.submit(class(number), SMALL, 16.0);
            sleep(ms(100));
        }
    });
    record.until(6.0);
    sender.signal(SIGKILL);
    sender.wait();
    let killed = record.now();
    record.until(killed + 0.1);
    draining.store(true, SeqCst);
    platform.change(&[Target { state: "terminating", ..target("s-1", &first, SMALL, 60.0) }]);
    record.until(killed + 0.3);
    if trouble {
        record.line("discovery is down: the agent is silent");
        platform.silent.store(true, SeqCst);
    }
    record.until(killed + 0.6);
    let started = record.now();
    sender.spawn();
    record.until(killed + 8.3);
    record.line("discovery is back");
    platform.silent.store(false, SeqCst);
    record.until(killed + 12.0);
    stop.store(true, SeqCst);
    let _ = clients_run.join();
    if sender.has_ended() {
        record.line("the sender has ended");
        return 2;
    }
    sender.signal(SIGKILL);
    sender.wait();
    let calls = calls.lock().unwrap();
    let late: Vec<f64> = calls.iter().map(|at| at - started).filter(|after| *after > 1.05).collect();
    record.line(format!(
        "{} calls to s-1 since it drains, {} of them over 1.05 s behind the start of the process, the last after {:.2} s",
        calls.len(),
        late.len(),
        late.last().copied().unwrap_or(0.0)
    ));
    record.line(if late.is_empty() { "held" } else { "BROKEN" });
    i32::from(!late.is_empty())
}
