//! Received endpoint lists. Each is an `inventory` line with its `entry` lines, and is kept until an `announce` line
//! makes an instance use it. Several instances may use the same list.

use std::collections::BTreeMap;

use martenlatch_policy::interface::EndpointState;

use crate::error::LineError;
use crate::fields::{Fields, parse_number};

/// Weight of an entry that has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An entry of an endpoint list, with the names as received.
pub struct ListedEndpoint {
    /// The name of the endpoint.
    pub endpoint: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of the kind of its destination.
    pub kind: String,
    /// The number of its destination.
    pub destination: u64,
    /// Whether it is active, draining or removed.
    pub state: EndpointState,
    /// Its weight. The settings determine the meaning.
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

/// A list whose entries have not all been received.
struct PendingList {
    number: u64,
    /// Number of entries that have not been received; at least 1.
    remaining: usize,
}

/// The received lists by their numbers.
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

    /// Begins a list of `count` entries. It replaces an earlier list with the same number.
    pub fn begin(&mut self, number: u64, count: usize) {
        self.lists.insert(number, Vec::new());
        self.pending = (count > 0).then_some(PendingList {
            number,
            remaining: count,
        });
    }

    /// Adds an entry to the list that was begun most recently.
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
