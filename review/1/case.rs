//! Case 1: a message whose key holds in one wing is applied in two wings after the process was replaced.

#[path = "../common/mod.rs"]
mod common;
use common::*;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// How long the endpoints of a wing drop a repeat, in milliseconds.
const MEMORY_SPAN: f64 = 4_000.0;
const PARTNER: u64 = 7;
/// The times of the run, in milliseconds since its start.
const FULL_FROM: f64 = 4_000.0;
const FULL_UNTIL: f64 = 5_300.0;
/// One endpoint takes calls and answers none for 6.5 s (the pages name 6.4 to 18 s).
const HANGS_FROM: f64 = 4_000.0;
const HANGS_UNTIL: f64 = 10_500.0;
const REPLACED_AT: f64 = 5_900.0;
const LAST_HANDED_IN: f64 = 7_000.0;

const SETTINGS: &str = r#"{"Areas":["east-wing","west-wing","north-wing"],"Zone":"east-wing","Balancers":1,
"Kinds":["speaker-platform","car-audio","station-site"],"WeightKind":"rough","RegistryMode":"push","Tick":5000000,
"Categories":[
{"Name":"listen-count","Target":2000000000,"Deadline":16000000000,"Effect":"token","KeyScope":"zone","MemorySpan":4000000000,"Worth":2,"LateWorth":0.5,"Stream":false},
{"Name":"episode-status","Target":1000000000,"Deadline":5000000000,"Effect":"pure","Worth":1,"LateWorth":0.1,"Stream":false}],
"FamilyInfo":{"CallsOut":15,"LosesWorth":"linear","OwnLimits":[true,false,false],"PerCall":[20,1,1],"Toll":[0,0,0],"TurnedAwayPrice":0.03},
"Deductions":{"CrossZone":0.03,"Handshake":0.02,"Waste":0.08,"LateFail":0.02,"Probe":0.01},
"Limits":{"OpenCap":600,"AttemptsCap":12,"Cancel":true,"SecondCopies":true,"Probes":true,"ConnectTimeout":1500000000,"ConnIdle":15000000000,"RetryAfter":true,"MaxRetryAfter":2000000000},
"Guarantees":{"StopSendingWithin":500000000,"GraceToAnswer":20000000,"OverloadFactor":2.5,"OverloadFor":1500000000,"ColdFrom":0.17,"Cold":14000000000}}"#;

/// One run of a message at an endpoint.
#[derive(Clone)]
struct Run {
    at: f64,
    wing: &'static str,
    /// Whether the wing knew the key and dropped the repeat.
    dropped: bool,
}

/// What the endpoints of all wings have run, by idempotency key.
type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// Runs a call in a wing: the wing drops it if it has run the same key within its memory.
fn run(world: &World, runs: &Runs, wing: &'static str, call: &Message) {
    let at = world.now();
    let key = call.header("idempotency-key").to_string();
    let mut runs = runs.lock().unwrap();
    let earlier = runs.entry(key.clone()).or_default();
    let dropped = earlier
        .iter()
        .any(|run| run.wing == wing && !run.dropped && at < run.at + MEMORY_SPAN);
    earlier.push(Run { at, wing, dropped });
    let what = if dropped { "repeat dropped" } else { "applied" };
    world.note(format!(
        "{wing}: {what} id={} key={key}",
        call.header("x-request-id")
    ));
}

