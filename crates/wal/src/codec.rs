//! The binary form of the log file.
//!
//! A file is [`MAGIC`] followed by frames. A frame is the payload's length (`u32`), the payload's CRC-32 (`u32`) and
//! the payload. A payload is a tag byte, a message number (`u64`) and the fields of the record type that the tag names.
//! Integers are little-endian, instants are the bits of an `f64`, and strings are preceded by their length as a `u32`.

use martenlatch_clock::{Anchor, BootId, Millis};

use crate::record::{Entry, FinalStatus, LogRecord, MessageFields, tag};

/// The first bytes of a log file: its format and version.
pub(crate) const MAGIC: &[u8; 8] = b"mlatch1\n";
/// A frame that declares a longer payload counts as torn.
const MAX_PAYLOAD_BYTES: usize = 80 * 1024;

/// The byte stored before an idempotency key, which distinguishes an absent key from an empty one.
const KEY_ABSENT: u8 = 0;
const KEY_PRESENT: u8 = 1;

/// Codes of the final statuses.
const UNDELIVERABLE: u64 = 0;
const DEFERRED: u64 = 1;
const DEFERRED_WITH_DELAY: u64 = 2;

/// Encodes a record as a frame.
pub(crate) fn encode(record: &LogRecord<'_>) -> Vec<u8> {
    let payload = encode_payload(record);
    let length = payload.len() as u32;
    let checksum = crc32fast::hash(&payload);
    [
        &length.to_le_bytes()[..],
        &checksum.to_le_bytes()[..],
        &payload,
    ]
    .concat()
}

fn encode_payload(record: &LogRecord<'_>) -> Vec<u8> {
    let header = PayloadWriter(vec![record.entry.tag()]).u64(record.number);
    let payload = match record.entry {
        Entry::Message(message) => encode_message(header, &message),
        Entry::ClassRules { class, rules } => header.bytes(class.as_bytes()).bytes(rules),
        Entry::Attempt { attempt, sent_at } => header.u64(attempt as u64).instant(sent_at),
        Entry::NeverRan { attempt } => header.u64(attempt as u64),
        Entry::FinalStatus(status) | Entry::Reported(status) => encode_final_status(header, status),
        Entry::Closed { id } => header.bytes(id.as_bytes()),
        Entry::Anchor(anchor) => encode_anchor(header, &anchor),
        Entry::Unknown { .. } => header,
    };
    payload.0
}

fn encode_message(header: PayloadWriter, message: &MessageFields<'_>) -> PayloadWriter {
    let marked_key = match message.idempotency_key {
        Some(key) => [&[KEY_PRESENT], key.as_bytes()].concat(),
        None => vec![KEY_ABSENT],
    };
    header
        .u64(message.destination)
        .instant(message.deadline)
        .bytes(message.id.as_bytes())
        .bytes(message.class.as_bytes())
        .bytes(&marked_key)
        .bytes(message.body)
}

fn encode_final_status(header: PayloadWriter, status: FinalStatus) -> PayloadWriter {
    let (code, delay) = match status {
        FinalStatus::Undeliverable => (UNDELIVERABLE, 0),
        FinalStatus::Deferred(None) => (DEFERRED, 0),
        FinalStatus::Deferred(Some(delay)) => (DEFERRED_WITH_DELAY, delay),
    };
    header.u64(code).u64(delay)
}

fn encode_anchor(header: PayloadWriter, anchor: &Anchor) -> PayloadWriter {
    let BootId(boot) = anchor.boot;
    header
        .u64(boot as u64)
        .u64((boot >> u64::BITS) as u64)
        .instant(anchor.since_boot)
        .instant(anchor.clock)
}

/// The start of a payload, which is the same for all record types, and the fields that follow it.
pub(crate) struct RecordHeader<'a> {
    pub(crate) tag: u8,
    pub(crate) number: u64,
    fields: &'a [u8],
}

