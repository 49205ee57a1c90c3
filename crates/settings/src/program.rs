//! The sender's own settings: a file in the protobuf text format, whose schema is `proto/settings.proto`. Absent fields
//! have defaults; numbers are checked against bounds.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::schema::settings::{self as schema, Settings, log};
use crate::text::{self, FieldError, ParsedFile};

/// The full name of the message that the file contains.
const MESSAGE_NAME: &str = "martenlatch.settings.Settings";
/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;
const MILLIS_PER_SECOND: f64 = 1e3;

/// A numeric field with its default and its inclusive bounds.
struct NumberField {
    /// The path of the field.
    path: &'static str,
    default: f64,
    min: f64,
    max: f64,
}

impl NumberField {
    const fn new(path: &'static str, default: f64, min: f64, max: f64) -> NumberField {
        NumberField {
            path,
            default,
            min,
            max,
        }
    }

    /// The field's value in a file, or its default.
    fn read(&self, file: &ParsedFile<Settings>, value: Option<f64>) -> Result<f64, FieldError> {
        let value = value.unwrap_or(self.default);
        file.check_bounds(self.path, value, self.min, self.max)
    }
}

const LINES_PER_SECOND: NumberField =
    NumberField::new("log.lines_per_second", 100.0, 1.0, 10_000.0);
/// A client has to receive an error or a close within 3 s of connecting, which limits the time for its request.
const REQUEST_MS: NumberField = NumberField::new("clients.request_ms", 2_400.0, 100.0, 2_900.0);
const IDLE_MS: NumberField = NumberField::new("clients.idle_ms", 6_000.0, 500.0, 3_600_000.0);
const LEARN_MS: NumberField = NumberField::new("peers.learn_ms", 500.0, 0.0, 10_000.0);
const HALF_LIFE_S: NumberField = NumberField::new("peers.half_life_s", 20.0, 1.0, 3_600.0);
const LONGEST_WAIT_S: NumberField = NumberField::new("peers.longest_wait_s", 120.0, 0.0, 86_400.0);
const PERIOD_MS: NumberField = NumberField::new("peers.period_ms", 500.0, 50.0, 60_000.0);
const SUSPECT_PERIODS: NumberField = NumberField::new("peers.suspect_periods", 5.0, 1.0, 100.0);

/// The format, the level and the rate limit of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Whether lines are JSON objects instead of `key=value` pairs.
    pub json: bool,
    /// The least severe level that is logged.
    pub level: log::Level,
    /// Maximum number of lines per second.
    pub lines_per_second: u32,
}

/// The timeouts for clients, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientTimeouts {
    /// For a whole request. For the first request, the time starts when the client connects.
    pub request_ms: f64,
    /// For the pause between two requests.
    pub idle_ms: f64,
}

/// How this sender communicates with its peers, the other senders. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSettings {
    /// The address on which this sender receives datagrams and connections.
    pub listen: SocketAddr,
    /// The addresses of senders that are usually running, which may include this one.
    pub seeds: Vec<SocketAddr>,
    /// The file with the secret that all members share.
    pub secret_file: PathBuf,
    /// Maximum time that a starting sender waits for the knowledge of its seeds.
    pub learn_ms: f64,
    /// The time in which knowledge from gossip loses half of its weight.
    pub half_life_ms: f64,
    /// Maximum time for which gossip can delay the next request to a destination. A longer reported wait is shortened
    /// to it.
    pub longest_wait_ms: f64,
    /// Whether this sender's own observations are saved in the state folder.
    pub keep: bool,
    /// The period of the membership protocol, in which one member is pinged.
    pub period_ms: f64,
    /// The number of periods in which a suspected member can refute the suspicion.
    pub suspect_periods: f64,
}

/// The sender's own settings, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSettings {
    /// The format, the level and the rate limit of the log.
    pub log: LogSettings,
    /// The timeouts for clients.
    pub clients: ClientTimeouts,
    /// How this sender communicates with its peers. `None` if senders share nothing.
    pub peers: Option<PeerSettings>,
}

