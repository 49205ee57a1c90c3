//! A sender instance: its decision module, and the names that the module's integer ids stand for.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};

use martenlatch_policy::Policy;
use martenlatch_policy::interface::{
    ClassId, DestinationId, EndpointEntry, EndpointId, Event, KeyId, KindId, Nanos, Outcome, ZoneId,
};
use martenlatch_settings::platform::{self as settings, PlatformSettings};

use crate::endpoint_lists::ListedEndpoint;
use crate::error::LineError;
use crate::fields::{Fields, parse_number};
use crate::messages::Messages;
use crate::reply;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// How an announced endpoint list updates the current one.
enum ListUpdate {
    /// It replaces the current list.
    Replace,
    /// It contains only the entries that have changed.
    Change,
}

/// A sender instance.
pub struct Instance {
    policy: Policy,
    platform_settings: PlatformSettings,
    /// Events of the current batch.
    events: Vec<Event>,
    /// Endpoint names, indexed by endpoint id.
    endpoint_names: Vec<String>,
    endpoint_ids: HashMap<String, EndpointId>,
    messages: Messages,
}

impl Instance {
    /// Opens an instance from its settings, a JSON object.
    pub fn open(settings: &str, seed: u64) -> Result<Instance, LineError> {
        let platform_settings = settings::read(settings)
            .map_err(|error| LineError::UnreadableSettings(error.into()))?;
        if platform_settings.polls_endpoint_list {
            return Err(LineError::PollingUnsupported);
        }
        let policy = Policy::new(platform_settings.settings.clone(), seed)
            .map_err(LineError::InvalidSettings)?;
        Ok(Instance {
            policy,
            platform_settings,
            events: Vec::new(),
            endpoint_names: Vec::new(),
            endpoint_ids: HashMap::new(),
            messages: Messages::default(),
        })
    }

    /// Adds the event of an announced endpoint list.
    pub fn announce(&mut self, mode: &str, listed: &[ListedEndpoint]) -> Result<(), LineError> {
        let entries = listed
            .iter()
            .map(|endpoint| self.endpoint_entry(endpoint))
            .collect::<Result<_, _>>()?;
        self.events.push(match parse_list_update(mode)? {
            ListUpdate::Replace => Event::EndpointList(entries),
            ListUpdate::Change => Event::EndpointChanges(entries),
        });
        Ok(())
    }

    fn endpoint_entry(&mut self, listed: &ListedEndpoint) -> Result<EndpointEntry, LineError> {
        Ok(EndpointEntry {
            endpoint: self.endpoint_id(&listed.endpoint),
            zone: ZoneId(position(
                "zone",
                &self.platform_settings.zones,
                &listed.zone,
            )?),
            kind: KindId(position(
                "kind",
                &self.platform_settings.kinds,
                &listed.kind,
            )?),
            destination: DestinationId(listed.destination),
            state: listed.state,
            weight: listed.weight,
        })
    }

