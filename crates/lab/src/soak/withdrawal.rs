//! Messages that are over before they are sent: every endpoint answers them with 410.

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use martenlatch_clock::Millis;
use rand::RngExt;
use rand_pcg::Pcg64;

use super::http::HttpStream;

/// One of so many messages is over.
const WITHDRAWN_INTERVAL: u64 = 12;
/// The answer. All of them have the same bytes, so that each could be a copy of an earlier one.
pub(super) const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 4\r\n\r\ngone";
/// The fewest bytes of an answer that say anything of its status.
const SHORTEST_PART: usize = "HTTP/1.1 4".len();
/// The length of its status line, without which nobody can know the status.
const STATUS_LINE: usize = "HTTP/1.1 410 Gone\r\n".len();
/// The time between an answer and the end of its connection, or between its pieces, in milliseconds.
const PAUSE: std::ops::Range<Millis> = 0.0..300.0;

/// Whether a message is over.
pub(super) fn is_withdrawn(id: &str) -> bool {
    let hash = id
        .bytes()
        .fold(7u64, |hash, byte| hash.wrapping_mul(31) ^ u64::from(byte));
    hash.is_multiple_of(WITHDRAWN_INTERVAL)
}

/// How the answer is written, and what follows it.
#[derive(Clone, Copy, Debug)]
pub(super) enum WithdrawalAnswer {
    /// Whole, and nothing follows.
    Whole,
    /// Whole, then the end of the connection.
    End,
    /// Whole, then a reset.
    Reset,
    /// In two pieces.
    Pieces(usize),
    /// Its first bytes, then the end of the connection.
    CutOff(usize),
}

impl WithdrawalAnswer {
    /// Draws an answer.
    pub fn draw(rng: &mut Pcg64) -> WithdrawalAnswer {
        match rng.random_range(0..8) {
            0 => WithdrawalAnswer::End,
            1 => WithdrawalAnswer::Reset,
            2 => WithdrawalAnswer::Pieces(rng.random_range(STATUS_LINE..GONE.len())),
            3 => WithdrawalAnswer::CutOff(rng.random_range(SHORTEST_PART..GONE.len())),
            _ => WithdrawalAnswer::Whole,
        }
    }

    /// The bytes that are written first.
    pub fn first_bytes(self) -> &'static str {
        match self {
            WithdrawalAnswer::Pieces(length) | WithdrawalAnswer::CutOff(length) => &GONE[..length],
            WithdrawalAnswer::Whole | WithdrawalAnswer::End | WithdrawalAnswer::Reset => GONE,
        }
    }

    /// Whether the connection is reset behind it.
    pub fn is_reset(self) -> bool {
        matches!(self, WithdrawalAnswer::Reset)
    }

    /// Does what follows the first bytes. Returns false if the connection must be reset.
    pub fn finish(self, stream: &mut HttpStream, rng: &mut Pcg64) -> bool {
        let pause = Duration::from_secs_f64(rng.random_range(PAUSE) / 1e3);
        match self {
            WithdrawalAnswer::Whole => true,
            WithdrawalAnswer::Pieces(length) => {
                thread::sleep(pause);
                stream.write(&GONE[length..])
            }
            WithdrawalAnswer::End => {
                thread::sleep(pause);
                let _ = stream.stream.shutdown(Shutdown::Both);
                false
            }
            WithdrawalAnswer::Reset => {
                thread::sleep(pause);
                false
            }
            WithdrawalAnswer::CutOff(_) => {
                let _ = stream.stream.shutdown(Shutdown::Both);
                false
            }
        }
    }
}
