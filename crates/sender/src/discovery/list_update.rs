//! Parsing of the JSON objects in which discovery sends the endpoint list and its changes.

use std::net::SocketAddr;

use martenlatch_policy::interface::{DestinationId, EndpointState, KindId, ZoneId};
use serde_json::Value;
use thiserror::Error;

/// One object of a watch: the complete list, or changes to it.
pub(super) struct ListUpdate<'a> {
    /// The unparsed entries.
    pub entries: &'a [Value],
    /// Whether the entries are the complete list, so that other endpoints have been removed.
    pub complete: bool,
    /// The version of the list after this update.
    pub version: Option<u64>,
}

impl<'a> ListUpdate<'a> {
    /// Parses an update. Returns `None` if the object has no list of entries.
    pub fn parse(json: &'a Value) -> Option<ListUpdate<'a>> {
        Some(ListUpdate {
            entries: json.get("targets")?.as_array()?,
            complete: json.get("all").and_then(Value::as_bool).unwrap_or(false),
            version: json.get("rev").and_then(Value::as_u64),
        })
    }
}

/// A field of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryField {
    Name,
    State,
    Address,
    Zone,
    Kind,
    Destination,
    Weight,
}

impl EntryField {
    /// The key of the field in JSON.
    pub fn json_key(self) -> &'static str {
        match self {
            EntryField::Name => "uid",
            EntryField::State => "state",
            EntryField::Address => "endpoint",
            EntryField::Zone => "az",
            EntryField::Kind => "model",
            EntryField::Destination => "pod_group",
            EntryField::Weight => "capacity_hint",
        }
    }
}

/// Why an entry of the endpoint list cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum EntryError {
    /// A field is missing, or its value is invalid or unknown.
    #[error("the field {} is missing, invalid or unknown", .0.json_key())]
    Field(EntryField),
    /// The list has reached the limit on endpoints.
    #[error("the list has too many endpoints")]
    TooManyEndpoints,
}

impl EntryError {
    /// The name of the field in the log.
    pub fn logged_field(self) -> &'static str {
        match self {
            EntryError::Field(field) => field.json_key(),
            EntryError::TooManyEndpoints => "uid (too many regions)",
        }
    }

    /// Whether requesting the entry again would give the same error: its zone or kind is missing in the settings, or it
    /// exceeds the limit on endpoints.
    pub fn is_permanent(self) -> bool {
        matches!(
            self,
            EntryError::Field(EntryField::Zone | EntryField::Kind) | EntryError::TooManyEndpoints
        )
    }
}

fn string_field(json: &Value, field: EntryField) -> Result<&str, EntryError> {
    json.get(field.json_key())
        .and_then(Value::as_str)
        .ok_or(EntryError::Field(field))
}

/// The endpoint name in an entry, if it has one.
pub(super) fn entry_name(json: &Value) -> Option<&str> {
    string_field(json, EntryField::Name).ok()
}

/// The name and the state of the endpoint in an entry.
pub(super) struct EntryIdentity<'a> {
    /// The name under which discovery lists the endpoint.
    pub name: &'a str,
    /// The state that discovery reports.
    pub state: EndpointState,
}

impl<'a> EntryIdentity<'a> {
    /// Parses the name and the state of an entry.
    ///
    /// # Errors
    /// The field that cannot be read.
    pub fn parse(json: &'a Value) -> Result<EntryIdentity<'a>, EntryError> {
        let name = string_field(json, EntryField::Name)?;
        let state = match string_field(json, EntryField::State)? {
            "in_service" => EndpointState::Active,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return Err(EntryError::Field(EntryField::State)),
        };
        Ok(EntryIdentity { name, state })
    }
}

/// The names of the zones and kinds in the settings. The zone and the kind of an endpoint are indexes into them.
pub(super) struct ZoneAndKindNames {
    /// The zone names in index order.
    pub zones: Vec<String>,
    /// The kind names in index order.
    pub kinds: Vec<String>,
}

/// The other fields of an entry.
pub(super) struct EntryDetails {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The zone of the endpoint.
    pub zone: ZoneId,
    /// The kind of the endpoint.
    pub kind: KindId,
    /// The destination that the endpoint serves.
    pub destination: DestinationId,
    /// The relative capacity of the endpoint; zero if the entry does not state it.
    pub weight: f64,
}

impl EntryDetails {
    /// Parses the details. `last_address` replaces an address that is missing or invalid: an endpoint that is draining
    /// or removed needs no new one.
    pub fn parse(
        json: &Value,
        last_address: Option<SocketAddr>,
        names: &ZoneAndKindNames,
    ) -> Result<EntryDetails, EntryError> {
        let address = match parse_address(json) {
            Ok(address) => address,
            Err(error) => last_address.ok_or(error)?,
        };
        Ok(EntryDetails {
            address,
            zone: ZoneId(name_index(json, EntryField::Zone, &names.zones)?),
            kind: KindId(name_index(json, EntryField::Kind, &names.kinds)?),
            destination: json
                .get(EntryField::Destination.json_key())
                .and_then(Value::as_u64)
                .map(DestinationId)
                .ok_or(EntryError::Field(EntryField::Destination))?,
            weight: json
                .get(EntryField::Weight.json_key())
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
        })
    }
}

fn parse_address(json: &Value) -> Result<SocketAddr, EntryError> {
    string_field(json, EntryField::Address)?
        .parse()
        .map_err(|_| EntryError::Field(EntryField::Address))
}

/// The index in `names` of the name in a field.
fn name_index(json: &Value, field: EntryField, names: &[String]) -> Result<usize, EntryError> {
    let name = string_field(json, field)?;
    names
        .iter()
        .position(|known| known == name)
        .ok_or(EntryError::Field(field))
}
