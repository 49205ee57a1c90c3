//! Calls of operators: their answers, the counters and the cordons, compared with what the scripted endpoints and the
//! platform see.

mod support;
use support::*;

use rstest::rstest;
use std::collections::BTreeMap;
use std::io::{Read, Write};

const CLASSES: [&str; 2] = ["debit", "meter"];

/// The expected counters of a sender, from what its endpoint and its platform have seen.
#[derive(Default)]
struct ExpectedCounters(BTreeMap<String, u64>);

impl ExpectedCounters {
    fn name(class: &str, state: &str) -> String {
        match state {
            "sends" => format!("sends{{group=\"{class}\"}}"),
            _ => format!("transactions{{group=\"{class}\",state=\"{state}\"}}"),
        }
    }

    /// Counts one more message of a class that was answered, deferred or errored, or one more attempt that was sent.
    fn add(&mut self, class: &str, state: &str) {
        let name = ExpectedCounters::name(class, state);
        *self.0.entry(name).or_default() += 1;
    }

    /// Compares all counters of a sender. `current` is the expected number of incomplete messages.
    fn check(&self, sender: &Sender, current: u64) {
        wait_until("the number of incomplete messages is as expected", || {
            sender.operator_counters()["current"] == current
        });
        let counters = sender.operator_counters();
        for class in CLASSES {
            for state in ["answered", "deferred", "errored", "sends"] {
                let name = ExpectedCounters::name(class, state);
                let expected = self.0.get(&name).copied().unwrap_or(0);
                assert_eq!(
                    counters.get(&name),
                    Some(&expected),
                    "{name} of {counters:?}"
                );
            }
        }
        assert_eq!(counters["current"], current, "{counters:?}");
    }
}

/// Submits one message for each way to end and compares the counters after each.
fn submit_one_message_per_end(
    sender: &Sender,
    endpoint: &Endpoint,
    platform: &Platform,
    expected: &mut ExpectedCounters,
) {
    for (id, class, state) in [
        ("delivered-1", "debit", "answered"),
        ("delivered-2", "meter", "answered"),
        ("closed-1", "debit", "errored"),
        ("fails-1", "debit", "errored"),
        ("exhausted-1", "debit", "deferred"),
    ] {
        assert_eq!(sender.submit(class, id, "16.0"), 202, "{id}");
        assert_eq!(endpoint.next_request().id(), id);
        if matches!(id, "fails-1" | "exhausted-1") {
            platform.next_status_report();
        }
        expected.add(class, state);
        expected.add(class, "sends");
        // A repeated id is confirmed again and not counted as another message; its status report is sent again.
        assert_eq!(sender.submit(class, id, "16.0"), 202, "{id}");
        if matches!(id, "fails-1" | "exhausted-1") {
            assert!(platform.next_status_report().contains(id), "{id}");
            sender.wait_for_round_end();
        }
        expected.check(sender, 0);
    }
}

#[test]
fn operator_counters_match_what_endpoint_and_platform_saw_after_each_message() {
    let script = |_, request: &HttpMessage| match request.id().split('-').next().unwrap() {
        "closed" => reply(410, ""),
        "fails" => reply(500, ""),
        "exhausted" => reply(504, ""),
        "hangs" => no_reply(),
        _ => reply(200, ""),
    };
    let (endpoint, known_endpoints) = endpoint_and_list(script);
    let platform = Platform::new(&[]);
    let sender = Sender::start("counters", &platform, &known_endpoints);
    let mut expected = ExpectedCounters::default();
    expected.check(&sender, 0);
    assert_eq!(sender.operator_counters()["cluster_size"], 1);
    submit_one_message_per_end(&sender, &endpoint, &platform, &mut expected);
    // A request for an unlisted destination is an error of its class. A request for an unknown class is not counted.
    platform.push_line(&known_endpoints);
    let unlisted = request("meter", "lost", "16.0", "x").replace("dest=7", "dest=8");
    assert_eq!(sender.exchange(&unlisted), 404);
    assert_eq!(sender.exchange(&request("nothing", "x", "16.0", "x")), 404);
    expected.add("meter", "errored");
    // The message is kept until its deadline: the attempt may have run, and the class is not idempotent.
    assert_eq!(sender.submit("debit", "hangs-1", "1.0"), 202);
    assert_eq!(endpoint.next_request().id(), "hangs-1");
    expected.add("debit", "sends");
    expected.check(&sender, 1);
    platform.next_status_report();
    expected.add("debit", "errored");
    expected.check(&sender, 0);
    // A restarted sender counts from its own start and includes the messages that it resumes.
    assert_eq!(sender.submit("debit", "hangs-2", "16.0"), 202);
    assert_eq!(endpoint.next_request().id(), "hangs-2");
    let sender = sender.kill_and_restart();
    platform.next_status_report();
    let mut expected = ExpectedCounters::default();
    expected.add("debit", "errored");
    expected.check(&sender, 0);
}

