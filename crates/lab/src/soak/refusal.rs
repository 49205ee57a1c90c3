//! Answers that say that a request did not run, whole or not.

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_pcg::Pcg64;

use super::http::HttpStream;
use super::schedule::FaultKind;

/// The retry-after of a busy endpoint, in milliseconds.
const RETRY_AFTER: std::ops::Range<Millis> = 400.0..1_200.0;
/// The longest time between the two pieces of an answer, in milliseconds.
const LONGEST_PAUSE: Millis = 600.0;
/// The share of the refusals without a wait that come from a proxy without capacity.
const PROXY_FULL_SHARE: f64 = 0.2;
/// The share of the answers of an endpoint that fails which say that the message has had all its attempts.
const EXHAUSTED_SHARE: f64 = 0.2;

/// How much of an answer is written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Completeness {
    Whole,
    /// The rest follows later.
    InPieces,
    /// The connection ends in place of the rest.
    CutOff,
}

/// An answer that says that the request did not run.
pub(super) struct Refusal {
    status: u16,
    retry_after: Option<Millis>,
    text: String,
    /// How many bytes are written first.
    first_length: usize,
    completeness: Completeness,
}

impl Refusal {
    /// Draws the answer of an endpoint with a fault; `None` if it runs the request or does not answer.
    pub fn draw(fault: FaultKind, rng: &mut Pcg64) -> Option<Refusal> {
        match fault {
            FaultKind::EndpointBusy => Some(Refusal::busy(rng)),
            FaultKind::EndpointRefuses => Some(Refusal::without_wait(rng)),
            FaultKind::EndpointFails if rng.random_bool(EXHAUSTED_SHARE) => Some(Refusal::whole(
                504,
                "HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
            )),
            _ => None,
        }
    }

    fn whole(status: u16, text: &str) -> Refusal {
        Refusal {
            status,
            retry_after: None,
            text: text.to_string(),
            first_length: text.len(),
            completeness: Completeness::Whole,
        }
    }

    fn without_wait(rng: &mut Pcg64) -> Refusal {
        if rng.random_bool(PROXY_FULL_SHARE) {
            Refusal::whole(
                503,
                "HTTP/1.1 503 X\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n",
            )
        } else {
            Refusal::whole(503, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        }
    }

    /// An answer that asks to wait. What is written first of it has the whole line that does.
    fn busy(rng: &mut Pcg64) -> Refusal {
        let wait = rng.random_range(RETRY_AFTER).round();
        let beginning = format!("HTTP/1.1 429 X\r\nX-Backoff-Ms: {wait}\r\n");
        let text = format!("{beginning}Content-Length: 4\r\n\r\nbusy");
        let completeness = match rng.random_range(0..4) {
            0 => Completeness::InPieces,
            1 => Completeness::CutOff,
            _ => Completeness::Whole,
        };
        let first_length = match completeness {
            Completeness::Whole => text.len(),
            _ => rng.random_range(beginning.len()..text.len()),
        };
        Refusal {
            status: 429,
            retry_after: Some(wait),
            text,
            first_length,
            completeness,
        }
    }

    /// The status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The wait that the answer asks for, in milliseconds.
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after
    }

    /// The bytes that are written first.
    pub fn first_bytes(&self) -> &str {
        &self.text[..self.first_length]
    }

    /// Does what follows the first bytes. Returns false if the connection must be reset.
    pub fn finish(&self, stream: &mut HttpStream, rng: &mut Pcg64) -> bool {
        match self.completeness {
            Completeness::Whole => true,
            Completeness::InPieces => {
                let pause = rng.random_range(0.0..LONGEST_PAUSE);
                thread::sleep(Duration::from_secs_f64(pause / 1e3));
                stream.write(&self.text[self.first_length..])
            }
            Completeness::CutOff => {
                let _ = stream.stream.shutdown(Shutdown::Both);
                false
            }
        }
    }
}
