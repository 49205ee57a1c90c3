//! One connection to an endpoint of a soak: its requests, and their answers with the faults of the endpoint.

use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use martenlatch_clock::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::answer_coverage::{AnswerEvidence, FollowUp, WrittenAnswers};
use super::endpoint::EndpointLink;
use super::endpoint_helpers::{is_intact, success};
use super::history::Event;
use super::http::{HttpMessage, HttpStream, ReadError};
use super::refusal::Refusal;
use super::repetition::{AnsweredRequests, RepeatedAnswer};
use super::schedule::FaultKind;
use super::withdrawal::{WithdrawalAnswer, is_withdrawn};
use super::world::POLL_INTERVAL;

/// How long an endpoint usually works on a request, in milliseconds.
const USUAL_WORK_TIME: std::ops::Range<Millis> = 2.0..30.0;
/// How long a slow endpoint works on a request.
const SLOW_WORK_TIME: std::ops::Range<Millis> = 200.0..900.0;
/// Delay of a late last byte.
const LAST_BYTE_DELAY: std::ops::Range<Millis> = 50.0..400.0;
/// When an endpoint with [`FaultKind::AnswersAsTimeRunsOut`] answers, relative to the message's deadline.
const DEADLINE_OFFSET: std::ops::Range<Millis> = -2.0..6.0;
/// The share of answers behind which the endpoint ends or resets the connection, and the time from the answer to that.
const ENDED_SHARE: f64 = 0.03;
const END_DELAY: std::ops::Range<Millis> = 0.0..300.0;
/// How long an endpoint keeps sending an answer whose head never ends.
const ENDLESS_ANSWER_TIME: Millis = 1_500.0;

/// A connection to an endpoint.
pub(super) struct EndpointConnection {
    link: EndpointLink,
    stream: HttpStream,
    rng: Pcg64,
    answered: AnsweredRequests,
    written: WrittenAnswers,
    has_carried_withdrawal: bool,
    /// The number of replacements of the sender's process when the connection was opened.
    successors_before: usize,
}

fn sleep(time: Millis) {
    thread::sleep(Duration::from_secs_f64(time / 1e3));
}

impl EndpointConnection {
    /// A connection that was accepted. The seed determines its answers.
    pub fn new(link: EndpointLink, stream: TcpStream, seed: u64) -> EndpointConnection {
        EndpointConnection {
            successors_before: link.successors(),
            link,
            stream: HttpStream::new(stream),
            rng: Pcg64::seed_from_u64(seed),
            answered: AnsweredRequests::default(),
            written: WrittenAnswers::default(),
            has_carried_withdrawal: false,
        }
    }

    /// Serves the requests of the connection until it ends.
    pub fn serve(mut self) {
        loop {
            let (request, began_at) = match self.read_request() {
                Ok(request) => request,
                Err(error) => {
                    if !matches!(error, ReadError::Stopped) {
                        self.note_follow_up(FollowUp::ClosedBySender);
                    }
                    return self.stream.reset();
                }
            };
            let Some(id) = request.header("x-request-id").map(str::to_string) else {
                return;
            };
            self.record_begin(&id, began_at);
            self.note_follow_up(if self.link.fault() == Some(FaultKind::EndpointHangs) {
                FollowUp::UnansweredRequest
            } else {
                FollowUp::NextRequest
            });
            // An endpoint that repeats an answer while the real one takes much longer than ever cannot be told from one
            // that has answered: see KNOWN-RED.txt.
            if self.answered.are_uncertain() && self.link.fault().is_some() {
                // The copies that are still to be written hold the connection open, too.
                let _ = self.stream.stream.shutdown(Shutdown::Both);
                return self.stream.reset();
            }
            self.note_incomplete_answer(&id);
            let keeps_open = self.answer(&request, &id);
            self.note_answered(&id);
            if !keeps_open {
                self.note_follow_up(FollowUp::EndedByEndpoint);
                return self.stream.reset();
            }
            if self.rng.random_bool(ENDED_SHARE) {
                return self.end();
            }
        }
    }

    /// Ends or resets the connection some time behind an answer; at once if a copy is still to be written, which would
    /// stand in the place of the answer to a request that comes before the end: see KNOWN-RED.txt.
    fn end(mut self) {
        let delay = self.rng.random_range(END_DELAY);
        let has_copies = self.answered.are_uncertain();
        let is_reset = self.rng.random_bool(0.5) && !has_copies;
        if !has_copies {
            sleep(delay);
        }
        if is_reset {
            self.note_follow_up(FollowUp::ResetByEndpoint);
        } else {
            self.note_follow_up(FollowUp::EndedByEndpoint);
            let _ = self.stream.stream.shutdown(Shutdown::Both);
        }
        self.stream.reset();
    }

