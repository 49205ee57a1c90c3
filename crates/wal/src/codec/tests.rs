use super::*;
use crate::record::MessageFields;

fn decode(payload: &[u8]) -> Option<LogRecord<'_>> {
    let header = RecordHeader::decode(payload)?;
    let entry = header.decode_entry()?;
    let number = header.number;
    Some(LogRecord { number, entry })
}

fn records_of_each_type() -> Vec<LogRecord<'static>> {
    let message = |idempotency_key| {
        Entry::Message(MessageFields {
            destination: 7,
            deadline: 1_796_121_600_016.25,
            id: "id",
            class: "notice",
            idempotency_key,
            body: b"body",
        })
    };
    let entries = [
        message(None),
        message(Some("")),
        message(Some("key")),
        Entry::ClassRules {
            class: "notice",
            rules: &[1, 2],
        },
        Entry::Attempt {
            attempt: 2,
            sent_at: 5.5,
        },
        Entry::NeverRan { attempt: 2 },
        Entry::FinalStatus(FinalStatus::Undeliverable),
        Entry::FinalStatus(FinalStatus::Deferred(None)),
        Entry::FinalStatus(FinalStatus::Deferred(Some(700))),
        Entry::Closed { id: "id" },
        Entry::Unknown { tag: b'Z' },
    ];
    let record = |entry| LogRecord { number: 3, entry };
    entries.into_iter().map(record).collect()
}

#[test]
fn every_record_type_is_decoded_as_it_was_encoded() {
    let records = records_of_each_type();
    let mut file = MAGIC.to_vec();
    for record in &records {
        file.extend(encode(record));
    }
    let payloads: Vec<&[u8]> = Payloads::new(&file).unwrap().collect();
    let decoded: Vec<_> = payloads.into_iter().filter_map(decode).collect();
    assert_eq!(decoded, records);
}

#[test]
fn a_frame_is_encoded_to_the_same_bytes_as_in_earlier_versions() {
    let mut payload = b"T".to_vec();
    payload.extend([3, 0, 0, 0, 0, 0, 0, 0]);
    payload.extend([7, 0, 0, 0, 0, 0, 0, 0]);
    payload.extend(1_796_121_600_016.25_f64.to_le_bytes());
    payload.extend(b"\x02\0\0\0id");
    payload.extend(b"\x06\0\0\0notice");
    payload.extend(b"\x04\0\0\0\x01key");
    payload.extend(b"\x04\0\0\0body");
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend(crc32fast::hash(&payload).to_le_bytes());
    frame.extend(payload);
    assert_eq!(encode(&records_of_each_type()[2]), frame);
}

#[test]
fn payloads_end_at_a_frame_that_is_truncated_damaged_or_too_long() {
    let record = encode(&LogRecord::closed(3, "id"));
    let mut damaged = record.clone();
    *damaged.last_mut().unwrap() ^= 1;
    let too_long = encode(&LogRecord::class_rules("class", &[0; MAX_PAYLOAD_BYTES]));
    for last in [&record[..record.len() - 1], &damaged, &too_long, &[0; 7]] {
        let file = [&MAGIC[..], &record, last, &record].concat();
        let mut payloads = Payloads::new(&file).unwrap();
        assert!(payloads.next().is_some());
        let offset = payloads.offset();
        assert_eq!(offset, (MAGIC.len() + record.len()) as u64);
        assert!(payloads.next().is_none());
    }
}
