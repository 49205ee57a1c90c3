//! Owns the address where operators call: a line a connection, one answer, and the end. It must never decide what an
//! answer says, take room from clients or regions, or hold on to a caller that does not finish its line.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::RegistrationToken;
use martenlatch_clock::Millis;
use martenlatch_http::buffer_pool::BufferPool;
use slab::Slab;
use tracing::warn;

use crate::event_source::{Connection, EventSource, Handle};

/// Longest line, its end not counted.
const LINE: usize = 512;
/// Callers at a time, at most: each has a descriptor and two buffers that nobody else gets.
pub const CALLERS: usize = 12;
/// A caller may take so long over its line; one that was answered may go on sending for as long as `LINGER`.
const TIME: Millis = 3_000.0;
const LINGER: Millis = 500.0;
/// Accepted in a round: callers must not stall the loop either.
const ACCEPTS: usize = 64;

/// What an operator asks for.
#[derive(Debug, PartialEq)]
pub enum Call {
    /// Whether this process takes clients.
    Health,
    /// The figures.
    Counters,
    /// Take a region out, by the name that discovery lists it by.
    Cordon(String),
    /// Put one back.
    Uncordon(String),
}

/// What a line asks for; the error is what its caller is told.
fn call(line: &[u8]) -> Result<Call, String> {
    let text = std::str::from_utf8(line).map_err(|_| "the line is not UTF-8".to_string())?;
    let mut words = text.split_ascii_whitespace();
    let word = words
        .next()
        .ok_or("an empty line; health, counters, cordon ID and uncordon ID are known")?;
    let call = match word {
        "health" => Call::Health,
        "counters" => Call::Counters,
        "cordon" | "uncordon" => {
            let id = words
                .next()
                .ok_or(format!("{word} wants the id of an endpoint"))?
                .to_string();
            if word == "cordon" {
                Call::Cordon(id)
            } else {
                Call::Uncordon(id)
            }
        }
        other => {
            let shown: String = other
                .chars()
                .take(40)
                .flat_map(char::escape_default)
                .collect();
            return Err(format!(
                "unknown call {shown}; health, counters, cordon ID and uncordon ID are known"
            ));
        }
    };
    match words.next() {
        Some(_) => Err(format!("{word} was given more than it takes")),
        None => Ok(call),
    }
}

/// The first line of what has come, once it is all there. A last line needs no end of its own.
fn line(bytes: &[u8], over: bool) -> Option<Result<Call, String>> {
    let end = bytes.iter().take(LINE + 2).position(|b| *b == b'\n');
    let line = match end {
        Some(end) => &bytes[..end],
        None if bytes.len() > LINE + 1 => {
            return Some(Err(format!("the line is over {LINE} bytes")));
        }
        None if over => bytes,
        None => return None,
    };
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Some(if line.len() > LINE {
        Err(format!("the line is over {LINE} bytes"))
    } else {
        call(line)
    })
}

/// An answer as it is written.
pub fn said(answer: Result<String, String>) -> String {
    match answer {
        Ok(said) => format!("ACK {said}"),
        Err(reason) => format!("NAK {reason}\n"),
    }
}

struct Caller {
    connection: Connection,
    /// When it connected, or was answered.
    since: Millis,
    answered: bool,
}

/// The address, and who calls there now.
pub struct Operators {
    listener: Rc<std::net::TcpListener>,
    token: RegistrationToken,
    handle: Handle,
    pool: BufferPool,
    callers: Slab<Caller>,
    /// Accepting rests after running out of descriptors.
    accept_at: Option<Millis>,
}

impl Operators {
    /// Listens there.
    ///
    /// # Errors
    /// One line that names the field.
    pub fn open(address: SocketAddr, handle: &Handle) -> Result<Operators, String> {
        let listener =
            crate::listen(address).map_err(|e| format!("operator: cannot bind {address}: {e}"))?;
        let listener = Rc::new(listener);
        let token = martenlatch_http::register(handle, listener.clone(), EventSource::Operators)
            .map_err(|e| format!("operator: cannot watch the socket: {e}"))?;
        let (pool, callers) = (BufferPool::new(2 * CALLERS), Slab::new());
        Ok(Operators {
            listener,
            token,
            handle: handle.clone(),
            pool,
            callers,
            accept_at: None,
        })
    }

    /// Takes those in who call. True if there may be more.
    pub fn accept(&mut self, now: Millis) -> bool {
        self.accept_at = None;
        for _ in 0..ACCEPTS {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if self.callers.len() >= CALLERS {
                        self.make_room();
                    }
                    let entry = self.callers.vacant_entry();
                    let key = EventSource::Operator(entry.key());
                    if let Ok(connection) = Connection::new(stream, &self.handle, &self.pool, key) {
                        entry.insert(Caller {
                            connection,
                            since: now,
                            answered: false,
                        });
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                // Out of descriptors, whoever holds them: one of ours that has had its time makes room.
                Err(e) => {
                    warn!(error = ?e.kind(), "operators' calls rest");
                    self.make_room();
                    self.accept_at = Some(now + 50.0);
                    return false;
                }
            }
        }
        true
    }

