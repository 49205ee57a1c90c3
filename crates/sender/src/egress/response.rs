//! Parsing the responses of endpoints, and their consequences for the attempt and the connection.

use martenlatch_clock::{Nanos, nanos};
use martenlatch_http::buffer_pool::MAX_BODY_BYTES;
use martenlatch_http::{self as http, Body};
use martenlatch_policy::interface::Outcome;

use super::attempt_end::EndCause;
use super::endpoint_connection::{EndpointConnection, RemainingResponse};
use super::gone::GONE_STATUS;

/// The header with the time for which no request may be sent to the destination, in milliseconds; the equivalent of
/// HTTP's Retry-After. Lower-case, as are all parsed header names.
const BACKOFF_HEADER: &str = "x-backoff-ms";
/// The limit on the backoff that an endpoint asks for, in milliseconds. A longer one is reduced to it.
const MAX_RETRY_AFTER_MS: f64 = 3.6e6;
/// The status of a delivery.
pub(super) const SUCCESS_STATUS: u16 = 200;
/// The statuses that say that a request was not run, and that may ask to wait.
pub(super) const REJECTION_STATUSES: [u16; 2] = [429, 503];
/// The header whose value "1" says that a proxy on the path had no capacity and did not forward the request to the
/// endpoint.
const PROXY_FULL_HEADER: &str = "x-egress-full";

/// How much of the response to a request has been received.
pub(super) enum ResponseProgress {
    /// Too little to determine the outcome.
    Pending,
    /// An informational response (1xx) of `consumed` bytes, which precedes the final response.
    Informational { consumed: usize },
    /// The head of a response with status 200 or 410, or a complete response with another status.
    Received(http::Response),
    /// An incomplete head with a status line of 200 or 410. That suffices, as the rest of the head may never arrive.
    StatusLine {
        /// The status.
        status: u16,
    },
    /// No valid response will be received.
    Ended(EndCause),
}

/// Parses the bytes received so far of the response to the request on a connection.
pub(super) fn read_response(connection: &EndpointConnection, fully_sent: bool) -> ResponseProgress {
    let bytes = connection.socket.bytes();
    match mixed_responses(connection) {
        MixedResponses::None => {}
        MixedResponses::Incomplete => return ResponseProgress::Pending,
        MixedResponses::Complete => return ResponseProgress::Ended(EndCause::MixedResponses),
    }
    match http::parse_response(bytes) {
        Ok(Some(response)) => read_body(response, connection, fully_sent),
        Ok(None) if http::starts_with_status(bytes, SUCCESS_STATUS) => {
            ResponseProgress::StatusLine {
                status: SUCCESS_STATUS,
            }
        }
        Ok(None) if http::starts_with_status(bytes, GONE_STATUS) => ResponseProgress::StatusLine {
            status: GONE_STATUS,
        },
        Ok(None) if connection.is_closed() => ResponseProgress::Ended(EndCause::ConnectionLost),
        Ok(None) => ResponseProgress::Pending,
        // The endpoint is up and has run the request, so this is not handled as a lost connection.
        Err(http::MalformedResponse) => ResponseProgress::Ended(EndCause::MalformedResponse),
    }
}

/// Whether another response begins inside the one that is being received.
enum MixedResponses {
    /// None does, as far as is known.
    None,
    /// One does, and its head, which may ask to wait, is incomplete.
    Incomplete,
    /// One does, and no more of it is needed.
    Complete,
}

fn mixed_responses(connection: &EndpointConnection) -> MixedResponses {
    let Some(second) = connection.second_response() else {
        return MixedResponses::None;
    };
    match http::parse_response(second) {
        Ok(None) if !connection.is_closed() => MixedResponses::Incomplete,
        _ => MixedResponses::Complete,
    }
}

/// Decides whether the body of a response has to be received before the outcome is known.
fn read_body(
    response: http::Response,
    connection: &EndpointConnection,
    fully_sent: bool,
) -> ResponseProgress {
    match response.status {
        ..200 => ResponseProgress::Informational {
            consumed: response.consumed,
        },
        // A request runs only once its last byte has been sent, so this 200 is left over from an earlier exchange.
        // Taking it for this request's response would report a message as delivered that was never sent.
        SUCCESS_STATUS if !fully_sent => ResponseProgress::Ended(EndCause::PrematureSuccess),
        SUCCESS_STATUS | GONE_STATUS => ResponseProgress::Received(response),
        _ => match body_state(&response, connection) {
            BodyState::Complete => ResponseProgress::Received(response),
            BodyState::Incomplete => ResponseProgress::Pending,
            BodyState::Malformed => ResponseProgress::Ended(EndCause::MalformedResponse),
        },
    }
}

enum BodyState {
    Complete,
    Incomplete,
    Malformed,
}

