//! Answers of endpoints that are alike and written more than once.

use std::io::Write;
use std::thread;
use std::time::Duration;

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_pcg::Pcg64;

use super::http::HttpStream;
use super::withdrawal::{GONE, is_withdrawn};

/// The share of answers after which a copy is written.
const COPIED_SHARE: f64 = 0.3;
/// The share of copies that are cut off, and their shortest length in bytes.
const CUT_OFF_SHARE: f64 = 0.3;
const SHORTEST_COPY: usize = 12;
/// The number of latest answers of a connection of which one is written again.
const COPIED_ANSWERS: usize = 3;
/// The longest delay of a copy, in milliseconds; most come much sooner.
const LONGEST_DELAY: Millis = 500.0;

/// An answer whose bytes other answers have too.
#[derive(Clone, Copy, Debug)]
pub(super) struct RepeatedAnswer {
    /// The status.
    pub status: u16,
    /// Whether the request takes effect.
    pub runs: bool,
    /// The retry-after, in milliseconds.
    pub retry_after: Option<Millis>,
    /// All bytes of the answer.
    pub text: &'static str,
}

const SUCCESS: RepeatedAnswer = RepeatedAnswer {
    status: 200,
    runs: true,
    retry_after: None,
    text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
};
const REJECTION: RepeatedAnswer = RepeatedAnswer {
    status: 503,
    runs: false,
    retry_after: None,
    text: "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
};
const WAIT: RepeatedAnswer = RepeatedAnswer {
    status: 429,
    runs: false,
    retry_after: Some(900.0),
    text: "HTTP/1.1 429 X\r\nX-Backoff-Ms: 900\r\nContent-Length: 0\r\n\r\n",
};
const FAILURE: RepeatedAnswer = RepeatedAnswer {
    status: 500,
    runs: true,
    retry_after: None,
    text: "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
};

const EXHAUSTED: RepeatedAnswer = RepeatedAnswer {
    status: 504,
    runs: false,
    retry_after: None,
    text: "HTTP/1.1 504 X\r\nContent-Length: 0\r\n\r\n",
};
const WITHDRAWN: RepeatedAnswer = RepeatedAnswer {
    status: 410,
    runs: false,
    retry_after: None,
    text: GONE,
};

impl RepeatedAnswer {
    /// Draws an answer to a message: mostly a success, unless the message is over.
    pub fn draw(id: &str, rng: &mut Pcg64) -> RepeatedAnswer {
        match rng.random_range(0..100) {
            _ if is_withdrawn(id) => WITHDRAWN,
            0..15 => REJECTION,
            15..17 => WAIT,
            17..20 => FAILURE,
            20..22 => EXHAUSTED,
            _ => SUCCESS,
        }
    }
}

/// The requests and answers of one connection.
#[derive(Default)]
pub(super) struct AnsweredRequests {
    messages: Vec<String>,
    answers: Vec<&'static str>,
    are_uncertain: bool,
}

impl AnsweredRequests {
    /// Whether no request was answered yet.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Adds a message that was answered.
    pub fn add(&mut self, message: &str) {
        self.messages.push(message.to_string());
    }

    /// Adds an answer that may be written again.
    pub fn add_answer(&mut self, text: &'static str) {
        self.answers.push(text);
    }

    /// Whether the sender cannot know to which requests the answers of the connection belong.
    pub fn are_uncertain(&self) -> bool {
        self.are_uncertain
    }

    /// Makes the answers of the connection uncertain. Returns the messages that were answered before.
    pub fn make_uncertain(&mut self) -> &[String] {
        if std::mem::replace(&mut self.are_uncertain, true) {
            &[]
        } else {
            &self.messages
        }
    }

    /// Draws whether an answer is written again, and which one.
    pub fn draw_copy(&self, rng: &mut Pcg64) -> Option<AnswerCopy> {
        if !rng.random_bool(COPIED_SHARE) {
            return None;
        }
        let first = self.answers.len().saturating_sub(COPIED_ANSWERS);
        let text = self.answers[rng.random_range(first..self.answers.len())];
        let length = if rng.random_bool(CUT_OFF_SHARE) {
            rng.random_range(SHORTEST_COPY..text.len())
        } else {
            text.len()
        };
        Some(AnswerCopy(&text[..length]))
    }
}

/// A copy of an answer, whole or cut off.
pub(super) struct AnswerCopy(&'static str);

impl AnswerCopy {
    /// Writes the copy after a random time.
    pub fn write_later(self, stream: &HttpStream, rng: &mut Pcg64) {
        let Ok(mut stream) = stream.stream.try_clone() else {
            return;
        };
        let delay = LONGEST_DELAY * rng.random::<f64>().powi(3);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(delay / 1e3));
            // The connection may have ended.
            let _ = stream.write_all(self.0.as_bytes());
        });
    }
}
