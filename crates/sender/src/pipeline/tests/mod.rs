//! The driver against sockets on loopback, on a clock that the test sets.

mod attempts;
mod ingress;
mod rejection;
mod settings;
mod shutdown;
mod status_reports;

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use martenlatch_clock::{Clock, Millis, nanos};
use martenlatch_policy::interface::{Action, EndpointId, MessageId};
use martenlatch_settings::platform;
use martenlatch_wal::{FinalStatus, MessageRecord, WriteAheadLog};

use super::driver::OVERDUE_AFTER;
use super::ingress::NEWCOMER_GRACE;
use super::message_store::MessageState;
use super::shutdown::{ACCEPT_UNTIL, ATTEMPTS_END};
use super::status_reports::MAX_BACKOFF;
use super::{Driver, Start};
use crate::Config;
use crate::event_source::EventSource;
use crate::jitter::Jitter;

const SETTINGS: &str = r#"{"Areas":["a"],"Zone":"a","Balancers":1,"Kinds":["k"],"Categories":[
    {"Name":"debit","Target":3000000000,"Deadline":16000000000,"Effect":"side_effect","Worth":1}],
    "FamilyInfo":{"CallsOut":4},
    "Limits":{"OpenCap":9,"AttemptsCap":8,"Cancel":true,"RetryAfter":true,"MaxRetryAfter":3000000000,"ConnectTimeout":1000000000},
    "Guarantees":{"OverloadFactor":2,
    "OverloadFor":3000000000,"ColdFrom":0.22,"Cold":9200000000},"Tick":5000000}"#;

const START: Millis = 1_796_121_600_000.0;

/// A driver on a clock set by hand that resumes one unsafe transaction, with two seconds left.
fn resumed(
    story: &str,
    region: SocketAddr,
) -> (
    Driver,
    Clock,
    calloop::EventLoop<'static, crate::event_source::Ready>,
) {
    resumed_with(story, 2_000.0, region)
}

/// The same with so much time left.
fn resumed_with(
    story: &str,
    left: Millis,
    region: SocketAddr,
) -> (
    Driver,
    Clock,
    calloop::EventLoop<'static, crate::event_source::Ready>,
) {
    let state =
        std::env::temp_dir().join(format!("martenlatch-stages-{story}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).unwrap();
    let (id, class, key, body) = (Rc::from("a"), Rc::from("debit"), None, Rc::from(&b"x"[..]));
    let (deadline, tasks, ending) = (START + left, Vec::new(), None);
    let record = MessageRecord {
        no: 3,
        id,
        class,
        destination: 7,
        deadline,
        key,
        body,
        attempts: tasks,
        final_status: ending,
        rules: Rc::from([]),
    };
    assert!(
        WriteAheadLog::open(&state, 3_000_000)
            .0
            .append_message(&record)
    );
    let target = format!(
        r#"{{"targets":[{{"uid":"s","endpoint":"{region}","az":"a","model":"k","pod_group":7,"state":"in_service"}}]}}"#
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let config = Config {
        name: "n0".into(),
        listen: listener.local_addr().unwrap(),
        discovery: region,
        operator: None,
        state,
        seed: 1,
        sockets: 64,
        disk: 3_000_000,
        memory: 64_000_000,
        known: serde_json::from_str(&target).unwrap(),
        clients: martenlatch_settings::program::Program::default().clients,
        peers: None,
        boot: platform::read(SETTINGS).unwrap(),
    };
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let clock = Clock::at(START);
    let driver = Driver::new(
        config,
        Start::Fresh(listener),
        None,
        &events.handle(),
        clock.clone(),
    )
    .unwrap();
    (driver, clock, events)
}

/// Does something again until it holds; a bounded number of times, as what is written on loopback arrives soon.
fn until(mut holds: impl FnMut() -> bool) {
    assert!((0..200_000).any(|_| holds()), "it never holds");
}

/// Drives until the transaction's call has arrived whole, and returns its connection.
fn called(driver: &mut Driver, clock: &Clock, region: &TcpListener) -> std::net::TcpStream {
    use std::io::Read;
    region.set_nonblocking(true).unwrap();
    let (mut peers, mut call) = (Vec::new(), None);
    until(|| {
        driver.round((0..9).map(EventSource::Region).collect());
        if clock.now() < START + 1_500.0 {
            clock.set(clock.now() + 5.0);
        }
        peers.extend(region.accept().ok().map(|(peer, _)| (peer, Vec::new())));
        for (peer, text) in &mut peers {
            peer.set_nonblocking(true).unwrap();
            let mut some = [0; 512];
            text.extend(peer.read(&mut some).map_or(&[][..], |n| &some[..n]));
        }
        // Its body is one byte.
        let whole =
            |text: &[u8]| text.starts_with(b"POST /v1/messages") && text.ends_with(b"\r\n\r\nx");
        call = peers.iter().position(|(_, text)| whole(text));
        call.is_some()
    });
    peers.swap_remove(call.unwrap()).0
}

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
