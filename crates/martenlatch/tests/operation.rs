//! Stories of operators: what they call, what they are told, and that it is what the peers saw. Over loopback, with
//! scripted peers, one for each failure.

mod peers;
use peers::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};

const CLASSES: [&str; 2] = ["debit", "meter"];

/// What peers have seen become of transactions: per class answered, deferred, errored and sends.
#[derive(Default)]
struct Seen(BTreeMap<String, u64>);

impl Seen {
    fn add(&mut self, class: &str, state: &str, count: u64) {
        let name = match state {
            "sends" => format!("sends{{group=\"{class}\"}}"),
            _ => format!("transactions{{group=\"{class}\",state=\"{state}\"}}"),
        };
        *self.0.entry(name).or_default() += count;
    }

    /// Holds every figure against what was seen.
    fn hold(&self, figures: &BTreeMap<String, u64>, current: u64) {
        for class in CLASSES {
            for state in ["answered", "deferred", "errored", "sends"] {
                let mut name = Seen::default();
                name.add(class, state, 0);
                let name = name.0.into_keys().next().unwrap();
                let want = self.0.get(&name).copied().unwrap_or(0);
                assert_eq!(figures.get(&name), Some(&want), "{name} of {figures:?}");
            }
        }
        assert_eq!(figures["current"], current, "{figures:?}");
    }
}

#[test]
fn figures_are_what_the_peers_saw_at_every_moment() {
    let script = |no: usize, heard: &Heard| match (heard.id().split('-').next().unwrap(), no) {
        ("over", _) => status(410, ""),
        ("fails", _) => status(500, ""),
        ("spent", _) => status(504, ""),
        ("hangs", _) => silence(),
        _ => status(200, ""),
    };
    let region = Region::new(script);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    let platform = Platform::new(&[]);
    let sender = Sender::start("figures", &platform, &known, 3.0);
    let mut seen = Seen::default();
    seen.hold(&sender.figures(), 0);
    assert_eq!(sender.figures()["cluster_size"], 1);
    for (id, class, state) in [
        ("well-1", "debit", "answered"),
        ("well-2", "meter", "answered"),
        ("over-1", "debit", "errored"),
        ("fails-1", "debit", "errored"),
        ("spent-1", "debit", "deferred"),
    ] {
        assert_eq!(sender.hand_in(class, id, "16.0"), 202, "{id}");
        assert_eq!(region.call().id(), id);
        if matches!(id, "fails-1" | "spent-1") {
            platform.notice();
        }
        seen.add(class, state, 1);
        seen.add(class, "sends", 1);
        // A repeated id is answered once more, and is no second transaction.
        assert_eq!(sender.hand_in(class, id, "16.0"), 202, "{id}");
        seen.hold(&sender.figures(), 0);
    }
    // A request that cannot be served is a failure of its class; one that names no class is nobody's.
    platform.push(&known);
    let other = request("meter", "lost", "16.0", "x").replace("dest=7", "dest=8");
    assert_eq!(sender.exchange(&other), 404);
    assert_eq!(sender.exchange(&request("nothing", "x", "16.0", "x")), 404);
    seen.add("meter", "errored", 1);
    // Held until its time is over: a call that may have run, of a class that must not be repeated.
    assert_eq!(sender.hand_in("debit", "hangs-1", "1.0"), 202);
    assert_eq!(region.call().id(), "hangs-1");
    seen.add("debit", "sends", 1);
    seen.hold(&sender.figures(), 1);
    platform.notice();
    seen.add("debit", "errored", 1);
    seen.hold(&sender.figures(), 0);
    // A later life counts from its own start, what it resumes too.
    assert_eq!(sender.hand_in("debit", "hangs-2", "16.0"), 202);
    assert_eq!(region.call().id(), "hangs-2");
    let sender = sender.kill_and_restart();
    platform.notice();
    let mut seen = Seen::default();
    seen.add("debit", "errored", 1);
    seen.hold(&sender.figures(), 0);
}

#[test]
fn refusals_at_the_door_are_deferred_and_what_is_held_is_current() {
    let region = Region::new(|_, _| silence());
    let platform = Platform::new(&[]);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    let sender = Sender::start("figures-door", &platform, &known, 3.0);
    let mut seen = Seen::default();
    for no in 0..4 {
        // Discovery has not spoken in this life: a destination that is not listed may be a new one.
        let unlisted = request("meter", &format!("d{no}"), "16.0", "x").replace("dest=7", "dest=8");
        assert_eq!(sender.exchange(&unlisted), 503);
        assert_eq!(sender.hand_in("debit", &format!("h{no}"), "16.0"), 202);
        assert_eq!(region.call().id(), format!("h{no}"));
        seen.add("meter", "deferred", 1);
        seen.add("debit", "sends", 1);
        seen.hold(&sender.figures(), no + 1);
    }
}

