//! Reads the settings object, which the adapter finds on its wire and the sender in its configuration: one reader
//! for both. It owns the names of the settings and must never decide, open a file or look at a clock.

use martenlatch_policy::interface::{
    Decay, DestinationKind, EndpointWeights, Idempotency, MessageClass, RecoveryRamp, Settings,
    ZoneId,
};
use serde_json::Value;

/// Settings, with the names that the wire uses for places in their lists.
#[derive(Clone, Debug)]
pub struct Boot {
    /// What the module works with.
    pub settings: Settings,
    /// Names of the zones, in their places.
    pub zones: Vec<String>,
    /// Names of the kinds.
    pub kinds: Vec<String>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Changes of the list come only to who asks or watches.
    pub asked: bool,
}

/// One JSON object, and its path for messages.
struct Node<'a>(&'a Value, &'a str);

impl<'a> Node<'a> {
    fn get(&self, key: &str) -> Result<&'a Value, String> {
        self.0
            .get(key)
            .ok_or_else(|| format!("setting {}{key} is missing", self.1))
    }
    fn wrong<T>(&self, key: &str, want: &str) -> Result<T, String> {
        Err(format!("setting {}{key} should be {want}", self.1))
    }
    fn object(&self, key: &'a str, path: &'a str) -> Result<Node<'a>, String> {
        let value = self.get(key)?;
        if value.is_object() {
            Ok(Node(value, path))
        } else {
            self.wrong(key, "an object")
        }
    }
    fn int(&self, key: &str) -> Result<u64, String> {
        self.get(key)?
            .as_u64()
            .map_or_else(|| self.wrong(key, "a whole number, not negative"), Ok)
    }
    fn int_or(&self, key: &str, absent: u64) -> Result<u64, String> {
        if self.0.get(key).is_some() {
            self.int(key)
        } else {
            Ok(absent)
        }
    }
    fn num(&self, key: &str) -> Result<f64, String> {
        self.get(key)?
            .as_f64()
            .map_or_else(|| self.wrong(key, "a number"), Ok)
    }
    fn num_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        if self.0.get(key).is_some() {
            self.num(key)
        } else {
            Ok(absent)
        }
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.0.get(key) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .map_or_else(|| self.wrong(key, "true or false"), Ok),
        }
    }
    fn text_or(&self, key: &str, absent: &'a str) -> Result<&'a str, String> {
        match self.0.get(key) {
            None => Ok(absent),
            Some(value) => value.as_str().map_or_else(|| self.wrong(key, "text"), Ok),
        }
    }
    fn list(&self, key: &str) -> Result<&'a [Value], String> {
        match self.0.get(key) {
            None => Ok(&[]),
            Some(Value::Array(list)) => Ok(list),
            Some(_) => self.wrong(key, "a list"),
        }
    }
    fn names(&self, key: &str) -> Result<Vec<String>, String> {
        let name = |v: &Value| v.as_str().map(str::to_string);
        self.list(key)?
            .iter()
            .map(|v| name(v).map_or_else(|| self.wrong(key, "a list of names"), Ok))
            .collect()
    }
}

/// Reads the settings; keys that are not known are skipped.
pub fn read(text: &str) -> Result<Boot, String> {
    let json: Value =
        serde_json::from_str(text).map_err(|e| format!("the settings are not JSON: {e}"))?;
    let root = Node(&json, "");
    let family = root.object("FamilyInfo", "FamilyInfo.")?;
    let limits = root.object("Limits", "Limits.")?;
    let rules = root.object("Guarantees", "Guarantees.")?;
    let zones = root.names("Areas")?;
    let kinds = root.names("Kinds")?;
    let zone_name = root.text_or("Zone", "")?;
    let zone = zones.iter().position(|z| z == zone_name);
    let zone =
        zone.ok_or_else(|| format!("setting Zone names {zone_name:?}, which Areas does not list"))?;
    let (mut classes, mut class_names) = (Vec::new(), Vec::new());
    for value in root.list("Categories")? {
        let node = Node(value, "Categories[].");
        class_names.push(node.text_or("Name", "")?.to_string());
        classes.push(class(&node)?);
    }
    let (apart, toll) = (family.list("OwnLimits")?, family.list("Toll")?);
    let kind = |i: usize| DestinationKind {
        per_endpoint: apart.get(i).and_then(Value::as_bool).unwrap_or(false),
    };
    let deductions = root
        .object("Deductions", "Deductions.")
        .unwrap_or(Node(&Value::Null, "Deductions."));
    let settings = Settings {
        senders: root.int("Balancers")?.min(u32::MAX.into()) as u32,
        zone: ZoneId(zone),
        zone_prices: (0..zones.len())
            .map(|i| toll.get(i).and_then(Value::as_f64).unwrap_or(0.0))
            .collect(),
        kinds: (0..kinds.len()).map(kind).collect(),
        classes,
        decay: match family.text_or("LosesWorth", "linear")? {
            "halving" => Decay::Halving,
            _ => Decay::Linear,
        },
        weight_meaning: match root.text_or("WeightKind", "off")? {
            "nominal" => EndpointWeights::Nominal,
            "rough" => EndpointWeights::Approximate,
            _ => EndpointWeights::Ignored,
        },
        max_in_flight: family.int("CallsOut")? as usize,
        max_held: limits.int("OpenCap")? as usize,
        max_attempts: limits.int("AttemptsCap")?.min(u32::MAX.into()) as u32,
        may_cancel: limits.flag("Cancel")?,
        may_hedge: limits.flag("SecondCopies")?,
        max_retry_after: limits
            .flag("RetryAfter")?
            .then_some(limits.int_or("MaxRetryAfter", 0)?),
        recovery: RecoveryRamp {
            overload_factor: rules.num("OverloadFactor")?,
            overload_window: rules.int("OverloadFor")?,
            initial_share: rules.num("ColdFrom")?,
            duration: rules.int("Cold")?,
        },
        key_quiet_period: rules.int_or("KeyQuiet", 0)?,
        connect_timeout: limits.int("ConnectTimeout")?,
        idle_timeout: limits.int_or("ConnIdle", u64::MAX)?,
        turn_interval: root.int_or("Tick", 1_000_000)?,
        cross_zone_price: deductions.num_or("CrossZone", 0.0)?,
        handshake_price: deductions.num_or("Handshake", 0.0)?,
    };
    settings.check().map_err(|e| e.to_string())?;
    let asked = root.text_or("RegistryMode", "push")? == "ask";
    Ok(Boot {
        settings,
        zones,
        kinds,
        classes: class_names,
        asked,
    })
}

fn class(node: &Node) -> Result<MessageClass, String> {
    if node.flag("Stream")? {
        return node.wrong("Stream", "false: answers are whole");
    }
    let effect = match node.text_or("Effect", "")? {
        "pure" => Idempotency::Idempotent,
        "side_effect" => Idempotency::NonIdempotent,
        "token" => {
            let per_zone = node.text_or("KeyScope", "all")? != "all";
            Idempotency::IdempotencyKey {
                per_zone,
                window: node.int("MemorySpan")?,
            }
        }
        _ => return node.wrong("Effect", "pure, token or side_effect"),
    };
    Ok(MessageClass {
        latency_objective: node.int("Target")?,
        deadline: node.int("Deadline")?,
        priority_weight: node.num("Worth")?,
        late_weight_share: node.num_or("LateWorth", 0.0)?,
        idempotency: effect,
        ordered: node.flag("SerialByKey")?,
    })
}