    fn endpoint_id(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.endpoint_names.len() as u32);
        self.endpoint_names.push(name.to_string());
        self.endpoint_ids.insert(name.to_string(), id);
        id
    }

    /// Adds the event of a line, of which the event's name and the instance have been read.
    pub fn add_event(&mut self, name: &str, fields: &mut Fields) -> Result<(), LineError> {
        match name {
            "new_request" => self.message_accepted(fields),
            "finished" => self.attempt_ended(fields),
            "client_left" => self.client_left(fields),
            "reminder" => {
                self.events.push(Event::Wake);
                Ok(())
            }
            "headers" => skip_response_started(fields),
            "pong" => skip_probe_result(fields),
            // Gossip is ignored: the instances do not exchange observations.
            "peer" => Ok(()),
            _ => Err(LineError::Missing("an event")),
        }
    }

    fn message_accepted(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let name = fields.text("Rid")?;
        fields.skip("Predicted")?;
        let destination = DestinationId(fields.number("Destination")?);
        fields.skip("Attrs")?;
        fields.skip("Org")?;
        let class = ClassId(position(
            "class",
            &self.platform_settings.classes,
            fields.text("Qos")?,
        )?);
        let deadline = fields.number("Deadline")?;
        let id = self.messages.add(name);
        self.events.push(Event::MessageAccepted {
            id,
            destination,
            class,
            deadline,
            key: fields.optional_text().map(key_id),
        });
        Ok(())
    }

    fn attempt_ended(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let id = self.messages.id(fields.text("Rid")?);
        let attempt = fields.number("Trial")?;
        fields.skip("Receiver")?;
        let reason = fields.text("Reason")?;
        let took = fields.number("CostTime")?;
        let finished = fields.flag("Closed")?;
        let outcome = parse_outcome(reason, fields.optional_text())?;
        let Some(id) = id else {
            return Ok(());
        };
        self.events.push(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            took,
            finished,
        });
        self.messages.attempt_ended(id);
        if finished {
            self.messages.finish(id);
        }
        Ok(())
    }

    fn client_left(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        if let Some(id) = self.messages.id(fields.text("Rid")?) {
            self.events.push(Event::ClientLeft(id));
            self.messages.finish(id);
        }
        Ok(())
    }

    /// Runs a turn of the decision module if the batch has events, and writes the actions to the reply.
    pub fn run_turn(&mut self, now: Nanos, number: u64, reply: &mut String) {
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        let turn = AssertUnwindSafe(|| self.policy.turn(now, &events, &mut actions));
        if let Err(panic) = catch_unwind(turn) {
            reply::write_panic(number, &*panic, reply);
            return;
        }
        for action in &actions {
            reply::write_action(
                number,
                action,
                &mut self.messages,
                &self.endpoint_names,
                reply,
            );
        }
        self.messages.remove_finished();
    }
}

fn parse_list_update(mode: &str) -> Result<ListUpdate, LineError> {
    match mode {
        "delta" => Ok(ListUpdate::Change),
        "full" | "cached" => Ok(ListUpdate::Replace),
        _ => Err(LineError::NotAllowed {
            field: "Mode",
            allowed: "delta, full, cached or failed",
        }),
    }
}

/// Checks the form of an event that a response has begun. The event is ignored, since the outcome is reported when the
/// response is complete.
fn skip_response_started(fields: &mut Fields) -> Result<(), LineError> {
    fields.skip("Rid")?;
    fields.skip("CostTime")?;
    fields.skip("Receiver")?;
    fields.number::<u32>("Trial")?;
    Ok(())
}

/// Checks the form of the result of a probe. The result is ignored, since the decision module sends only messages.
fn skip_probe_result(fields: &mut Fields) -> Result<(), LineError> {
    fields.skip("CostTime")?;
    parse_outcome(fields.text("Reason")?, None)?;
    fields.skip("Receiver")
}

/// The outcome of an attempt. `retry_after` is the Retry-After of an overloaded response, in milliseconds.
fn parse_outcome(reason: &str, retry_after: Option<&str>) -> Result<Outcome, LineError> {
    match reason {
        "success" => Ok(Outcome::Success),
        "failure" => Ok(Outcome::Failure),
        "overloaded" => {
            let millis: Nanos = match retry_after {
                Some(text) => parse_number(text, "WaitMs")?,
                None => 0,
            };
            Ok(Outcome::Overloaded {
                retry_after: millis.saturating_mul(NANOS_PER_MILLI),
            })
        }
        "timed_out" => Ok(Outcome::TimedOut),
        "unreachable" => Ok(Outcome::Unreachable),
        "broken" => Ok(Outcome::ConnectionLost),
        "withdrawn" => Ok(Outcome::Cancelled),
        "void" => Ok(Outcome::NotSent),
        _ => Err(LineError::NotAllowed {
            field: "Reason",
            allowed: "an outcome",
        }),
    }
}

/// The index of a name in a list of the settings. `kind` is what the name refers to, for the error.
fn position(kind: &'static str, names: &[String], name: &str) -> Result<usize, LineError> {
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| LineError::UnknownName {
            kind,
            name: name.to_string(),
        })
}

/// Hashes an ordering key. Messages of two keys with the same hash wait for each other, which is harmless.
fn key_id(key: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    KeyId(hasher.finish())
}