    /// Reads the next request. Returns it with the time of its first byte.
    fn read_request(&mut self) -> Result<(HttpMessage, Millis), ReadError> {
        let mut began_at = None;
        let link = &self.link;
        let request = self.stream.read_message(|has_begun| {
            if has_begun && began_at.is_none() {
                began_at = Some(link.world.now());
            }
            let is_cut = has_begun && link.fault() == Some(FaultKind::ResetInRequest);
            is_cut || link.fault() == Some(FaultKind::EndpointDown) || link.world.is_stopped()
        })?;
        Ok((request, began_at.unwrap_or_else(|| link.world.now())))
    }

    fn record_begin(&self, id: &str, at: Millis) {
        let event = Event::RequestBegan {
            endpoint: self.link.number(),
            destination: self.link.destination(),
        };
        self.link.record_at(at, id, event);
    }

    /// Records that a complete request has arrived, and whether it takes effect.
    fn record_arrival(&self, request: &HttpMessage, id: &str, runs: bool) {
        let event = Event::RequestArrived {
            endpoint: self.link.number(),
            destination: self.link.destination(),
            intact: is_intact(request, id),
            runs,
        };
        self.link.record(id, event);
    }

    /// An answer that stays incomplete could be an earlier one that is cut off.
    fn note_incomplete_answer(&self, id: &str) {
        let is_incomplete = matches!(
            self.link.fault(),
            Some(FaultKind::LastByteLate | FaultKind::EndlessAnswer)
        );
        if is_incomplete && !self.answered.is_empty() {
            self.link.record(id, Event::AnswerUncertain);
        }
    }

    /// Notes whether the answer to a message is uncertain for the sender.
    fn note_answered(&mut self, id: &str) {
        self.answered.add(id);
        // A successor does not know what a connection has carried before.
        let is_inherited = self.link.successors() > self.successors_before;
        // Behind answers that are alike, no answer is certain before the connection has rested.
        if self.answered.are_uncertain() || is_inherited || self.has_carried_withdrawal {
            self.link.record(id, Event::AnswerUncertain);
        }
        self.has_carried_withdrawal |= is_withdrawn(id);
    }

    /// Records what has followed the latest answer.
    fn note_follow_up(&mut self, follow_up: FollowUp) {
        let now = self.link.world.now();
        if let Some((id, event)) = self.written.followed_by(follow_up, now) {
            self.link.record_at(now, &id, event);
        }
    }

    /// Runs a request and answers it. Returns false if the connection must be reset.
    fn answer(&mut self, request: &HttpMessage, id: &str) -> bool {
        if self.link.repeats_answers() {
            self.answer_repeatedly(request, id)
        } else {
            self.answer_once(request, id)
        }
    }

    /// Runs a request and answers it like others; some answers are written again later.
    fn answer_repeatedly(&mut self, request: &HttpMessage, id: &str) -> bool {
        let answer = RepeatedAnswer::draw(id, &mut self.rng);
        self.record_arrival(request, id, answer.runs);
        sleep(self.rng.random_range(USUAL_WORK_TIME));
        for message in self.answered.make_uncertain() {
            self.link.record(message, Event::AnswerUncertain);
        }
        self.link.record(id, Event::AnswerUncertain);
        let is_written =
            self.respond_with_retry_after(id, answer.status, answer.retry_after, answer.text);
        self.answered.add_answer(answer.text);
        if let Some(copy) = self.answered.draw_copy(&mut self.rng) {
            copy.write_later(&self.stream, &mut self.rng);
            self.note_follow_up(FollowUp::Copy);
        }
        is_written
    }