#[test]
fn rejected_requests_count_as_deferred_and_incomplete_messages_as_current() {
    let (endpoint, _platform, sender) =
        sender_with_endpoint("rejected-counters", |_, _| no_reply());
    let mut expected = ExpectedCounters::default();
    for number in 0..4 {
        // Until discovery has pushed a list, an unlisted destination gets a 503 because it may be a new one.
        let unlisted =
            request("meter", &format!("d{number}"), "16.0", "x").replace("dest=7", "dest=8");
        assert_eq!(sender.exchange(&unlisted), 503);
        let id = format!("h{number}");
        assert_eq!(sender.submit("debit", &id, "16.0"), 202);
        assert_eq!(endpoint.next_request().id(), id);
        expected.add("meter", "deferred");
        expected.add("debit", "sends");
        expected.check(&sender, number + 1);
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
#[case::extra_word("health please\n", "NAK health was given more than it takes\n")]
#[case::no_id("cordon\r\n", "NAK cordon wants the id of an endpoint\n")]
#[case::http("GET / HTTP/1.1\r\nHost: x\r\n\r\n", "NAK unknown call GET; ")]
#[case::long(&"x".repeat(100_000), "NAK the line is over 512 bytes\n")]
#[case::complete("health\r\ncounters\n", "ACK serving\n")]
fn an_operator_call_gets_one_answer_and_an_invalid_call_the_reason(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let platform = Platform::new(&[]);
    let case = case_name(text);
    let sender = Sender::start(
        &format!("call-{case}"),
        &platform,
        &endpoint_list(1, true, &[]),
    );
    let answer = sender.call_operator(text);
    assert!(answer.starts_with(expected), "{answer:?}");
    assert_eq!(
        sender.call_operator("health\n"),
        "ACK serving\n",
        "the sender still answers"
    );
    // The last line needs no line end, and a line may arrive byte by byte.
    let mut stream = std::net::TcpStream::connect(sender.operator).unwrap();
    for byte in b"health" {
        stream.write_all(&[*byte]).unwrap();
    }
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "ACK serving\n");
}

#[test]
fn operators_without_a_complete_line_do_not_keep_others_from_being_served() {
    let platform = Platform::new(&[]);
    let sender = Sender::start("silent-operators", &platform, &endpoint_list(1, true, &[]));
    let silent: Vec<_> = (0..60)
        .map(|number| {
            let mut stream = std::net::TcpStream::connect(sender.operator).unwrap();
            stream.write_all(&b"healt"[..number % 6]).unwrap();
            stream
        })
        .collect();
    assert_eq!(sender.call_operator("health\n"), "ACK serving\n");
    assert_eq!(sender.exchange("GET /healthz HTTP/1.1\r\n\r\n"), 200);
    drop(silent);
    assert_eq!(sender.call_operator("health\n"), "ACK serving\n");
}

#[test]
fn with_an_invalid_operator_address_the_start_fails_with_one_line_that_names_the_field() {
    let platform = Platform::new(&[]);
    let sender = Sender::start("invalid-operator", &platform, &endpoint_list(1, true, &[]));
    let from = format!("\"operator\":\"{}\"", sender.operator);
    let exit = sender.restart_with_invalid_config(&from, "\"operator\":7");
    let errors = exit.output;
    assert_eq!(exit.code, Some(1), "{errors}");
    assert!(
        errors.starts_with("martenlatch: operator: ") && errors.lines().count() == 1,
        "{errors}"
    );
}

/// Two endpoints of one destination, of which the first is cordoned, and the endpoint to whose address it moves.
struct CordonTestEndpoints {
    cordoned: Endpoint,
    moved: Endpoint,
    other: Endpoint,
    /// Number of messages submitted so far.
    submitted: usize,
}

impl CordonTestEndpoints {
    fn new() -> CordonTestEndpoints {
        CordonTestEndpoints {
            cordoned: Endpoint::new(|_, _| reply(200, "")),
            moved: Endpoint::new(|_, _| reply(200, "")),
            other: Endpoint::new(|_, _| reply(200, "")),
            submitted: 0,
        }
    }

    fn entries(&self) -> [String; 2] {
        [
            endpoint_entry("s-a", self.cordoned.address, "in_service"),
            endpoint_entry("s-b", self.other.address, "in_service"),
        ]
    }

    /// Submits messages and checks that all of them go to the endpoint that is not cordoned.
    fn check_cordoned_gets_nothing(&mut self, sender: &Sender, when: &str) {
        for _ in 0..6 {
            self.submitted += 1;
            let id = format!("h{}", self.submitted);
            assert_eq!(sender.submit("debit", &id, "16.0"), 202);
            assert_eq!(self.other.next_request().id(), id, "{when}");
        }
        let requests = self.cordoned.count_new_requests() + self.moved.count_new_requests();
        assert_eq!(requests, 0, "{when}");
        let unhealthy = sender.operator_counters()["cluster_unhealthy"];
        assert_eq!(unhealthy, 1, "{when}");
    }

    /// Removes the cordoned endpoint from the list, and lists it again at another address.
    fn remove_and_list_again(&self, sender: &Sender, platform: &Platform) {
        let removed = endpoint_entry("s-a", self.cordoned.address, "terminated");
        platform.push_bytes(&watch_chunk(&endpoint_list(3, false, &[removed])));
        wait_until("one is listed", || {
            sender.operator_counters()["cluster_size"] == 1
        });
        let moved = endpoint_entry("s-a", self.moved.address, "in_service");
        platform.push_bytes(&watch_chunk(&endpoint_list(4, false, &[moved])));
        wait_until("both are listed", || {
            sender.operator_counters()["cluster_size"] == 2
        });
    }
}

fn check_unknown_ids_are_rejected(sender: &Sender) {
    for unknown in ["cordon s-c\n", "uncordon s-c\n", "cordon \u{1b}[0m\n"] {
        let answer = sender.call_operator(unknown);
        assert!(
            answer.starts_with("NAK ") && answer.ends_with(" was never listed\n"),
            "{answer:?}"
        );
    }
}

#[test]
fn a_cordoned_endpoint_gets_no_request_whatever_the_endpoint_list_says_until_it_is_uncordoned() {
    let mut endpoints = CordonTestEndpoints::new();
    let both = endpoints.entries();
    let platform = Platform::new(&[]);
    let mut sender = Sender::start("cordon", &platform, &endpoint_list(1, true, &both));
    check_unknown_ids_are_rejected(&sender);
    let not_cordoned = sender.call_operator("uncordon s-a\n");
    assert_eq!(not_cordoned, "ACK in\n", "no effect without a cordon");
    for _ in 0..3 {
        assert_eq!(sender.call_operator("cordon s-a\n"), "ACK out\n");
    }
    endpoints.check_cordoned_gets_nothing(&sender, "right after the confirmation");
    platform.push_line(&endpoint_list(2, true, &both));
    endpoints.check_cordoned_gets_nothing(&sender, "a new complete list has it in service");
    endpoints.remove_and_list_again(&sender, &platform);
    endpoints.check_cordoned_gets_nothing(&sender, "removed and listed again at another address");
    sender = sender.kill_and_restart();
    endpoints.check_cordoned_gets_nothing(&sender, "after a kill");
    sender = sender.terminate_and_restart();
    endpoints.check_cordoned_gets_nothing(&sender, "after a restart");
    // The cordons cannot be written: no call changes them, and the answer says why.
    sender = sender.restart_with_state(|state| {
        std::fs::create_dir(state.join("cordons.new")).unwrap();
    });
    for call in ["cordon s-b\n", "uncordon s-a\n"] {
        let answer = sender.call_operator(call);
        let reason = "NAK the ban cannot be written: ";
        assert!(answer.starts_with(reason), "{call}");
    }
    endpoints.check_cordoned_gets_nothing(&sender, "after a rejected call");
    sender = sender.restart_with_state(|state| {
        std::fs::remove_dir(state.join("cordons.new")).unwrap();
    });
    let uncordoned = sender.call_operator("uncordon s-a\n");
    assert_eq!(
        uncordoned, "ACK in\n",
        "one call is enough, however often it was cordoned"
    );
    assert_eq!(sender.call_operator("cordon s-b\n"), "ACK out\n");
    assert_eq!(sender.submit("debit", "back", "16.0"), 202);
    assert_eq!(endpoints.cordoned.next_request().id(), "back");
}

#[test]
fn a_damaged_cordon_file_is_logged_and_its_intact_lines_are_applied() {
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let known_endpoints = endpoint_list(
        1,
        true,
        &[
            endpoint_entry("s-a", endpoint.address, "in_service"),
            endpoint_entry("s-b", endpoint.address, "in_service"),
        ],
    );
    let sender = Sender::start("damaged-cordons", &platform, &known_endpoints);
    assert_eq!(sender.call_operator("cordon s-a\n"), "ACK out\n");
    assert_eq!(sender.call_operator("cordon s-b\n"), "ACK out\n");
    let sender = sender.restart_with_state(|state| {
        let text = std::fs::read_to_string(state.join("cordons")).unwrap();
        std::fs::write(state.join("cordons"), text.replace("s-b", "s-x")).unwrap();
    });
    assert_eq!(sender.operator_counters()["cluster_unhealthy"], 1);
    let log = sender.terminate().output;
    assert!(
        log.contains("ERROR cordons damaged lines=1 kept=1"),
        "{log}"
    );
}

#[test]
fn requests_and_lists_are_read_byte_by_byte_and_an_incomplete_request_is_ignored() {
    let endpoint = Endpoint::new(|_, _| reply(200, ""));
    let platform = Platform::new(&[]);
    let known_endpoints = endpoint_list(
        1,
        true,
        &[endpoint_entry("s-1", endpoint.address, "in_service")],
    );
    let sender = Sender::start("pieces", &platform, &known_endpoints);
    let complete = request("debit", "pieces", "16.0", "body");
    // An incomplete request is not accepted, whichever byte is its last.
    for length in 0..complete.len() {
        let mut client = sender.connect();
        client
            .get_mut()
            .write_all(&complete.as_bytes()[..length])
            .unwrap();
    }
    let mut client = sender.connect();
    client.get_ref().set_nodelay(true).unwrap();
    for byte in complete.bytes() {
        client.get_mut().write_all(&[byte]).unwrap();
    }
    assert_eq!(read_status(&mut client), 202);
    assert_eq!(endpoint.next_request().id(), "pieces");
    assert_eq!(
        (
            endpoint.count_new_requests(),
            sender.operator_counters()["transactions{group=\"debit\",state=\"answered\"}"]
        ),
        (0, 1)
    );
    platform.next_watch_request();
    let change = endpoint_list(
        2,
        false,
        &[endpoint_entry("s-2", endpoint.address, "in_service")],
    );
    platform.push_bytes(&watch_chunk(&change));
    wait_until("both are listed", || {
        sender.operator_counters()["cluster_size"] == 2
    });
}
