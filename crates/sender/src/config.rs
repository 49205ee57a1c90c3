//! The platform's configuration: the JSON file that `$PROXY_CONFIG` names, and the variables that override its fields.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use martenlatch_settings::platform::{self, PlatformSettings};
use martenlatch_settings::program::{ClientTimeouts, PeerSettings, ProgramSettings};
use serde_json::Value;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// The environment variable that names the folder for state that outlasts the process.
const STATE_VARIABLE: &str = "PROXY_STATE";
/// The environment variables that override fields of the file.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";
const OPERATOR_VARIABLE: &str = "PROXY_OPERATOR";
/// The environment variable that names this sender, and its name without one.
const NAME_VARIABLE: &str = "PROXY_NAME";
const DEFAULT_NAME: &str = "sender";

/// The least values of the limits with which a sender can work.
const MIN_SOCKETS: f64 = 32.0;
const MIN_DISK_MEGABYTES: f64 = 0.05;
const MIN_MEMORY_MEGABYTES: f64 = 16.0;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The configuration of one sender process.
#[derive(Clone)]
pub struct Config {
    /// This sender's name in its log and among its peers.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery, which also receives the status reports.
    pub discovery: SocketAddr,
    /// The address on which operators connect, if there is one.
    pub operator: Option<SocketAddr>,
    /// The folder for state that outlasts the process.
    pub state: PathBuf,
    /// The seed of all random draws.
    pub seed: u64,
    /// The most descriptors the process may have open.
    pub sockets: usize,
    /// The most bytes on disk.
    pub disk: u64,
    /// The most bytes of memory.
    pub memory: u64,
    /// The endpoint list as this sender last had it; null if it never had one.
    pub known: Value,
    /// The platform's settings.
    pub platform_settings: PlatformSettings,
    /// The timeouts for clients, from the program's own settings.
    pub clients: ClientTimeouts,
    /// The other senders, from the program's own settings; none where senders do not know one another.
    pub peers: Option<PeerSettings>,
}

/// Why the platform's configuration cannot be used. `Display` is one line that names the field or variable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is missing.
    #[error("{0}: the variable is not set")]
    UnsetVariable(&'static str),
    /// The configuration file cannot be read.
    #[error("PROXY_CONFIG: {path}: {reason}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        reason: std::io::Error,
    },
    /// The configuration file is not JSON.
    #[error("PROXY_CONFIG: not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The folder for state does not exist, or is no folder.
    #[error("PROXY_STATE: {0}: not a folder")]
    NotAFolder(String),
    /// Neither the file nor a variable names a required address.
    #[error("{0}: nothing names it")]
    MissingAddress(&'static str),
    /// An address cannot be parsed.
    #[error("{field}: {value:?} is not an address with a port")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A limit is missing, or below its least value.
    #[error("limits.{field}: not a number of {least} or more")]
    InvalidLimit {
        /// The field within `limits`.
        field: &'static str,
        /// The least value that can be used.
        least: f64,
    },
    /// The seed is missing or not hexadecimal.
    #[error("seed: hex digits are wanted")]
    InvalidSeed,
    /// A field is not a JSON object.
    #[error("{0}: an object is wanted")]
    NotAnObject(&'static str),
    /// The platform's settings cannot be used.
    #[error("{0}")]
    Settings(String),
    /// A class asks for an order that the protocol cannot keep.
    #[error(
        "setting Categories[].SerialByKey should be false: messages name no key to keep in order"
    )]
    OrderedClass,
}

impl Config {
    /// Reads the configuration at the start of the process.
    ///
    /// # Errors
    /// What cannot be used of the file or the variables.
    pub fn read() -> Result<Config, ConfigError> {
        Config::from_environment(Some(DISCOVERY_VARIABLE))
    }

    /// Reads the configuration again for a running sender. `$PROXY_DISCOVERY` no longer overrides the file: its value
    /// is that of the start, and must not hide a changed field.
    ///
    /// # Errors
    /// What cannot be used of the file or the variables.
    pub fn read_again() -> Result<Config, ConfigError> {
        Config::from_environment(None)
    }

