//! The platform's settings: a JSON object, which the sender finds in its configuration and the adapter in its input.

use martenlatch_policy::interface::{
    Decay, DestinationKind, EndpointWeights, Idempotency, MessageClass, RecoveryRamp, Settings,
    SettingsError, ZoneId,
};
use serde_json::Value;

/// The time between two turns of the decision module if the settings give none.
const DEFAULT_TURN_INTERVAL_NANOS: u64 = 1_000_000;

/// The settings of the decision module, and the platform's names for the zones, kinds and classes that they number.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the kinds of destination, by number.
    pub kinds: Vec<String>,
    /// The names of the classes of message, by number.
    pub classes: Vec<String>,
    /// Whether changes of the endpoint list have to be polled or watched. Otherwise the platform pushes them.
    pub polls_endpoint_list: bool,
}

/// Why the platform's settings cannot be used. `Display` is one line that names the setting.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The settings are not JSON.
    #[error("the settings are not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A required setting is missing.
    #[error("setting {0} is missing")]
    Missing(String),
    /// A setting has a value of the wrong type, or an unknown value.
    #[error("setting {setting} should be {expected}")]
    Invalid {
        /// The path of the setting.
        setting: String,
        /// What its value should be.
        expected: &'static str,
    },
    /// The sender's zone is not one of the listed zones.
    #[error("setting Zone names {0:?}, which Areas does not list")]
    UnknownZone(String),
    /// The decision module's check of the settings failed.
    #[error("{0}")]
    CheckFailed(#[source] SettingsError),
}

/// One JSON object of the settings.
struct SettingsObject<'a> {
    value: &'a Value,
    /// The path of the object in error messages, which ends with a dot; empty for the settings as a whole.
    path: &'static str,
}