    /// Runs a request and answers it, according to the active fault.
    fn answer_once(&mut self, request: &HttpMessage, id: &str) -> bool {
        let fault = self.link.fault();
        if fault.is_none() && is_withdrawn(id) {
            return self.answer_withdrawn(request, id);
        }
        if let Some(refusal) = fault.and_then(|fault| Refusal::draw(fault, &mut self.rng)) {
            return self.refuse(request, id, &refusal);
        }
        self.record_arrival(request, id, true);
        match fault {
            Some(FaultKind::EndpointHangs) => self.hang(),
            Some(FaultKind::ResetBehindRequest) => false,
            Some(FaultKind::HalfAnswer) => {
                self.stream.write("HTTP/1.1 ");
                let _ = self.stream.stream.shutdown(Shutdown::Both);
                false
            }
            Some(FaultKind::WrongLength) => {
                self.respond(id, 200, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
                let _ = self.stream.stream.shutdown(Shutdown::Both);
                false
            }
            Some(FaultKind::EndlessAnswer) => self.answer_without_end(id),
            Some(FaultKind::EndpointFails) => {
                self.respond(id, 500, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            }
            Some(FaultKind::LastByteLate) => self.answer_with_late_last_byte(id),
            Some(FaultKind::HalfClose) => {
                self.respond(id, 200, &success(id));
                self.stream.stream.shutdown(Shutdown::Write).is_ok()
            }
            Some(FaultKind::AnswersAsTimeRunsOut) => {
                self.wait_until_about_deadline(id);
                self.respond(id, 200, &success(id))
            }
            Some(FaultKind::EndpointSlow) => {
                sleep(self.rng.random_range(SLOW_WORK_TIME));
                self.respond(id, 200, &success(id))
            }
            _ => {
                sleep(self.rng.random_range(USUAL_WORK_TIME));
                self.respond(id, 200, &success(id))
            }
        }
    }

    /// Answers a request that does not run.
    fn refuse(&mut self, request: &HttpMessage, id: &str, refusal: &Refusal) -> bool {
        self.record_arrival(request, id, false);
        let first = refusal.first_bytes();
        self.respond_with_retry_after(id, refusal.status(), refusal.retry_after(), first)
            && refusal.finish(&mut self.stream, &mut self.rng)
    }

    /// Answers a message that is over.
    fn answer_withdrawn(&mut self, request: &HttpMessage, id: &str) -> bool {
        self.record_arrival(request, id, false);
        sleep(self.rng.random_range(USUAL_WORK_TIME));
        let answer = WithdrawalAnswer::draw(&mut self.rng);
        if !self.respond(id, 410, answer.first_bytes()) {
            return false;
        }
        if answer.is_reset() {
            self.note_follow_up(FollowUp::ResetByEndpoint);
        }
        answer.finish(&mut self.stream, &mut self.rng)
    }

    /// Sends no answer while the endpoint hangs, and then ends the connection.
    fn hang(&self) -> bool {
        while self.link.has_fault(FaultKind::EndpointHangs) {
            thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Waits until shortly before or after the deadline of a message.
    fn wait_until_about_deadline(&mut self, id: &str) {
        let Some(deadline) = self.link.world.deadline(id) else {
            return;
        };
        let at = deadline + self.rng.random_range(DEADLINE_OFFSET);
        let remaining = at - self.link.world.now();
        if remaining > 0.0 {
            sleep(remaining);
        }
    }

    /// Writes an answer and records it, unless the sender has cancelled the request by closing the connection. Returns
    /// false if the write fails.
    fn respond(&mut self, id: &str, status: u16, text: &str) -> bool {
        self.respond_with_retry_after(id, status, None, text)
    }

    fn respond_with_retry_after(
        &mut self,
        id: &str,
        status: u16,
        retry_after: Option<Millis>,
        text: &str,
    ) -> bool {
        let was_open = !self.stream.has_ended();
        // An answer counts only if its first byte is written before the deadline, so `at` is taken before the write.
        let at = self.link.world.now();
        let written = self.stream.write(text);
        // If the sender closed the connection at the same moment, a reset comes back: the answer was never read.
        if written && was_open && !self.stream.is_reset() {
            let event = Event::Responded {
                destination: self.link.destination(),
                status,
                retry_after,
            };
            self.link.record_at(at, id, event);
            self.note_written(id, status, text, at);
        }
        written
    }

    fn note_written(&mut self, id: &str, status: u16, text: &str, at: Millis) {
        let is_inherited = self.link.successors() > self.successors_before;
        let may_be_copy = self.answered.are_uncertain() || is_inherited;
        let evidence = if may_be_copy && self.written.has_any() {
            AnswerEvidence::Uncertain
        } else {
            self.written.evidence_of(text)
        };
        self.written.add(id, status, evidence, text, at);
    }

    fn answer_with_late_last_byte(&mut self, id: &str) -> bool {
        let answer = success(id);
        let (beginning, last_byte) = answer.split_at(answer.len() - 1);
        let is_written = self.respond(id, 200, beginning);
        sleep(self.rng.random_range(LAST_BYTE_DELAY));
        is_written && self.stream.write(last_byte)
    }

    fn answer_without_end(&mut self, id: &str) -> bool {
        let until = self.link.world.now() + ENDLESS_ANSWER_TIME;
        let mut connected = self.respond(id, 200, "HTTP/1.1 200 OK\r\nX-Long: ");
        while connected && self.link.world.now() < until && !self.link.world.is_stopped() {
            connected = self.stream.write("aaaaaaaa");
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}