#[rstest]
#[case::unknown(
    "restart\n",
    "NAK unknown call restart; health, counters, cordon ID and uncordon ID are known\n"
)]
#[case::empty(
    "\r\n",
    "NAK an empty line; health, counters, cordon ID and uncordon ID are known\n"
)]
#[case::surplus("health please\n", "NAK health was given more than it takes\n")]
#[case::no_id("cordon\r\n", "NAK cordon wants the id of an endpoint\n")]
#[case::http("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "NAK unknown call GET; ")]
#[case::long(&"x".repeat(100_000), "NAK the line is over 512 bytes\n")]
#[case::whole("health\r\ncounters\n", "ACK serving\n")]
fn a_call_has_one_answer_and_a_bad_one_is_told_why(#[case] text: &str, #[case] want: &str) {
    let platform = Platform::new(&[]);
    let case = text
        .bytes()
        .take(99)
        .fold(7u64, |h, b| h.wrapping_mul(31) ^ u64::from(b));
    let sender = Sender::start(
        &format!("call-{case:x}"),
        &platform,
        &table(1, true, &[]),
        3.0,
    );
    let said = sender.operate(text);
    assert!(said.starts_with(want), "{said:?}");
    assert_eq!(
        sender.operate("health\n"),
        "ACK serving\n",
        "the sender still answers"
    );
    // A last line needs no end of its own, and a line may come byte by byte.
    let mut stream = std::net::TcpStream::connect(sender.operator).unwrap();
    for byte in b"health" {
        stream.write_all(&[*byte]).unwrap();
    }
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut said = String::new();
    stream.read_to_string(&mut said).unwrap();
    assert_eq!(said, "ACK serving\n");
}

#[test]
fn callers_that_finish_no_line_take_no_room_from_others() {
    let platform = Platform::new(&[]);
    let sender = Sender::start("callers", &platform, &table(1, true, &[]), 3.0);
    let silent: Vec<_> = (0..60)
        .map(|no| {
            let mut stream = std::net::TcpStream::connect(sender.operator).unwrap();
            stream.write_all(&b"healt"[..no % 6]).unwrap();
            stream
        })
        .collect();
    assert_eq!(sender.operate("health\n"), "ACK serving\n");
    assert_eq!(sender.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200);
    drop(silent);
    assert_eq!(sender.operate("health\n"), "ACK serving\n");
}

#[test]
fn an_address_that_cannot_be_had_ends_the_start_with_one_line_that_names_the_field() {
    let platform = Platform::new(&[]);
    let sender = Sender::start("no-operator", &platform, &table(1, true, &[]), 3.0);
    let (from, to) = (
        format!("\"operator\":\"{}\"", sender.operator),
        "\"operator\":7".to_string(),
    );
    let (code, said) = sender.restart_with(&from, &to);
    assert_eq!(code, Some(1), "{said}");
    assert!(
        said.starts_with("martenlatch: operator: ") && said.lines().count() == 1,
        "{said}"
    );
}