impl<'a> RecordHeader<'a> {
    /// Decodes a payload's tag and message number. `None` if the payload is too short for them.
    pub(crate) fn decode(payload: &'a [u8]) -> Option<RecordHeader<'a>> {
        let (tag, rest) = payload.split_first()?;
        let mut reader = ByteReader(rest);
        let number = reader.u64()?;
        Some(RecordHeader {
            tag: *tag,
            number,
            fields: reader.0,
        })
    }

    /// Decodes the fields after the header. `None` if they do not match the record type that the tag names.
    pub(crate) fn decode_entry(&self) -> Option<Entry<'a>> {
        let mut reader = ByteReader(self.fields);
        let entry = match self.tag {
            tag::MESSAGE => Entry::Message(decode_message(&mut reader)?),
            tag::CLASS_RULES => Entry::ClassRules {
                class: reader.text()?,
                rules: reader.bytes()?,
            },
            tag::ATTEMPT => Entry::Attempt {
                attempt: reader.u64()? as usize,
                sent_at: reader.instant()?,
            },
            tag::NEVER_RAN => Entry::NeverRan {
                attempt: reader.u64()? as usize,
            },
            tag::FINAL_STATUS => Entry::FinalStatus(decode_final_status(&mut reader)?),
            tag::REPORTED => Entry::Reported(decode_final_status(&mut reader)?),
            tag::CLOSED => Entry::Closed { id: reader.text()? },
            tag::ANCHOR => Entry::Anchor(decode_anchor(&mut reader)?),
            tag => Entry::Unknown { tag },
        };
        Some(entry)
    }
}

fn decode_message<'a>(reader: &mut ByteReader<'a>) -> Option<MessageFields<'a>> {
    Some(MessageFields {
        destination: reader.u64()?,
        deadline: reader.instant()?,
        id: reader.text()?,
        class: reader.text()?,
        idempotency_key: match reader.bytes()?.split_first()? {
            (&KEY_ABSENT, _) => None,
            (_, key) => Some(std::str::from_utf8(key).ok()?),
        },
        body: reader.bytes()?,
    })
}

fn decode_final_status(reader: &mut ByteReader<'_>) -> Option<FinalStatus> {
    let code = reader.u64()?;
    let delay = reader.u64()?;
    Some(match code {
        UNDELIVERABLE => FinalStatus::Undeliverable,
        DEFERRED => FinalStatus::Deferred(None),
        _ => FinalStatus::Deferred(Some(delay)),
    })
}

fn decode_anchor(reader: &mut ByteReader<'_>) -> Option<Anchor> {
    let low = reader.u64()?;
    let high = reader.u64()?;
    Some(Anchor {
        boot: BootId(u128::from(high) << u64::BITS | u128::from(low)),
        since_boot: reader.instant()?,
        clock: reader.instant()?,
    })
}

/// The payloads of a log file, up to its end or the first torn frame.
pub(crate) struct Payloads<'a> {
    reader: ByteReader<'a>,
    file_size: usize,
}

impl<'a> Payloads<'a> {
    /// Starts after the magic bytes. `None` if the file does not begin with them.
    pub(crate) fn new(file: &'a [u8]) -> Option<Payloads<'a>> {
        let mut reader = ByteReader(file);
        if reader.take(MAGIC.len())? != MAGIC {
            return None;
        }
        Some(Payloads {
            reader,
            file_size: file.len(),
        })
    }

    /// The offset of the next frame in the file, in bytes.
    pub(crate) fn offset(&self) -> u64 {
        (self.file_size - self.reader.0.len()) as u64
    }
}

impl<'a> Iterator for Payloads<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let length = self.reader.u32()? as usize;
        let checksum = self.reader.u32()?;
        let payload = self.reader.take(length)?;
        let complete = length <= MAX_PAYLOAD_BYTES && crc32fast::hash(payload) == checksum;
        complete.then_some(payload)
    }
}

/// Appends fields to a payload.
struct PayloadWriter(Vec<u8>);

impl PayloadWriter {
    fn u64(mut self, value: u64) -> PayloadWriter {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn instant(self, value: Millis) -> PayloadWriter {
        self.u64(value.to_bits())
    }

    fn bytes(mut self, value: &[u8]) -> PayloadWriter {
        self.0.extend((value.len() as u32).to_le_bytes());
        self.0.extend(value);
        self
    }
}

/// The bytes that are still to be read. Each method returns `None` if too few of them are left.
struct ByteReader<'a>(&'a [u8]);

impl<'a> ByteReader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }

    fn instant(&mut self) -> Option<Millis> {
        self.u64().map(f64::from_bits)
    }

    fn bytes(&mut self) -> Option<&'a [u8]> {
        let count = self.u32()?;
        self.take(count as usize)
    }

    /// A UTF-8 string.
    fn text(&mut self) -> Option<&'a str> {
        std::str::from_utf8(self.bytes()?).ok()
    }
}

#[cfg(test)]
mod tests;
