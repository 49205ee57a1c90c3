//! The platform's configuration: the JSON file named by `$PROXY_CONFIG`, and the environment variables that override
//! its fields.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use martenlatch_settings::platform::{self, PlatformSettings};
use martenlatch_settings::program::{ClientTimeouts, PeerSettings, ProgramSettings};
use serde_json::Value;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";
/// The environment variable that names the folder for persistent state.
const STATE_VARIABLE: &str = "PROXY_STATE";
/// The environment variables that override fields of the file.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";
const DISCOVERY_VARIABLE: &str = "PROXY_DISCOVERY";
const OPERATOR_VARIABLE: &str = "PROXY_OPERATOR";
/// The environment variable that names this sender, and the name if the variable is not set.
const NAME_VARIABLE: &str = "PROXY_NAME";
const DEFAULT_NAME: &str = "sender";

/// The minimum values of the limits that a sender can work with.
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
    /// The address of discovery in the file, which a variable may override. `None` if the file has no valid one.
    pub discovery_in_file: Option<SocketAddr>,
    /// The address on which operators connect, if there is one.
    pub operator: Option<SocketAddr>,
    /// The folder for persistent state.
    pub state_folder: PathBuf,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Maximum number of open descriptors of the process.
    pub descriptor_limit: usize,
    /// Maximum disk usage in bytes.
    pub disk_limit: u64,
    /// Maximum memory usage in bytes.
    pub memory_limit: u64,
    /// The endpoint list that this sender last had; null if it never had one.
    pub known_endpoints: Value,
    /// The platform's settings.
    pub platform_settings: PlatformSettings,
    /// The timeouts for clients, from the program's own settings.
    pub clients: ClientTimeouts,
    /// The settings for peers, from the program's own settings; `None` if this sender has no peers.
    pub peers: Option<PeerSettings>,
}

/// Why the platform's configuration cannot be used. `Display` formats one line that names the field or variable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is missing.
    #[error("{0}: the variable is not set")]
    UnsetVariable(&'static str),
    /// The configuration file cannot be read.
    #[error("PROXY_CONFIG: {path}: {reason}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The system's error.
        reason: std::io::Error,
    },
    /// The configuration file is not valid JSON.
    #[error("PROXY_CONFIG: not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The state folder does not exist, or is not a folder.
    #[error("PROXY_STATE: {0}: not a folder")]
    NotAFolder(String),
    /// Neither the file nor a variable contains a required address.
    #[error("{0}: the address is missing")]
    MissingAddress(&'static str),
    /// An address cannot be parsed.
    #[error("{field}: {value:?} is not an address with a port")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A limit is missing, or below its minimum.
    #[error("limits.{field}: not a number of at least {minimum}")]
    InvalidLimit {
        /// The field within `limits`.
        field: &'static str,
        /// The minimum of the limit.
        minimum: f64,
    },
    /// The seed is missing or not hexadecimal.
    #[error("seed: not a hexadecimal number")]
    InvalidSeed,
    /// A field is not a JSON object.
    #[error("{0}: not a JSON object")]
    NotAnObject(&'static str),
    /// The platform's settings cannot be used.
    #[error("{0}")]
    Settings(String),
    /// A class requires an order of messages that the protocol cannot provide.
    #[error(
        "setting Categories[].SerialByKey should be false: messages have no key that defines their order"
    )]
    OrderedClass,
}

impl Config {
    /// Reads the configuration at the start of the process.
    ///
    /// # Errors
    /// If the file or a variable cannot be used.
    pub fn read() -> Result<Config, ConfigError> {
        Config::from_environment(Some(DISCOVERY_VARIABLE))
    }

    /// Reads the configuration again for a running sender. `$PROXY_DISCOVERY` no longer overrides the file, as it has
    /// the value from the start of the process and would hide a change of the field.
    ///
    /// # Errors
    /// If the file or a variable cannot be used.
    pub fn read_again() -> Result<Config, ConfigError> {
        Config::from_environment(None)
    }

    fn from_environment(discovery_variable: Option<&str>) -> Result<Config, ConfigError> {
        let json = read_file()?;
        let state_folder = read_state_folder()?;
        let platform_settings = read_settings(&json)?;
        let known_endpoints = read_known_endpoints(&json)?;
        Ok(Config {
            name: std::env::var(NAME_VARIABLE).unwrap_or_else(|_| DEFAULT_NAME.into()),
            listen: read_address(&json, "listen", Some(LISTEN_VARIABLE))?,
            discovery: read_address(&json, "discovery", discovery_variable)?,
            discovery_in_file: read_address(&json, "discovery", None).ok(),
            operator: read_operator_address(&json)?,
            state_folder,
            seed: read_seed(&json)?,
            descriptor_limit: read_limit(&json, "sockets", MIN_SOCKETS)? as usize,
            disk_limit: read_megabytes(&json, "disk_mb", MIN_DISK_MEGABYTES)?,
            memory_limit: read_megabytes(&json, "memory_mb", MIN_MEMORY_MEGABYTES)?,
            known_endpoints,
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
    let folder = read_variable(STATE_VARIABLE)?;
    if !Path::new(&folder).is_dir() {
        return Err(ConfigError::NotAFolder(folder));
    }
    Ok(folder.into())
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

/// Reads an address from the variable if it is set, otherwise from the field.
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

/// Reads the operators' address, which is optional. An empty variable counts as unset.
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

fn read_limit(json: &Value, field: &'static str, minimum: f64) -> Result<f64, ConfigError> {
    json.get("limits")
        .and_then(|limits| limits.get(field))
        .and_then(Value::as_f64)
        .filter(|limit| *limit >= minimum && limit.is_finite())
        .ok_or(ConfigError::InvalidLimit { field, minimum })
}

/// Reads a limit that the file gives in megabytes. Returns it in bytes.
fn read_megabytes(json: &Value, field: &'static str, minimum: f64) -> Result<u64, ConfigError> {
    Ok((read_limit(json, field, minimum)? * BYTES_PER_MEGABYTE) as u64)
}
