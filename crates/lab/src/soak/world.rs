//! State that all threads of a soak share, and the messages and settings of a soak.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use martenlatch_clock::Millis;
use serde_json::{Value, json};

use super::history::{Effect, History};
use super::schedule::{Schedule, SoakSize};

/// How long endpoints remember idempotency keys.
pub const IDEMPOTENCY_WINDOW: Millis = 2_000.0;
/// Number of endpoints of one destination.
pub const ENDPOINTS_PER_DESTINATION: usize = 2;
/// Number of agents of one sender; one at a time provides discovery.
pub const AGENTS_PER_SENDER: usize = 2;
/// Interval at which threads poll for changes and for the end of the soak.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An endpoint as discovery lists it.
#[derive(Clone, Debug)]
struct ListedEndpoint {
    /// The number of earlier endpoints at this address.
    generation: u32,
    state: &'static str,
}

/// The endpoint list that discovery serves.
pub struct EndpointList {
    /// The version of the list, from 1.
    pub version: u64,
    endpoints: Vec<ListedEndpoint>,
    /// For each version from the second one on, the endpoint that changed.
    changes: Vec<usize>,
}

impl EndpointList {
    fn new(endpoints: usize) -> EndpointList {
        let listed = ListedEndpoint {
            generation: 0,
            state: "in_service",
        };
        EndpointList {
            version: 1,
            endpoints: vec![listed; endpoints],
            changes: Vec::new(),
        }
    }

    /// Sets an endpoint to draining.
    pub fn drain(&mut self, endpoint: usize) {
        self.endpoints[endpoint].state = "terminating";
        self.record_change(endpoint);
    }

    /// Replaces a draining endpoint by another one at the same address.
    pub fn replace(&mut self, endpoint: usize) {
        self.endpoints[endpoint].generation += 1;
        self.endpoints[endpoint].state = "in_service";
        self.record_change(endpoint);
    }

    fn record_change(&mut self, endpoint: usize) {
        self.version += 1;
        self.changes.push(endpoint);
    }

    /// Whether an endpoint accepts requests.
    pub fn is_active(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].state == "in_service"
    }

    /// The endpoints that changed after a version.
    pub fn changed_since(&self, version: u64) -> Vec<usize> {
        let known_changes = (version.max(1) - 1) as usize;
        let mut changed: Vec<usize> = self.changes.iter().skip(known_changes).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// The entry of an endpoint, and that of the endpoint that it replaced.
    fn entries_at(&self, endpoint: usize, address: SocketAddr) -> Vec<Value> {
        let ListedEndpoint { generation, state } = self.endpoints[endpoint];
        let entry = |generation: u32, state: &str| {
            json!({
                "uid": format!("s-{endpoint}-{generation}"),
                "endpoint": address.to_string(),
                "az": zone_of(endpoint),
                "model": "k",
                "pod_group": endpoint / ENDPOINTS_PER_DESTINATION,
                "state": state,
                "capacity_hint": 50.0,
                "boot_ms": 0
            })
        };
        let mut entries = vec![entry(generation, state)];
        if generation > 0 {
            entries.push(entry(generation - 1, "terminated"));
        }
        entries
    }

    /// The whole list, or the changes of some endpoints, in the form that discovery sends.
    pub fn to_json(&self, endpoints: &[usize], complete: bool, addresses: &[SocketAddr]) -> Value {
        let targets: Vec<Value> = endpoints
            .iter()
            .flat_map(|endpoint| self.entries_at(*endpoint, addresses[*endpoint]))
            .filter(|entry| !complete || entry["state"] != "terminated")
            .collect();
        json!({"rev": self.version, "all": complete, "targets": targets})
    }
}

/// The zone of an endpoint. The endpoints of one destination are in different zones.
pub fn zone_of(endpoint: usize) -> &'static str {
    if endpoint.is_multiple_of(ENDPOINTS_PER_DESTINATION) {
        "a"
    } else {
        "b"
    }
}

/// State that all threads of a soak share.
pub struct World {
    /// The recorded events.
    pub history: History,
    /// The scheduled faults and actions.
    pub schedule: Schedule,
    /// The size of the soak.
    pub size: SoakSize,
    /// The seed.
    pub seed: u64,
    /// The endpoint list.
    pub list: Mutex<EndpointList>,
    /// For each sender, the addresses of its endpoints.
    pub endpoint_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    /// Set when clients must submit nothing more.
    pub clients_stopped: AtomicBool,
    /// Set when all threads must end.
    pub stopped: AtomicBool,
    /// For each sender, the number of messages that it has accepted.
    pub accepted: Vec<AtomicUsize>,
    /// For each sender, the number of processes that were started to replace a running one.
    pub successors: Vec<AtomicUsize>,
    /// The deadline of each submitted message, by its id.
    pub deadlines: Mutex<HashMap<String, Millis>>,
    /// For each sender, the agent that provides discovery.
    pub discovery: Vec<Mutex<ActiveAgent>>,
}

/// The agent that provides a sender's discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct ActiveAgent {
    /// The index of the agent among those of the sender.
    pub agent: usize,
    /// When discovery moved to it; 0 for the first agent.
    pub since: Millis,
}