impl<'a> SettingsObject<'a> {
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key)
    }

    fn required(&self, key: &str) -> Result<&'a Value, PlatformError> {
        self.get(key)
            .ok_or_else(|| PlatformError::Missing(format!("{}{key}", self.path)))
    }

    fn invalid(&self, key: &str, expected: &'static str) -> PlatformError {
        PlatformError::Invalid {
            setting: format!("{}{key}", self.path),
            expected,
        }
    }

    fn object(&self, key: &str, path: &'static str) -> Result<SettingsObject<'a>, PlatformError> {
        let value = self.required(key)?;
        if value.is_object() {
            Ok(SettingsObject { value, path })
        } else {
            Err(self.invalid(key, "an object"))
        }
    }

    fn integer(&self, key: &str) -> Result<u64, PlatformError> {
        self.required(key)?
            .as_u64()
            .ok_or_else(|| self.invalid(key, "a non-negative integer"))
    }

    fn integer_or(&self, key: &str, default: u64) -> Result<u64, PlatformError> {
        match self.get(key) {
            Some(_) => self.integer(key),
            None => Ok(default),
        }
    }

    /// An integer, or `u32::MAX` if it is larger.
    fn saturating_u32(&self, key: &str) -> Result<u32, PlatformError> {
        let integer = self.integer(key)?;
        Ok(u32::try_from(integer).unwrap_or(u32::MAX))
    }

    fn number(&self, key: &str) -> Result<f64, PlatformError> {
        self.required(key)?
            .as_f64()
            .ok_or_else(|| self.invalid(key, "a number"))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, PlatformError> {
        match self.get(key) {
            Some(_) => self.number(key),
            None => Ok(default),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, PlatformError> {
        let Some(value) = self.get(key) else {
            return Ok(false);
        };
        value
            .as_bool()
            .ok_or_else(|| self.invalid(key, "true or false"))
    }

    fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, PlatformError> {
        let Some(value) = self.get(key) else {
            return Ok(default);
        };
        value.as_str().ok_or_else(|| self.invalid(key, "text"))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], PlatformError> {
        match self.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => Err(self.invalid(key, "a list")),
        }
    }

    fn names(&self, key: &str) -> Result<Vec<String>, PlatformError> {
        let mut names = Vec::new();
        for value in self.list(key)? {
            let name = value
                .as_str()
                .ok_or_else(|| self.invalid(key, "a list of names"))?;
            names.push(name.to_string());
        }
        Ok(names)
    }
}

/// The JSON objects that the settings consist of.
struct Sections<'a> {
    root: SettingsObject<'a>,
    family: SettingsObject<'a>,
    limits: SettingsObject<'a>,
    guarantees: SettingsObject<'a>,
    deductions: SettingsObject<'a>,
}

impl<'a> Sections<'a> {
    fn of(json: &'a Value) -> Result<Sections<'a>, PlatformError> {
        let root = SettingsObject {
            value: json,
            path: "",
        };
        // Without this object, the default of each deduction applies.
        let deductions = root
            .object("Deductions", "Deductions.")
            .unwrap_or(SettingsObject {
                value: &Value::Null,
                path: "Deductions.",
            });
        Ok(Sections {
            family: root.object("FamilyInfo", "FamilyInfo.")?,
            limits: root.object("Limits", "Limits.")?,
            guarantees: root.object("Guarantees", "Guarantees.")?,
            deductions,
            root,
        })
    }
}

/// The zones, kinds and classes that the settings list by name.
struct NamedLists {
    zones: Vec<String>,
    /// The sender's own zone.
    zone: ZoneId,
    kinds: Vec<String>,
    class_names: Vec<String>,
    classes: Vec<MessageClass>,
}

impl NamedLists {
    fn read(root: &SettingsObject) -> Result<NamedLists, PlatformError> {
        let zones = root.names("Areas")?;
        let kinds = root.names("Kinds")?;
        let zone = read_zone(root, &zones)?;
        let mut class_names = Vec::new();
        let mut classes = Vec::new();
        for value in root.list("Categories")? {
            let class = SettingsObject {
                value,
                path: "Categories[].",
            };
            class_names.push(class.text_or("Name", "")?.to_string());
            classes.push(read_class(&class)?);
        }
        Ok(NamedLists {
            zones,
            zone,
            kinds,
            class_names,
            classes,
        })
    }
}

/// Reads the settings from their JSON text. Unknown keys are ignored.
///
/// # Errors
/// If the text is not JSON, a setting is missing or has an invalid value, or the decision module cannot work with the
/// settings.
pub fn read(text: &str) -> Result<PlatformSettings, PlatformError> {
    let json: Value = serde_json::from_str(text).map_err(PlatformError::NotJson)?;
    let sections = Sections::of(&json)?;
    let lists = NamedLists::read(&sections.root)?;
    let settings = read_settings(&sections, &lists)?;
    settings.check().map_err(PlatformError::CheckFailed)?;
    let polls_endpoint_list = sections.root.text_or("RegistryMode", "push")? == "ask";
    Ok(PlatformSettings {
        settings,
        zones: lists.zones,
        kinds: lists.kinds,
        classes: lists.class_names,
        polls_endpoint_list,
    })
}

fn read_settings(sections: &Sections, lists: &NamedLists) -> Result<Settings, PlatformError> {
    let Sections {
        root,
        family,
        limits,
        guarantees,
        deductions,
    } = sections;
    let per_endpoint = family.list("OwnLimits")?;
    let zone_prices = family.list("Toll")?;
    Ok(Settings {
        senders: root.saturating_u32("Balancers")?,
        zone: lists.zone,
        zone_prices: read_zone_prices(zone_prices, lists.zones.len()),
        kinds: read_kinds(per_endpoint, lists.kinds.len()),
        classes: lists.classes.clone(),
        decay: read_decay(family)?,
        weight_meaning: read_weight_meaning(root)?,
        max_in_flight: family.integer("CallsOut")? as usize,
        max_open_messages: limits.integer("OpenCap")? as usize,
        max_attempts: limits.saturating_u32("AttemptsCap")?,
        may_cancel: limits.flag("Cancel")?,
        may_hedge: limits.flag("SecondCopies")?,
        max_retry_after: read_max_retry_after(limits)?,
        recovery: read_recovery(guarantees)?,
        key_quiet_period: guarantees.integer_or("KeyQuiet", 0)?,
        connect_timeout: limits.integer("ConnectTimeout")?,
        idle_timeout: limits.integer_or("ConnIdle", u64::MAX)?,
        turn_interval: root.integer_or("Tick", DEFAULT_TURN_INTERVAL_NANOS)?,
        cross_zone_price: deductions.number_or("CrossZone", 0.0)?,
        handshake_price: deductions.number_or("Handshake", 0.0)?,
    })
}

fn read_zone(root: &SettingsObject, zones: &[String]) -> Result<ZoneId, PlatformError> {
    let name = root.text_or("Zone", "")?;
    zones
        .iter()
        .position(|zone| zone == name)
        .map(ZoneId)
        .ok_or_else(|| PlatformError::UnknownZone(name.to_string()))
}

fn read_zone_prices(prices: &[Value], zone_count: usize) -> Vec<f64> {
    (0..zone_count)
        .map(|zone| prices.get(zone).and_then(Value::as_f64).unwrap_or(0.0))
        .collect()
}

fn read_kinds(per_endpoint: &[Value], kind_count: usize) -> Vec<DestinationKind> {
    let flag = |kind: usize| per_endpoint.get(kind).and_then(Value::as_bool);
    (0..kind_count)
        .map(|kind| DestinationKind {
            per_endpoint: flag(kind).unwrap_or(false),
        })
        .collect()
}

fn read_decay(family: &SettingsObject) -> Result<Decay, PlatformError> {
    Ok(match family.text_or("LosesWorth", "linear")? {
        "halving" => Decay::Halving,
        _ => Decay::Linear,
    })
}

fn read_weight_meaning(root: &SettingsObject) -> Result<EndpointWeights, PlatformError> {
    Ok(match root.text_or("WeightKind", "off")? {
        "nominal" => EndpointWeights::Nominal,
        "rough" => EndpointWeights::Approximate,
        _ => EndpointWeights::Ignored,
    })
}

fn read_max_retry_after(limits: &SettingsObject) -> Result<Option<u64>, PlatformError> {
    let is_honoured = limits.flag("RetryAfter")?;
    let max = limits.integer_or("MaxRetryAfter", 0)?;
    Ok(is_honoured.then_some(max))
}

fn read_recovery(guarantees: &SettingsObject) -> Result<RecoveryRamp, PlatformError> {
    Ok(RecoveryRamp {
        overload_factor: guarantees.number("OverloadFactor")?,
        overload_window: guarantees.integer("OverloadFor")?,
        initial_share: guarantees.number("ColdFrom")?,
        duration: guarantees.integer("Cold")?,
    })
}

fn read_class(class: &SettingsObject) -> Result<MessageClass, PlatformError> {
    if class.flag("Stream")? {
        return Err(class.invalid("Stream", "false, as responses are not streamed"));
    }
    let idempotency = read_idempotency(class)?;
    Ok(MessageClass {
        latency_objective: class.integer("Target")?,
        deadline: class.integer("Deadline")?,
        priority_weight: class.number("Worth")?,
        late_weight_share: class.number_or("LateWorth", 0.0)?,
        idempotency,
        ordered: class.flag("SerialByKey")?,
    })
}

fn read_idempotency(class: &SettingsObject) -> Result<Idempotency, PlatformError> {
    match class.text_or("Effect", "")? {
        "pure" => Ok(Idempotency::Idempotent),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        "token" => Ok(Idempotency::IdempotencyKey {
            per_zone: class.text_or("KeyScope", "all")? != "all",
            window: class.integer("MemorySpan")?,
        }),
        _ => Err(class.invalid("Effect", "pure, token or side_effect")),
    }
}
