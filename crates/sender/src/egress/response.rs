//! Reading responses of endpoints, and what they mean for an attempt and for a connection.

use martenlatch_clock::{Nanos, nanos};
use martenlatch_http::buffer_pool::MAX_BODY_BYTES;
use martenlatch_http::{self as http, Body};
use martenlatch_policy::interface::Outcome;

use super::attempt_end::EndCause;
use super::endpoint_connection::{EndpointConnection, RemainingResponse};

/// How long no request may be sent to the destination, in milliseconds: what HTTP calls Retry-After. Lower-case, as all
/// parsed header names.
const BACKOFF_HEADER: &str = "x-backoff-ms";
/// Longest time that an endpoint may have us wait, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 3.6e6;
/// Says with the value "1" that a proxy on the way had no capacity, and the endpoint never saw the request.
const PROXY_FULL_HEADER: &str = "x-egress-full";

/// How far the response to a request has come.
pub(super) enum ResponseProgress {
    /// Too little has come to tell.
    Pending,
    /// A response with a status of 1xx, of that many bytes: the final response is still to come.
    Informational { consumed: usize },
    /// The head of a response of 200, or a whole response of another status.
    Received(http::Response),
    /// A part of a head whose status line says 200, which is all that is needed: the head may never end.
    SuccessStatusLine,
    /// No valid response will come.
    Ended(EndCause),
}

/// Reads what has come of the response to the request on a connection.
pub(super) fn read_response(connection: &EndpointConnection, fully_sent: bool) -> ResponseProgress {
    let bytes = connection.connection.bytes();
    match http::parse_response(bytes) {
        Ok(Some(response)) => read_body(response, connection, fully_sent),
        Ok(None) if http::starts_with_status_200(bytes) => ResponseProgress::SuccessStatusLine,
        Ok(None) if connection.is_closed() => ResponseProgress::Ended(EndCause::ConnectionLost),
        Ok(None) => ResponseProgress::Pending,
        // The request has run, and the endpoint is up: this is not the reset of one that has gone.
        Err(http::MalformedResponse) => ResponseProgress::Ended(EndCause::MalformedResponse),
    }
}

/// Decides whether the body of a response has to be waited for.
fn read_body(
    response: http::Response,
    connection: &EndpointConnection,
    fully_sent: bool,
) -> ResponseProgress {
    match response.status {
        ..200 => ResponseProgress::Informational {
            consumed: response.consumed,
        },
        // A message must not be taken for delivered that was never sent: what an earlier response left behind says
        // nothing of this request, which begins to run with its last byte.
        200 if !fully_sent => ResponseProgress::Ended(EndCause::PrematureSuccess),
        200 => ResponseProgress::Received(response),
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

/// Whether a response other than 200 has come whole. Only a complete response proves that the request was rejected
/// and may be repeated: a malformed one comes after it has run.
fn body_state(response: &http::Response, connection: &EndpointConnection) -> BodyState {
    let received = &connection.connection.bytes()[response.consumed..];
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

/// What a response means for its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseMeaning {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The message is finished, and no final status is owed.
    pub message_over: bool,
    /// How long no request may be sent to the destination; zero if the response does not say.
    pub retry_after: Nanos,
}

impl ResponseMeaning {
    /// Reads the status and the headers of a response.
    pub fn of(response: &http::Response) -> ResponseMeaning {
        let retry_after = retry_after(response);
        let outcome = match response.status {
            200 => Outcome::Success,
            503 if response.header(PROXY_FULL_HEADER) == Some("1") => Outcome::NotSent,
            429 | 503 => Outcome::Overloaded { retry_after },
            504 => Outcome::AttemptsExhausted,
            410 => Outcome::NotSent,
            _ => Outcome::Failure,
        };
        ResponseMeaning {
            outcome,
            message_over: response.status == 410,
            retry_after,
        }
    }
}

fn retry_after(response: &http::Response) -> Nanos {
    let millis = response
        .header(BACKOFF_HEADER)
        .and_then(|value| value.parse::<f64>().ok())
        .filter(|millis| millis.is_finite() && *millis > 0.0)
        .unwrap_or(0.0);
    nanos(millis.min(MAX_RETRY_AFTER_MS))
}

/// How far the rest of a response has come, whose outcome has been reported.
pub(super) enum RemainderProgress {
    /// More is to come.
    Pending,
    /// The connection is free for another request.
    Done,
    /// The connection cannot be used again.
    Unusable,
}

/// Reads the rest of a response. On an idle connection, nothing may come.
pub(super) fn read_remainder(connection: &mut EndpointConnection) -> RemainderProgress {
    if matches!(connection.remaining_response, Some(RemainingResponse::Head))
        && !read_remaining_head(connection)
    {
        return RemainderProgress::Pending;
    }
    let received = connection.connection.bytes();
    let progress = match connection.remaining_response.as_mut() {
        Some(RemainingResponse::Head | RemainingResponse::Body(Body::UntilClose)) => None,
        Some(RemainingResponse::Body(body)) => body.try_decode(received, |_| {}),
        None => received.is_empty().then_some((0, true)),
    };
    match progress {
        Some((consumed, complete)) if !connection.is_closed() => {
            connection.connection.consume(consumed);
            if complete {
                RemainderProgress::Done
            } else {
                RemainderProgress::Pending
            }
        }
        _ => RemainderProgress::Unusable,
    }
}

/// Reads the head of a response of which only the status line was needed; false while it is not complete.
fn read_remaining_head(connection: &mut EndpointConnection) -> bool {
    let body = match http::parse_response(connection.connection.bytes()) {
        Ok(Some(response)) => {
            connection.connection.consume(response.consumed);
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
