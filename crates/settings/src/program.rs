//! Owns the sender's own settings: their defaults and their bounds. It must never take a file in part.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::schema::settings::{self as schema, Settings, log};
use crate::text::{self, Fault, Read};

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// JSON objects in place of `key=value` lines.
    pub json: bool,
    /// What is less grave is not written.
    pub level: log::Level,
    /// Most lines a second.
    pub lines_per_second: u32,
}

/// How long clients may take, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clients {
    /// For a whole request, the first counted from its connection.
    pub request_ms: f64,
    /// Between two requests.
    pub idle_ms: f64,
}

/// Senders that know one another. Times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// For datagrams and connections.
    pub listen: SocketAddr,
    /// Senders that usually run.
    pub seeds: Vec<SocketAddr>,
    /// What all members share.
    pub secret_file: PathBuf,
    /// That a newcomer waits for a snapshot at most.
    pub learn_ms: f64,
    /// In which what was told loses half of its weight.
    pub half_life_ms: f64,
    /// Longest told wait that is believed.
    pub longest_wait_ms: f64,
    /// Own knowledge is kept in the folder that lasts.
    pub keep: bool,
    /// In which one member is pinged.
    pub period_ms: f64,
    /// Periods that a silent member has to say that it lives.
    pub suspect_periods: f64,
}

/// Most seeds.
const SEEDS: usize = 64;

fn peers(read: &Read<Settings>, it: &schema::Peers) -> Result<Peers, Fault> {
    let address = |field: &str, text: &str| {
        let parsed = text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
        parsed.ok_or_else(|| read.fault(field, format!("{text:?} is not an address with a port")))
    };
    let number = |field: &str, told: Option<f64>, absent: f64, least: f64, most: f64| {
        read.within(
            &format!("peers.{field}"),
            told.unwrap_or(absent),
            least,
            most,
        )
    };
    if it.secret_file.is_empty() {
        return Err(read.fault(
            "peers.secret_file",
            "a file is wanted that all members share",
        ));
    }
    if it.seed.len() > SEEDS {
        return Err(read.fault("peers.seed", format!("more than {SEEDS}")));
    }
    let seeds = it
        .seed
        .iter()
        .enumerate()
        .map(|(i, s)| address(&format!("peers.seed[{i}]"), s));
    Ok(Peers {
        listen: address("peers.listen", &it.listen)?,
        seeds: seeds.collect::<Result<_, _>>()?,
        secret_file: it.secret_file.clone().into(),
        learn_ms: number("learn_ms", it.learn_ms, 500.0, 0.0, 10_000.0)?,
        half_life_ms: number("half_life_s", it.half_life_s, 20.0, 1.0, 3_600.0)? * 1e3,
        longest_wait_ms: number("longest_wait_s", it.longest_wait_s, 120.0, 0.0, 86_400.0)? * 1e3,
        keep: it.keep,
        period_ms: number("period_ms", it.period_ms, 500.0, 50.0, 60_000.0)?,
        suspect_periods: number("suspect_periods", it.suspect_periods, 5.0, 1.0, 100.0)?,
    })
}

/// The sender's own settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Program {
    /// How the log is written.
    pub log: Log,
    /// How long clients may take.
    pub clients: Clients,
    /// Senders that know one another; none: they share nothing.
    pub peers: Option<Peers>,
}

impl Default for Program {
    fn default() -> Program {
        Program {
            log: Log {
                json: false,
                level: log::Level::Info,
                lines_per_second: 100,
            },
            clients: Clients {
                request_ms: 2_400.0,
                idle_ms: 6_000.0,
            },
            peers: None,
        }
    }
}

/// Reads the text of a settings file; `file` names it in faults.
///
/// # Errors
/// The first fault, of form or of bounds.
pub fn read(file: &str, text: &str) -> Result<Program, Fault> {
    let read = text::read::<Settings>(file, text, "martenlatch.settings.Settings")?;
    let mut program = Program::default();
    if let Some(log) = &read.message.log {
        program.log.json = log.format() == log::Format::Json;
        if log.level() != log::Level::Unset {
            program.log.level = log.level();
        }
        if let Some(lines) = log.lines_per_second {
            read.within("log.lines_per_second", lines.into(), 1.0, 10_000.0)?;
            program.log.lines_per_second = lines;
        }
    }
    if let Some(clients) = &read.message.clients {
        // An error or a close is owed within 3 s of connecting.
        if let Some(ms) = clients.request_ms {
            program.clients.request_ms = read.within("clients.request_ms", ms, 100.0, 2_900.0)?;
        }
        if let Some(ms) = clients.idle_ms {
            program.clients.idle_ms = read.within("clients.idle_ms", ms, 500.0, 3_600_000.0)?;
        }
    }
    program.peers = read
        .message
        .peers
        .as_ref()
        .map(|it| peers(&read, it))
        .transpose()?;
    Ok(program)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn peers_are_off_unless_they_are_named_and_checked_whole() {
        let some = |more: &str| {
            read(
                "f",
                &format!("peers {{\n listen: \"127.0.0.1:7300\"\n secret_file: \"s\"\n {more}\n}}"),
            )
        };
        let peers = some("seed: \"127.0.0.1:7301\" learn_ms: 200")
            .unwrap()
            .peers
            .unwrap();
        assert_eq!(
            (peers.seeds.len(), peers.learn_ms, peers.half_life_ms),
            (1, 200.0, 20_000.0)
        );
        let fault = |text: Result<Program, Fault>| text.unwrap_err().to_string();
        let odd = fault(some("seed: \"127.0.0.1:7301\" seed: \"here\""));
        assert_eq!(
            odd,
            "f:4: peers.seed[1]: \"here\" is not an address with a port"
        );
        assert_eq!(
            fault(some("learn_ms: -1")),
            "f:4: peers.learn_ms: -1 is not within 0 and 10000"
        );
        let none = fault(read("f", "peers { listen: \"127.0.0.1:1\" }"));
        assert_eq!(
            none,
            "f:1: peers.secret_file: a file is wanted that all members share"
        );
        assert!(fault(read("f", "peers { secret_file: \"s\" }")).contains("peers.listen"));
    }

    #[test]
    fn the_shipped_file_says_the_defaults_and_bounds_hold() {
        let shipped = include_str!("../../../deploy/settings.textproto");
        assert_eq!(read("shipped", shipped), Ok(Program::default()));
        assert_eq!(read("empty", ""), Ok(Program::default()));
        let fault = read("f", "clients { request_ms: nan }").unwrap_err();
        assert_eq!(
            fault.to_string(),
            "f:1: clients.request_ms: NaN is not within 100 and 2900"
        );
    }
}