fn main() {
    let world = World::new();
    let machine = Machine::new(&world);
    let runs: Runs = Arc::default();
    let (east_world, east_runs) = (world.clone(), runs.clone());
    let east = start_endpoint(&world, move |call| {
        let now = east_world.now();
        if (FULL_FROM..FULL_UNTIL).contains(&now) {
            // Its queue is full: turned away, never run.
            east_world.note(format!("east-wing: 503 id={}", call.header("x-request-id")));
            return Reply::Answer(5, 503, "");
        }
        run(&east_world, &east_runs, "east-wing", call);
        Reply::Answer(120, 200, "")
    });
    let (west_world, west_runs) = (world.clone(), runs.clone());
    let west = start_endpoint(&world, move |call| {
        let now = west_world.now();
        run(&west_world, &west_runs, "west-wing", call);
        if (HANGS_FROM..HANGS_UNTIL).contains(&now) {
            west_world.note(format!(
                "west-wing: no answer to id={}",
                call.header("x-request-id")
            ));
            return Reply::Silence((HANGS_UNTIL - now) as u64);
        }
        Reply::Answer(120, 200, "")
    });
    let target = |uid: &str, endpoint, az: &str, group, kind: &str| Target {
        uid: uid.into(),
        endpoint,
        az: az.into(),
        model: kind.into(),
        pod_group: group,
        state: "in_service".into(),
        capacity_hint: 60.0,
        boot_ms: 0,
    };
    let mut targets = vec![
        target("s-e1", east, "east-wing", PARTNER, "speaker-platform"),
        target("s-w1", west, "west-wing", PARTNER, "speaker-platform"),
    ];
    // Other partners, which get four in five messages.
    for number in 0..4 {
        let other = start_endpoint(&world, |_| Reply::Answer(100, 200, ""));
        targets.push(target(
            &format!("s-o{number}"),
            other,
            "east-wing",
            20 + number,
            "station-site",
        ));
    }
    let agent = Agent::start(&world, targets.clone());
    machine.configure(agent.address, &list_json(1, true, &targets), SETTINGS);
    let operators = [world.free_address(), world.free_address()];
    let mut first = machine.start("first", Some(operators[0]));
    machine.wait_until_ready(30_000);

    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..4_u64)
        .map(|number| {
            let (world, accepted, listen) = (world.clone(), accepted.clone(), machine.listen);
            thread::spawn(move || {
                let mut client = Client::new(listen);
                for count in 0_u64.. {
                    if world.now() > LAST_HANDED_IN {
                        return;
                    }
                    let id = format!("{number:x}{count:07x}9b1f03aa");
                    let key = format!("{number:x}{count:07x}5c0f6e1a2b3d4c59a8b7c6d5");
                    if count % 5 == number {
                        let heard = client.hand_in(
                            "listen-count",
                            &id,
                            PARTNER,
                            16.0,
                            Some(&key),
                            b"count=1",
                        );
                        world.note(format!("client: id={id} partner {PARTNER} {heard:?}"));
                        if heard == Heard::Status(202) {
                            accepted.lock().unwrap().push(key);
                        }
                    } else {
                        let other = 20 + count % 4;
                        let heard =
                            client.hand_in("episode-status", &id, other, 5.0, None, b"status=new");
                        world.note(format!("client: id={id} partner {other} {heard:?}"));
                    }
                    sleep_ms(50);
                }
            })
        })
        .collect();

    if has_trouble() {
        world.sleep_until(REPLACED_AT);
        let second = machine.start("second", Some(operators[1]));
        let started = world.now();
        while operate(operators[1], "health").is_none_or(|answer| !answer.starts_with("ACK")) {
            if world.now() > started + 6_000.0 {
                machine.finish(COULD_NOT_RUN, "the new process did not say yes within 6 s");
            }
            sleep_ms(5);
        }
        world.note("the new process has said yes");
        if !first.wait_for_end(1_000) {
            first.signal(SIGTERM);
            first.wait_for_end(3_700);
        }
        std::mem::forget(second);
    }
    for client in clients {
        let _ = client.join();
    }
    world.sleep_until(LAST_HANDED_IN + 17_500.0);

    let runs = runs.lock().unwrap().clone();
    let mut twice = 0;
    for (key, all) in &runs {
        let applied: Vec<&Run> = all.iter().filter(|run| !run.dropped).collect();
        if applied.len() > 1 {
            twice += 1;
            let places: Vec<String> = applied
                .iter()
                .map(|run| format!("{} at {:.0} ms", run.wing, run.at))
                .collect();
            world.note(format!(
                "applied {} times: key={key}: {}",
                applied.len(),
                places.join(", ")
            ));
        }
    }
    let taken_on = accepted.lock().unwrap().len();
    let text = format!(
        "{taken_on} messages for partner {PARTNER} taken on, {} run, {twice} applied more than once",
        runs.len()
    );
    machine.finish(if twice > 0 { BROKEN } else { HELD }, &text)
}
