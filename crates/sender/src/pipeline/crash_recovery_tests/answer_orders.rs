//! All orders of answers, copies, ends of connections, kills and replacements around one message on two connections. The
//! rules are checked after each of them. `MARTENLATCH_ORDER_LENGTH` sets the number of events of an order.

mod case;

use super::*;
use case::Case;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &str = "HTTP/1.1 504 Exhausted\r\nContent-Length: 0\r\n\r\n";
/// The part of a 410 that is written before its connection ends.
const CUT_OFF: &str = "HTTP/1.1 410 Gone\r\nCont";

/// The message whose rules are checked.
const MESSAGE: &str = "checked";
/// How long it may be delivered.
const TIMEOUT: Millis = 3_500.0;
/// The platform's tolerance behind that.
const TOLERANCE: Millis = 300.0;
/// How long the steps wait for a connection to rest.
const REST: Millis = 1_200.0;
/// The shortest time for which a connection rests whose endpoint is little known.
const SHORTEST_REST: Millis = 100.0;
/// The steps of the clock in which the end of the message is waited for.
const LONG_STEP: Millis = 50.0;
/// The number of clients' and of endpoints' connections that a round reads.
const CONNECTIONS: usize = 12;
/// The usual number of events of each order.
const USUAL_LENGTH: usize = 3;

/// An event around the message. "Its connection" is the one of its latest request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Happening {
    /// The request is answered.
    Answered(&'static str),
    /// A part of a 410 arrives, and the end of the connection.
    CutOffGone,
    /// The latest answer on its connection is written again.
    CopyOnItsConnection,
    /// The latest answer on the other connection is written again.
    CopyOnOtherConnection,
    /// Its connection ends.
    EndOfItsConnection,
    /// The other connection ends.
    EndOfOtherConnection,
    /// Another message is submitted. Its request is not answered before the end.
    NextMessage,
    /// Nothing happens until the connections have rested.
    Rest,
    /// The process is killed, and the next one starts.
    Kill,
    /// Another process takes over.
    Replacement,
}

const HAPPENINGS: [Happening; 13] = [
    Happening::Answered(OK),
    Happening::Answered(GONE),
    Happening::Answered(REFUSED),
    Happening::Answered(FAILED),
    Happening::CutOffGone,
    Happening::CopyOnItsConnection,
    Happening::CopyOnOtherConnection,
    Happening::EndOfItsConnection,
    Happening::EndOfOtherConnection,
    Happening::NextMessage,
    Happening::Rest,
    Happening::Kill,
    Happening::Replacement,
];

/// Plays one order. Returns whether all of it could happen.
fn play(class: &str, earlier: &'static str, order: &[Happening]) -> bool {
    let name = format!("orders-{class}-{:?}", std::thread::current().id());
    let mut case = Case::start(&name, class, earlier);
    let is_possible = order.iter().all(|happening| case.perform(*happening));
    if is_possible {
        case.finish(class);
    }
    is_possible
}

/// Plays all orders of a length that begin with some events. Returns their number.
fn play_all(class: &str, earlier: &'static str, first: &[Happening], length: usize) -> usize {
    if first.len() == length {
        return usize::from(play(class, earlier, first));
    }
    HAPPENINGS
        .iter()
        .map(|next| play_all(class, earlier, &[first, &[*next]].concat(), length))
        .sum()
}

fn order_length() -> usize {
    let length = std::env::var("MARTENLATCH_ORDER_LENGTH").ok();
    length
        .and_then(|text| text.parse().ok())
        .unwrap_or(USUAL_LENGTH)
}

/// Guards against a request behind a 410, a message without an end, and a second run of a non-idempotent message, in any
/// order of what may happen to its request, to its connections and to its process.
#[rstest::rstest]
fn in_every_order_each_rule_holds_for_a_message_on_two_connections(
    #[values("debit", "reading")] class: &str,
    #[values(OK, GONE, EXHAUSTED)] earlier: &'static str,
    #[values(0, 1, 2, 3)] share: usize,
) {
    let shares = HAPPENINGS.iter().skip(share).step_by(4);
    let played: usize = shares
        .map(|first| play_all(class, earlier, &[*first], order_length()))
        .sum();
    println!("{class} {earlier:?}: {played} orders");
    assert!(played > 50, "{played}");
}

/// Guards against a request behind a 410: a copied rejection came later than any earlier response and so was believed, and
/// the 410 behind it had the bytes of an earlier one.
#[rstest::rstest]
fn a_410_behind_a_copy_that_was_believed_ends_its_message(
    #[values("debit", "reading")] class: &str,
    #[values(Happening::Answered(GONE), Happening::CutOffGone)] end: Happening,
) {
    let order = [
        Happening::Answered(REFUSED),
        Happening::Rest,
        Happening::CopyOnItsConnection,
        end,
    ];
    assert!(play(class, GONE, &order));
}

/// Guards against a request behind a 410: it stood in the place of the answer to the next request, behind a copy of an
/// earlier success, and a kill came before that was settled.
#[rstest::rstest]
fn a_410_behind_a_copied_success_ends_its_message_before_a_kill(
    #[values("debit", "reading")] class: &str,
) {
    let order = [
        Happening::CopyOnItsConnection,
        Happening::NextMessage,
        Happening::Answered(GONE),
        Happening::Kill,
    ];
    assert!(play(class, OK, &order));
}

/// Guards against a request behind a 410: a copied success was not settled at a replacement, as its connection carried
/// another request, and the successor took the 410 for the answer to that one.
#[rstest::rstest]
fn a_410_behind_a_copied_success_ends_its_message_across_a_replacement(
    #[values("debit", "reading")] class: &str,
    #[values(Happening::Answered(GONE), Happening::CutOffGone)] end: Happening,
) {
    let order = [
        Happening::CopyOnItsConnection,
        Happening::NextMessage,
        Happening::Replacement,
        end,
    ];
    assert!(play(class, OK, &order));
}
