//! Endpoint lists as they come in: an `inventory` line and its `entry` lines, kept until an instance is told to use
//! them. Several instances may use the same list.

use std::collections::BTreeMap;

use martenlatch_policy::interface::EndpointState;

use crate::error::LineError;
use crate::fields::{Fields, parse_number};

/// The weight of an entry that names none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// One entry of an endpoint list, with the names of the wire.
pub struct ListedEndpoint {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its destination's kind.
    pub kind: String,
    /// The number of its destination.
    pub destination: u64,
    /// Whether it is active, draining or removed.
    pub state: EndpointState,
    /// Its share of the load, relative to the others.
    pub weight: f64,
}

impl ListedEndpoint {
    fn parse(fields: &mut Fields) -> Result<ListedEndpoint, LineError> {
        fields.keyword("entry")?;
        Ok(ListedEndpoint {
            endpoint: fields.text("Receiver")?.to_string(),
            zone: fields.text("RegionPart")?.to_string(),
            kind: fields.text("ClassOfHost")?.to_string(),
            destination: fields.number("OwnerNo")?,
            state: parse_state(fields.text("StageState")?)?,
            weight: match fields.optional_text() {
                Some(weight) => parse_number(weight, "Heft")?,
                None => DEFAULT_WEIGHT,
            },
        })
    }
}

fn parse_state(text: &str) -> Result<EndpointState, LineError> {
    match text {
        "on" => Ok(EndpointState::Active),
        "fading" => Ok(EndpointState::Draining),
        "off" => Ok(EndpointState::Removed),
        _ => Err(LineError::NotAllowed {
            field: "StageState",
            allowed: "on, fading or off",
        }),
    }
}

/// A list whose entries are still coming in.
struct PendingList {
    number: u64,
    /// Entries that are still to come; at least one.
    remaining: usize,
}

/// The lists that have come in, by their numbers.
#[derive(Default)]
pub struct EndpointLists {
    lists: BTreeMap<u64, Vec<ListedEndpoint>>,
    pending: Option<PendingList>,
}

impl EndpointLists {
    /// Whether the next line has to be an entry.
    pub fn expects_entry(&self) -> bool {
        self.pending.is_some()
    }

    /// Begins a list of `count` entries, in place of an earlier one of the same number.
    pub fn begin(&mut self, number: u64, count: usize) {
        self.lists.insert(number, Vec::new());
        self.pending = (count > 0).then_some(PendingList {
            number,
            remaining: count,
        });
    }

    /// Adds an entry to the list that was begun last.
    pub fn add_entry(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let entry = ListedEndpoint::parse(fields)?;
        if let Some(mut pending) = self.pending.take() {
            self.lists.entry(pending.number).or_default().push(entry);
            pending.remaining -= 1;
            self.pending = (pending.remaining > 0).then_some(pending);
        }
        Ok(())
    }

    /// The entries of a list.
    pub fn get(&self, number: u64) -> Result<&[ListedEndpoint], LineError> {
        self.lists
            .get(&number)
            .map(Vec::as_slice)
            .ok_or(LineError::UnknownList)
    }
}
