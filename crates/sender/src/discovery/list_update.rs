//! The JSON objects in which discovery sends the endpoint list, and the parsing of their entries.

use std::net::SocketAddr;

use martenlatch_policy::interface::{DestinationId, EndpointState, KindId, ZoneId};
use serde_json::Value;
use thiserror::Error;

/// One object of a watch: the complete list, or changes of it.
pub(super) struct ListUpdate<'a> {
    /// The entries as they came.
    pub entries: &'a [Value],
    /// An endpoint that is not among the entries has been removed.
    pub complete: bool,
    /// The version of the list with this update.
    pub version: Option<u64>,
}

impl<'a> ListUpdate<'a> {
    /// Reads an update; none if the object has no list of entries.
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
    /// The field's key in JSON.
    pub fn key(self) -> &'static str {
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
    #[error("the field {} is missing, invalid or unknown", .0.key())]
    Field(EntryField),
    /// The list has as many endpoints as it may have.
    #[error("too many endpoints")]
    TooManyEndpoints,
}

impl EntryError {
    /// The field as it is logged.
    pub fn field(self) -> &'static str {
        match self {
            EntryError::Field(field) => field.key(),
            EntryError::TooManyEndpoints => "uid (too many regions)",
        }
    }

    /// Whether the entry would be as useless if it were requested again: it names what the settings lack, or exceeds
    /// a limit of ours.
    pub fn is_permanent(self) -> bool {
        matches!(
            self,
            EntryError::Field(EntryField::Zone | EntryField::Kind) | EntryError::TooManyEndpoints
        )
    }
}

fn text(json: &Value, field: EntryField) -> Result<&str, EntryError> {
    json.get(field.key())
        .and_then(Value::as_str)
        .ok_or(EntryError::Field(field))
}

/// The name under which an entry lists its endpoint, if it has one.
pub(super) fn entry_name(json: &Value) -> Option<&str> {
    text(json, EntryField::Name).ok()
}

/// Which endpoint an entry is about, and its state.
pub(super) struct EntryIdentity<'a> {
    /// The name under which discovery lists the endpoint.
    pub name: &'a str,
    /// The state that discovery tells.
    pub state: EndpointState,
}

impl<'a> EntryIdentity<'a> {
    /// Reads the name and the state.
    ///
    /// # Errors
    /// The field that cannot be read.
    pub fn parse(json: &'a Value) -> Result<EntryIdentity<'a>, EntryError> {
        let name = text(json, EntryField::Name)?;
        let state = match text(json, EntryField::State)? {
            "in_service" => EndpointState::Active,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return Err(EntryError::Field(EntryField::State)),
        };
        Ok(EntryIdentity { name, state })
    }
}

/// The names of zones and kinds; an entry's zone and kind are indexes into them.
pub(super) struct SettingsNames {
    /// The zones in the order of their indexes.
    pub zones: Vec<String>,
    /// The kinds in the order of their indexes.
    pub kinds: Vec<String>,
}

/// All else that an entry says of its endpoint.
pub(super) struct EntryDetails {
    /// Where the endpoint is reached.
    pub address: SocketAddr,
    /// The zone it is in.
    pub zone: ZoneId,
    /// Its kind.
    pub kind: KindId,
    /// The destination it serves.
    pub destination: DestinationId,
    /// Its relative capacity; zero if the entry does not say.
    pub weight: f64,
}

impl EntryDetails {
    /// Reads the details. `last_address` stands in for an address that is missing or invalid: an endpoint that is
    /// draining or removed needs no new one.
    pub fn parse(
        json: &Value,
        last_address: Option<SocketAddr>,
        names: &SettingsNames,
    ) -> Result<EntryDetails, EntryError> {
        let address = match parse_address(json) {
            Ok(address) => address,
            Err(error) => last_address.ok_or(error)?,
        };
        Ok(EntryDetails {
            address,
            zone: ZoneId(index(json, EntryField::Zone, &names.zones)?),
            kind: KindId(index(json, EntryField::Kind, &names.kinds)?),
            destination: json
                .get(EntryField::Destination.key())
                .and_then(Value::as_u64)
                .map(DestinationId)
                .ok_or(EntryError::Field(EntryField::Destination))?,
            weight: json
                .get(EntryField::Weight.key())
                .and_then(Value::as_f64)
                .unwrap_or(0.0),
        })
    }
}

fn parse_address(json: &Value) -> Result<SocketAddr, EntryError> {
    text(json, EntryField::Address)?
        .parse()
        .map_err(|_| EntryError::Field(EntryField::Address))
}

/// The index of the name in a field among the names that the settings have.
fn index(json: &Value, field: EntryField, names: &[String]) -> Result<usize, EntryError> {
    let name = text(json, field)?;
    names
        .iter()
        .position(|known| known == name)
        .ok_or(EntryError::Field(field))
}