/// Whether a response with another status than 200 or 410 is complete. Only a complete response proves that the request was
/// rejected and may be repeated: after a malformed one, the request may have run.
fn body_state(response: &http::Response, connection: &EndpointConnection) -> BodyState {
    let received = &connection.socket.bytes()[response.consumed..];
    if response.malformed_framing {
        return BodyState::Malformed;
    }
    match response.body.clone().try_decode(received, |_| {}) {
        None => BodyState::Malformed,
        Some((_, true)) => BodyState::Complete,
        Some((_, false)) if connection.is_closed() => match response.body {
            Body::UntilClose => BodyState::Complete,
            _ => BodyState::Malformed,
        },
        Some((_, false)) if received.len() >= MAX_BODY_BYTES => BodyState::Malformed,
        Some((_, false)) => BodyState::Incomplete,
    }
}

/// The consequences of a response for its attempt and its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseClassification {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// How long no request may be sent to the destination; zero if the response does not say.
    pub retry_after: Nanos,
}

impl ResponseClassification {
    /// Classifies a response by its status and headers.
    pub fn of(response: &http::Response) -> ResponseClassification {
        let retry_after = retry_after(response);
        let outcome = match response.status {
            SUCCESS_STATUS => Outcome::Success,
            503 if response.header(PROXY_FULL_HEADER) == Some("1") => Outcome::NotSent,
            status if REJECTION_STATUSES.contains(&status) => Outcome::Overloaded { retry_after },
            504 => Outcome::AttemptsExhausted,
            GONE_STATUS => Outcome::NotSent,
            _ => Outcome::Failure,
        };
        ResponseClassification {
            outcome,
            retry_after,
        }
    }
}

/// How long a response asks to send nothing to the destination; zero if it does not.
pub(super) fn retry_after(response: &http::Response) -> Nanos {
    response.header(BACKOFF_HEADER).map_or(0, parse_backoff)
}

/// The longest time that any header line in `bytes` asks to send nothing to the destination; zero if none does. The
/// beginning of the response that contains the line may be missing.
pub(super) fn longest_retry_after(bytes: &[u8]) -> Nanos {
    let lines = bytes.split(|byte| *byte == b'\n');
    let waits = lines.filter_map(|line| {
        let (name, value) = std::str::from_utf8(line).ok()?.split_once(':')?;
        let is_backoff = name.eq_ignore_ascii_case(BACKOFF_HEADER);
        is_backoff.then(|| parse_backoff(value.trim()))
    });
    waits.max().unwrap_or(0)
}

fn parse_backoff(value: &str) -> Nanos {
    let millis = value
        .parse::<f64>()
        .ok()
        .filter(|millis| millis.is_finite() && *millis > 0.0)
        .unwrap_or(0.0);
    nanos(millis.min(MAX_RETRY_AFTER_MS))
}

/// How much of the rest of a response has been received, after its outcome was reported.
pub(super) enum RemainderProgress {
    /// The response is still incomplete.
    Pending,
    /// The response is complete, and the connection can carry another request.
    Done,
    /// The connection cannot carry another request.
    Unusable,
}

/// Reads the rest of a response. Any byte on an idle connection makes it unusable.
pub(super) fn read_remainder(connection: &mut EndpointConnection) -> RemainderProgress {
    if matches!(connection.remaining_response, Some(RemainingResponse::Head))
        && !read_remaining_head(connection)
    {
        return RemainderProgress::Pending;
    }
    let received = connection.socket.bytes();
    let progress = match connection.remaining_response.as_mut() {
        Some(RemainingResponse::Head | RemainingResponse::Body(Body::UntilClose)) => None,
        Some(RemainingResponse::Body(body)) => body.try_decode(received, |_| {}),
        None => received.is_empty().then_some((0, true)),
    };
    match progress {
        Some((consumed, complete)) if !connection.is_closed() => {
            connection.history.add_rest(&received[..consumed]);
            connection.socket.consume(consumed);
            if complete {
                RemainderProgress::Done
            } else {
                RemainderProgress::Pending
            }
        }
        _ => RemainderProgress::Unusable,
    }
}

/// Reads the rest of a head whose status line has already determined the outcome. Returns false while the head is
/// incomplete.
fn read_remaining_head(connection: &mut EndpointConnection) -> bool {
    let mixed = mixed_responses(connection);
    let bytes = connection.socket.bytes();
    let body = match http::parse_response(bytes) {
        _ if matches!(mixed, MixedResponses::Incomplete) => return false,
        _ if matches!(mixed, MixedResponses::Complete) => Body::UntilClose,
        Ok(Some(response)) => {
            connection.history.add_rest(&bytes[..response.consumed]);
            connection.socket.consume(response.consumed);
            if response.keep_alive && !response.malformed_framing {
                response.body
            } else {
                Body::UntilClose
            }
        }
        Ok(None) if !connection.is_closed() => return false,
        _ => Body::UntilClose,
    };
    connection.remaining_response = Some(RemainingResponse::Body(body));
    true
}