impl World {
    /// The state before anything runs.
    pub fn new(seed: u64, size: SoakSize) -> World {
        World {
            history: History::default(),
            schedule: Schedule::new(seed, size),
            size,
            seed,
            list: Mutex::new(EndpointList::new(size.endpoints)),
            endpoint_addresses: Mutex::default(),
            clients_stopped: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            accepted: (0..size.senders).map(|_| AtomicUsize::new(0)).collect(),
            successors: (0..size.senders).map(|_| AtomicUsize::new(0)).collect(),
            deadlines: Mutex::default(),
            discovery: (0..size.senders).map(|_| Mutex::default()).collect(),
        }
    }

    /// Whether all threads must end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Stores the deadline of a message that is being submitted.
    pub fn set_deadline(&self, id: &str, deadline: Millis) {
        if let Ok(mut deadlines) = self.deadlines.lock() {
            deadlines.insert(id.to_string(), deadline);
        }
    }

    /// The deadline of a message; `None` if no client has submitted it.
    pub fn deadline(&self, id: &str) -> Option<Millis> {
        self.deadlines.lock().ok()?.get(id).copied()
    }

    /// Whether the discovery of a sender has moved since an instant.
    pub fn has_moved_since(&self, sender: usize, since: Millis) -> bool {
        self.discovery[sender]
            .lock()
            .is_ok_and(|active| active.since > 0.0 && active.since >= since)
    }

    /// Moves the discovery of a sender to its next agent. Returns the index of that agent.
    pub fn move_discovery(&self, sender: usize) -> usize {
        let now = self.now();
        let Ok(mut active) = self.discovery[sender].lock() else {
            return 0;
        };
        *active = ActiveAgent {
            agent: (active.agent + 1) % AGENTS_PER_SENDER,
            since: now,
        };
        active.agent
    }

    /// Milliseconds since the start of the soak.
    pub fn now(&self) -> Millis {
        self.history.now()
    }
}

/// A message of the soak. All its properties follow from its id.
pub struct Message {
    /// Its id.
    pub id: String,
    /// The effect of a repeat.
    pub effect: Effect,
}

impl Message {
    /// The message with an id; `None` if the id is not one that clients of a soak use.
    pub fn from_id(id: &str) -> Option<Message> {
        let effect = match id.chars().next()? {
            'u' => Effect::NonIdempotent,
            'k' => Effect::Keyed,
            'z' => Effect::KeyedInZone,
            'i' => Effect::Idempotent,
            _ => return None,
        };
        Some(Message {
            id: id.to_string(),
            effect,
        })
    }

    /// The first letter of the ids of messages with an effect.
    pub fn id_prefix(effect: Effect) -> char {
        match effect {
            Effect::NonIdempotent => 'u',
            Effect::Keyed => 'k',
            Effect::KeyedInZone => 'z',
            Effect::Idempotent => 'i',
        }
    }

    /// The name of its message class.
    pub fn class(&self) -> &'static str {
        match self.effect {
            Effect::NonIdempotent => "debit",
            Effect::Keyed => "meter",
            Effect::KeyedInZone => "reading",
            Effect::Idempotent => "notice",
        }
    }

    /// Its idempotency key.
    pub fn key(&self) -> String {
        format!("key-of-{}", self.id)
    }

    /// Its body, whose length and content follow from its id.
    pub fn body(&self) -> String {
        const MAX_LENGTH: u32 = 3_000;
        let length = fnv1a(&self.id) % MAX_LENGTH;
        self.id
            .chars()
            .cycle()
            .take(length as usize)
            .collect::<String>()
    }
}

/// The 32-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(2_166_136_261, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
    })
}

/// The platform settings of the senders.
pub fn platform_settings(senders: usize) -> Value {
    let category = |name: &str, effect: &str, key_scope: &str| {
        json!({"Name": name, "Target": 1_000_000_000u64, "Deadline": 4_000_000_000u64, "Effect": effect,
            "KeyScope": key_scope, "MemorySpan": IDEMPOTENCY_WINDOW as u64 * 1_000_000, "Worth": 1, "LateWorth": 0.4})
    };
    json!({
        "Areas": ["a", "b"], "Zone": "a", "Balancers": senders, "Kinds": ["k"], "WeightKind": "rough",
        "Categories": [category("debit", "side_effect", "all"), category("meter", "token", "all"),
            category("reading", "token", "zone"), category("notice", "pure", "all")],
        "FamilyInfo": {"CallsOut": 16, "LosesWorth": "halving"},
        "Limits": {"OpenCap": 200, "AttemptsCap": 8, "Cancel": true, "SecondCopies": true,
            "ConnectTimeout": 1_000_000_000u64, "ConnIdle": 15_000_000_000u64, "RetryAfter": true,
            "MaxRetryAfter": 3_000_000_000u64},
        "Guarantees": {"StopSendingWithin": 1_000_000_000u64, "GraceToAnswer": 20_000_000u64, "OverloadFactor": 2,
            "OverloadFor": 3_000_000_000u64, "ColdFrom": 0.22, "Cold": 3_000_000_000u64},
        "Tick": 5_000_000
    })
}