#[test]
fn a_region_out_by_hand_gets_nothing_whatever_the_list_says_until_one_call_puts_it_back() {
    let (a, b) = (
        Region::new(|_, _| status(200, "")),
        Region::new(|_, _| status(200, "")),
    );
    let moved = Region::new(|_, _| status(200, ""));
    let both = [
        listed("s-a", a.address, "in_service"),
        listed("s-b", b.address, "in_service"),
    ];
    let platform = Platform::new(&[]);
    let mut sender = Sender::start("hand", &platform, &table(1, true, &both), 3.0);
    for bad in ["cordon s-c\n", "uncordon s-c\n", "cordon \u{1b}[0m\n"] {
        let said = sender.operate(bad);
        assert!(
            said.starts_with("NAK ") && said.ends_with(" was never listed\n"),
            "{said:?}"
        );
    }
    assert_eq!(
        sender.operate("uncordon s-a\n"),
        "ACK in\n",
        "not out: a harmless yes"
    );
    (0..3).for_each(|_| assert_eq!(sender.operate("cordon s-a\n"), "ACK out\n"));
    let mut handed = 0;
    let mut only_b = |sender: &Sender, when: &str| {
        for _ in 0..6 {
            handed += 1;
            assert_eq!(sender.hand_in("debit", &format!("h{handed}"), "16.0"), 202);
            assert_eq!(b.call().id(), format!("h{handed}"), "{when}");
        }
        assert_eq!(a.calls_so_far() + moved.calls_so_far(), 0, "{when}");
        assert_eq!(sender.figures()["cluster_unhealthy"], 1, "{when}");
    };
    only_b(&sender, "from the yes");
    platform.push(&table(2, true, &both));
    only_b(&sender, "a whole new list names it as in service");
    platform.push_raw(&chunk(&table(
        3,
        false,
        &[listed("s-a", a.address, "terminated")],
    )));
    until("one is listed", || sender.figures()["cluster_size"] == 1);
    platform.push_raw(&chunk(&table(
        4,
        false,
        &[listed("s-a", moved.address, "in_service")],
    )));
    until("both are listed", || sender.figures()["cluster_size"] == 2);
    only_b(
        &sender,
        "it was removed, and is listed anew at another address",
    );
    sender = sender.kill_and_restart();
    only_b(&sender, "after a kill");
    sender = sender.end_and_restart();
    only_b(&sender, "after a restart");
    // A disk that takes no file: the ban can neither be lifted nor another put in force, and the caller is told.
    sender = sender.restart_after(|state| std::fs::create_dir(state.join("cordons.new")).unwrap());
    for call in ["cordon s-b\n", "uncordon s-a\n"] {
        assert!(
            sender
                .operate(call)
                .starts_with("NAK the ban cannot be written: "),
            "{call}"
        );
    }
    only_b(&sender, "after a refused call");
    sender = sender.restart_after(|state| std::fs::remove_dir(state.join("cordons.new")).unwrap());
    assert_eq!(
        sender.operate("uncordon s-a\n"),
        "ACK in\n",
        "one call, however many took it out"
    );
    assert_eq!(sender.operate("cordon s-b\n"), "ACK out\n");
    assert_eq!(sender.hand_in("debit", "back", "16.0"), 202);
    assert_eq!(a.call().id(), "back");
}

#[test]
fn a_damaged_file_of_bans_is_told_and_the_lines_that_stand_hold() {
    let region = Region::new(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let known = table(
        1,
        true,
        &[
            listed("s-a", region.address, "in_service"),
            listed("s-b", region.address, "in_service"),
        ],
    );
    let sender = Sender::start("hand-damaged", &platform, &known, 3.0);
    assert_eq!(sender.operate("cordon s-a\n"), "ACK out\n");
    assert_eq!(sender.operate("cordon s-b\n"), "ACK out\n");
    let sender = sender.restart_after(|state| {
        let text = std::fs::read_to_string(state.join("cordons")).unwrap();
        std::fs::write(state.join("cordons"), text.replace("s-b", "s-x")).unwrap();
    });
    assert_eq!(sender.figures()["cluster_unhealthy"], 1);
    sender.signal("TERM");
    let log = sender.finish().1;
    assert!(
        log.contains("ERROR cordons damaged lines=1 kept=1"),
        "{log}"
    );
}

#[test]
fn requests_and_lists_may_come_byte_by_byte_and_a_request_cut_at_any_byte_is_nothing() {
    let region = Region::new(|_, _| status(200, ""));
    let platform = Platform::new(&[]);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    let sender = Sender::start("pieces", &platform, &known, 3.0);
    let whole = request("debit", "pieces", "16.0", "body");
    // A request cut short is never taken on, whichever byte was its last.
    for cut in 0..whole.len() {
        let mut client = sender.connect();
        client
            .get_mut()
            .write_all(&whole.as_bytes()[..cut])
            .unwrap();
    }
    let mut client = sender.connect();
    client.get_ref().set_nodelay(true).unwrap();
    for byte in whole.bytes() {
        client.get_mut().write_all(&[byte]).unwrap();
    }
    assert_eq!(answered(&read(&mut client, 0).unwrap()), 202);
    assert_eq!(region.call().id(), "pieces");
    assert_eq!(
        (
            region.calls_so_far(),
            sender.figures()["transactions{group=\"debit\",state=\"answered\"}"]
        ),
        (0, 1)
    );
    platform.watch();
    let more = table(2, false, &[listed("s-2", region.address, "in_service")]);
    platform.push_raw(&chunk(&more));
    until("both are listed", || sender.figures()["cluster_size"] == 2);
}