    /// The oldest goes, before all those that have their answer. Guards calls against callers who finish none.
    fn make_room(&mut self) {
        let oldest = self.callers.iter().min_by(|(_, a), (_, b)| {
            (!a.answered)
                .cmp(&!b.answered)
                .then(a.since.total_cmp(&b.since))
        });
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.callers.remove(at);
        }
    }

    /// Reads from a caller. What its line asks for, once it is there; nothing more is read as a call behind it.
    pub fn ready(&mut self, at: usize) -> Option<Result<Call, String>> {
        let caller = self.callers.get_mut(at)?;
        caller.connection.flush();
        caller.connection.receive();
        if caller.answered {
            let rest = caller.connection.bytes().len();
            caller.connection.consume(rest);
        }
        if caller.connection.broken
            || (caller.connection.eof && (caller.answered || caller.connection.bytes().is_empty()))
        {
            self.callers.remove(at);
            return None;
        }
        if caller.answered {
            None
        } else {
            line(caller.connection.bytes(), caller.connection.eof)
        }
    }

    /// Answers a caller, and ends.
    pub fn answer(&mut self, at: usize, text: &str, now: Millis) {
        let Some(caller) = self.callers.get_mut(at) else {
            return;
        };
        caller.connection.queue(text.as_bytes());
        let gone = !caller.connection.flush() && caller.connection.broken;
        let rest = caller.connection.bytes().len();
        caller.connection.consume(rest);
        if gone || caller.connection.eof && caller.connection.is_flushed() {
            self.callers.remove(at);
            return;
        }
        if caller.connection.is_flushed() {
            caller.connection.shutdown_write();
        }
        (caller.answered, caller.since) = (true, now);
    }

    /// Answers all who call with one reason why nothing is done for them here. True if the key is one of its sockets.
    pub fn turn_down(&mut self, key: EventSource, reason: &str, now: Millis) -> bool {
        match key {
            EventSource::Operators => {
                if self.accept(now) {
                    self.accept_at = Some(now);
                }
            }
            EventSource::Operator(at) => {
                if let Some(call) = self.ready(at) {
                    self.answer(at, &said(call.and(Err(reason.to_string()))), now);
                }
            }
            _ => return false,
        }
        true
    }

    /// Ends callers that are over their time, and takes calls again that rested.
    pub fn run_due(&mut self, now: Millis) {
        self.callers
            .retain(|_, c| now < c.since + if c.answered { LINGER } else { TIME });
        if self.accept_at.is_some_and(|at| at <= now) && self.accept(now) {
            self.accept_at = Some(now);
        }
    }

    /// When [`Operators::run_due`] has something to do.
    pub fn next_deadline(&self) -> Millis {
        let ends = self
            .callers
            .iter()
            .map(|(_, c)| c.since + if c.answered { LINGER } else { TIME });
        ends.chain(self.accept_at).fold(f64::INFINITY, f64::min)
    }
}

impl Drop for Operators {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_line_has_one_meaning_however_it_ends_and_bad_ones_are_told_why() {
        let cordon = |id: &str| Ok(Call::Cordon(id.into()));
        for (text, over, want) in [
            ("health\n", false, Some(Ok(Call::Health))),
            ("counters\r\n", false, Some(Ok(Call::Counters))),
            ("health", false, None),
            ("health", true, Some(Ok(Call::Health))),
            ("cordon s-1\nhealth\n", false, Some(cordon("s-1"))),
            (" cordon  s-1 \r\n", false, Some(cordon("s-1"))),
            ("uncordon s-1", true, Some(Ok(Call::Uncordon("s-1".into())))),
        ] {
            assert_eq!(line(text.as_bytes(), over), want, "{text:?}");
        }
        let long = "x".repeat(LINE + 2);
        for (text, word) in [
            (&b"\n"[..], "empty"),
            (b"HEALTH\n", "unknown call HEALTH"),
            (b"cordon\n", "wants the id"),
            (b"health now\n", "more than it takes"),
            (b"cordon a b\n", "more than it takes"),
            (b"\xff\xfe\n", "UTF-8"),
            (long.as_bytes(), "over 512 bytes"),
            (&[long.as_bytes(), b"\n"].concat(), "over 512 bytes"),
        ] {
            let reason = line(text, false)
                .expect("it is whole")
                .expect_err("it asks for nothing");
            assert!(reason.contains(word) && !reason.contains('\n'), "{reason}");
        }
    }
}
