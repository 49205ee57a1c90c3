//! Reads batches of event lines and writes a reply of action lines to each.
//!
//! A batch begins with a `frame` line, which has the time, and ends with an `end` line.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use martenlatch_policy::interface::Nanos;

use crate::endpoint_lists::EndpointLists;
use crate::error::{AdapterError, LineError};
use crate::fields::{Fields, parse_number};
use crate::instance::Instance;
use crate::reply;

/// Longest excerpt of an invalid line in an error, in characters.
const MAX_EXCERPT_CHARS: usize = 120;

/// Processes batches until the end of the input. Each reply is flushed at once.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut adapter = Adapter::default();
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|source| AdapterError::Read { number, source })?;
        let reply = adapter
            .read_line(line.trim_end_matches('\r'))
            .map_err(|source| AdapterError::Line {
                number,
                source,
                excerpt: line.chars().take(MAX_EXCERPT_CHARS).collect(),
            })?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(AdapterError::Write)?;
        }
    }
    if adapter.batch.is_some() {
        return Err(AdapterError::UnfinishedBatch);
    }
    Ok(())
}

/// The values in the first line of a batch.
struct Batch {
    now: Nanos,
    /// Repeated in the last line of the reply.
    number: String,
}

#[derive(Default)]
struct Adapter {
    /// The batch that is being read.
    batch: Option<Batch>,
    lists: EndpointLists,
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    /// Processes a line. Returns the reply if the line ends a batch.
    fn read_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let mut fields = Fields::new(line);
        if self.lists.expects_entry() {
            self.lists.add_entry(&mut fields)?;
            return Ok(None);
        }
        if self.batch.is_none() {
            if !line.is_empty() {
                self.batch = Some(parse_batch_start(&mut fields)?);
            }
            return Ok(None);
        }
        match fields.text("an event or end")? {
            "end" => return Ok(self.batch.take().map(|batch| self.reply(&batch))),
            "inventory" => self.begin_list(&mut fields)?,
            "open_instance" => self.open_instance(&mut fields)?,
            "exit" => self.close_instance(&mut fields)?,
            "announce" => self.announce_list(&mut fields)?,
            event => {
                let number = fields.number("Who")?;
                self.instance(number)?.add_event(event, &mut fields)?;
            }
        }
        Ok(None)
    }

    fn begin_list(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let list = fields.number("Sheet")?;
        let count = fields.number("Records")?;
        self.lists.begin(list, count);
        Ok(())
    }

    fn open_instance(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let number = fields.number("Who")?;
        let seed = fields.number("Seed")?;
        let settings = fields.remainder("BootInfo")?;
        self.instances
            .insert(number, Instance::open(settings, seed)?);
        Ok(())
    }

    fn close_instance(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let number = fields.number("Who")?;
        self.instances.remove(&number);
        Ok(())
    }

    fn announce_list(&mut self, fields: &mut Fields) -> Result<(), LineError> {
        let number = fields.number("Who")?;
        let list = fields.text("Sheet")?;
        let mode = fields.text("Mode")?;
        let instance = self
            .instances
            .get_mut(&number)
            .ok_or(LineError::UnknownInstance)?;
        // The list could not be fetched, so it may have no number. The previous list stays in use.
        if mode == "failed" {
            return Ok(());
        }
        let entries = self.lists.get(parse_number(list, "Sheet")?)?;
        instance.announce(mode, entries)
    }

    fn instance(&mut self, number: u64) -> Result<&mut Instance, LineError> {
        self.instances
            .get_mut(&number)
            .ok_or(LineError::UnknownInstance)
    }

    fn reply(&mut self, batch: &Batch) -> String {
        let mut reply = String::new();
        for (number, instance) in &mut self.instances {
            instance.run_turn(batch.now, *number, &mut reply);
        }
        reply::write_end(&batch.number, &mut reply);
        reply
    }
}

fn parse_batch_start(fields: &mut Fields) -> Result<Batch, LineError> {
    fields.keyword("frame")?;
    Ok(Batch {
        now: fields.number("the time")?,
        number: fields.text("the batch number")?.to_string(),
    })
}
