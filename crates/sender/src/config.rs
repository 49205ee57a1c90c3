//! Owns what the platform tells a sender: `$PROXY_CONFIG` and the variables that outrank it. It must never take a
//! configuration that it could not read whole.

use std::net::SocketAddr;
use std::path::PathBuf;

use martenlatch_settings::platform::{self, Boot};
use martenlatch_settings::program::{Clients, Peers};
use serde_json::Value;

/// What the sender is told at its start.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub operator: Option<SocketAddr>,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    pub disk: u64,
    pub memory: u64,
    /// The service table as this sender last had it.
    pub known: Value,
    pub boot: Boot,
    /// From the program's own settings.
    pub clients: Clients,
    /// Senders that know one another.
    pub peers: Option<Peers>,
}

fn address(json: &Value, field: &str, variable: &str) -> Result<SocketAddr, String> {
    let outranks = if variable.is_empty() {
        None
    } else {
        std::env::var(variable).ok()
    };
    let told = outranks.or_else(|| Some(json.get(field)?.as_str()?.to_string()));
    let told = told.ok_or_else(|| format!("{field}: nothing names it"))?;
    told.parse()
        .map_err(|_| format!("{field}: {told:?} is not an address with a port"))
}

/// Where operators call: named by nothing, there is no such address.
fn operator(json: &Value) -> Result<Option<SocketAddr>, String> {
    let named = std::env::var_os("PROXY_OPERATOR").is_some_and(|v| !v.is_empty());
    if !named && json.get("operator").is_none_or(Value::is_null) {
        return Ok(None);
    }
    address(json, "operator", if named { "PROXY_OPERATOR" } else { "" }).map(Some)
}

impl Config {
    /// Reads `$PROXY_CONFIG`; the error is one line that names the field.
    ///
    /// # Errors
    /// What is wrong, in one line.
    pub fn read() -> Result<Config, String> {
        Config::from_file("PROXY_DISCOVERY")
    }

    /// Reads the file again for a running sender. What the variable said at the start must not hide the file now.
    pub fn read_again() -> Result<Config, String> {
        Config::from_file("")
    }

    fn from_file(discovery: &str) -> Result<Config, String> {
        let path =
            std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG: the variable is not set")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("PROXY_CONFIG: {path}: {e}"))?;
        let json: Value =
            serde_json::from_str(&text).map_err(|e| format!("PROXY_CONFIG: not JSON: {e}"))?;
        let state =
            std::env::var("PROXY_STATE").map_err(|_| "PROXY_STATE: the variable is not set")?;
        if !std::path::Path::new(&state).is_dir() {
            return Err(format!("PROXY_STATE: {state}: not a folder"));
        }
        let limit = |field: &str, least: f64| {
            let value = json
                .get("limits")
                .and_then(|l| l.get(field))
                .and_then(Value::as_f64);
            value
                .filter(|v| *v >= least && v.is_finite())
                .ok_or(format!("limits.{field}: not a number of {least} or more"))
        };
        let seed = json
            .get("seed")
            .and_then(Value::as_str)
            .and_then(|s| u64::from_str_radix(s, 16).ok());
        let told = json
            .get("settings")
            .filter(|s| s.is_object())
            .ok_or("settings: an object is wanted")?;
        let boot = platform::read(&told.to_string()).map_err(|e| e.to_string())?;
        // The protocol has nothing by which a client could name what its messages are about.
        if boot.settings.classes.iter().any(|c| c.ordered) {
            return Err(
                "setting Categories[].SerialByKey should be false: messages name no key to keep in order"
                    .into(),
            );
        }
        let known = json.get("known").cloned().unwrap_or(Value::Null);
        if !known.is_null() && !known.is_object() {
            return Err("known: an object is wanted".into());
        }
        Ok(Config {
            name: std::env::var("PROXY_NAME").unwrap_or_else(|_| "sender".into()),
            listen: address(&json, "listen", "PROXY_LISTEN")?,
            discovery: address(&json, "discovery", discovery)?,
            operator: operator(&json)?,
            state: state.into(),
            seed: seed.ok_or("seed: hex digits are wanted")?,
            sockets: limit("sockets", 32.0)? as usize,
            disk: (limit("disk_mb", 0.05)? * 1e6) as u64,
            memory: (limit("memory_mb", 16.0)? * 1e6) as u64,
            known,
            boot,
            clients: martenlatch_settings::program::Program::default().clients,
            peers: None,
        })
    }
}