impl Default for ProgramSettings {
    fn default() -> ProgramSettings {
        ProgramSettings {
            log: LogSettings {
                json: false,
                level: log::Level::Info,
                lines_per_second: LINES_PER_SECOND.default as u32,
            },
            clients: ClientTimeouts {
                request_ms: REQUEST_MS.default,
                idle_ms: IDLE_MS.default,
            },
            peers: None,
        }
    }
}

/// Reads the text of a settings file; `file` is its name in errors.
///
/// # Errors
/// The first error of syntax or bounds.
pub fn read(file: &str, text: &str) -> Result<ProgramSettings, FieldError> {
    let file = text::read::<Settings>(file, text, MESSAGE_NAME)?;
    let mut settings = ProgramSettings::default();
    if let Some(log) = &file.message.log {
        settings.log = read_log(&file, log)?;
    }
    if let Some(clients) = &file.message.clients {
        settings.clients = read_clients(&file, clients)?;
    }
    if let Some(peers) = &file.message.peers {
        settings.peers = Some(read_peers(&file, peers)?);
    }
    Ok(settings)
}

fn read_log(file: &ParsedFile<Settings>, log: &schema::Log) -> Result<LogSettings, FieldError> {
    let level = match log.level() {
        log::Level::Unset => log::Level::Info,
        level => level,
    };
    let lines_per_second = LINES_PER_SECOND.read(file, log.lines_per_second.map(f64::from))?;
    Ok(LogSettings {
        json: log.format() == log::Format::Json,
        level,
        lines_per_second: lines_per_second as u32,
    })
}

fn read_clients(
    file: &ParsedFile<Settings>,
    clients: &schema::Clients,
) -> Result<ClientTimeouts, FieldError> {
    Ok(ClientTimeouts {
        request_ms: REQUEST_MS.read(file, clients.request_ms)?,
        idle_ms: IDLE_MS.read(file, clients.idle_ms)?,
    })
}

fn read_peers(
    file: &ParsedFile<Settings>,
    peers: &schema::Peers,
) -> Result<PeerSettings, FieldError> {
    if peers.secret_file.is_empty() {
        let reason = "the path of a file that all members share is required";
        return Err(file.field_error("peers.secret_file", reason));
    }
    if peers.seed.len() > MAX_SEEDS {
        return Err(file.field_error("peers.seed", format!("more than {MAX_SEEDS} seeds")));
    }
    Ok(PeerSettings {
        listen: read_address(file, "peers.listen", &peers.listen)?,
        seeds: read_seeds(file, &peers.seed)?,
        secret_file: peers.secret_file.clone().into(),
        learn_ms: LEARN_MS.read(file, peers.learn_ms)?,
        half_life_ms: HALF_LIFE_S.read(file, peers.half_life_s)? * MILLIS_PER_SECOND,
        longest_wait_ms: LONGEST_WAIT_S.read(file, peers.longest_wait_s)? * MILLIS_PER_SECOND,
        keep: peers.keep,
        period_ms: PERIOD_MS.read(file, peers.period_ms)?,
        suspect_periods: SUSPECT_PERIODS.read(file, peers.suspect_periods)?,
    })
}

fn read_seeds(
    file: &ParsedFile<Settings>,
    seeds: &[String],
) -> Result<Vec<SocketAddr>, FieldError> {
    seeds
        .iter()
        .enumerate()
        .map(|(index, seed)| read_address(file, &format!("peers.seed[{index}]"), seed))
        .collect()
}

fn read_address(
    file: &ParsedFile<Settings>,
    field: &str,
    address: &str,
) -> Result<SocketAddr, FieldError> {
    match address.parse::<SocketAddr>() {
        Ok(parsed) if parsed.port() != 0 => Ok(parsed),
        _ => Err(file.field_error(field, format!("{address:?} is not an address with a port"))),
    }
}