    fn from_environment(discovery_variable: Option<&str>) -> Result<Config, ConfigError> {
        let json = read_file()?;
        let state = read_state_folder()?;
        let platform_settings = read_settings(&json)?;
        let known = read_known_endpoints(&json)?;
        Ok(Config {
            name: std::env::var(NAME_VARIABLE).unwrap_or_else(|_| DEFAULT_NAME.into()),
            listen: read_address(&json, "listen", Some(LISTEN_VARIABLE))?,
            discovery: read_address(&json, "discovery", discovery_variable)?,
            operator: read_operator_address(&json)?,
            state,
            seed: read_seed(&json)?,
            sockets: read_limit(&json, "sockets", MIN_SOCKETS)? as usize,
            disk: read_megabytes(&json, "disk_mb", MIN_DISK_MEGABYTES)?,
            memory: read_megabytes(&json, "memory_mb", MIN_MEMORY_MEGABYTES)?,
            known,
            platform_settings,
            clients: ProgramSettings::default().clients,
            peers: None,
        })
    }
}

fn read_variable(variable: &'static str) -> Result<String, ConfigError> {
    std::env::var(variable).map_err(|_| ConfigError::UnsetVariable(variable))
}

fn read_file() -> Result<Value, ConfigError> {
    let path = read_variable(CONFIG_VARIABLE)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(reason) => return Err(ConfigError::Unreadable { path, reason }),
    };
    serde_json::from_str(&text).map_err(ConfigError::NotJson)
}

fn read_state_folder() -> Result<PathBuf, ConfigError> {
    let state = read_variable(STATE_VARIABLE)?;
    if !Path::new(&state).is_dir() {
        return Err(ConfigError::NotAFolder(state));
    }
    Ok(state.into())
}

fn read_settings(json: &Value) -> Result<PlatformSettings, ConfigError> {
    let settings = json
        .get("settings")
        .filter(|settings| settings.is_object())
        .ok_or(ConfigError::NotAnObject("settings"))?;
    let platform_settings = platform::read(&settings.to_string())
        .map_err(|error| ConfigError::Settings(error.to_string()))?;
    if platform_settings
        .settings
        .classes
        .iter()
        .any(|class| class.ordered)
    {
        return Err(ConfigError::OrderedClass);
    }
    Ok(platform_settings)
}

fn read_known_endpoints(json: &Value) -> Result<Value, ConfigError> {
    let known = json.get("known").cloned().unwrap_or(Value::Null);
    if !known.is_null() && !known.is_object() {
        return Err(ConfigError::NotAnObject("known"));
    }
    Ok(known)
}

/// An address: the variable's value if it is set, else the field's.
fn read_address(
    json: &Value,
    field: &'static str,
    variable: Option<&str>,
) -> Result<SocketAddr, ConfigError> {
    let from_variable = variable.and_then(|variable| std::env::var(variable).ok());
    let from_file = || Some(json.get(field)?.as_str()?.to_string());
    let value = from_variable
        .or_else(from_file)
        .ok_or(ConfigError::MissingAddress(field))?;
    match value.parse() {
        Ok(address) => Ok(address),
        Err(_) => Err(ConfigError::InvalidAddress { field, value }),
    }
}

/// The operators' address. It is optional; an empty variable counts as unset.
fn read_operator_address(json: &Value) -> Result<Option<SocketAddr>, ConfigError> {
    let in_variable =
        std::env::var_os(OPERATOR_VARIABLE).is_some_and(|address| !address.is_empty());
    let in_file = json.get("operator").is_some_and(|field| !field.is_null());
    if !in_variable && !in_file {
        return Ok(None);
    }
    let variable = in_variable.then_some(OPERATOR_VARIABLE);
    read_address(json, "operator", variable).map(Some)
}

fn read_seed(json: &Value) -> Result<u64, ConfigError> {
    json.get("seed")
        .and_then(Value::as_str)
        .and_then(|digits| u64::from_str_radix(digits, 16).ok())
        .ok_or(ConfigError::InvalidSeed)
}

fn read_limit(json: &Value, field: &'static str, least: f64) -> Result<f64, ConfigError> {
    json.get("limits")
        .and_then(|limits| limits.get(field))
        .and_then(Value::as_f64)
        .filter(|limit| *limit >= least && limit.is_finite())
        .ok_or(ConfigError::InvalidLimit { field, least })
}

/// A limit in megabytes, as bytes.
fn read_megabytes(json: &Value, field: &'static str, least: f64) -> Result<u64, ConfigError> {
    Ok((read_limit(json, field, least)? * BYTES_PER_MEGABYTE) as u64)
}
