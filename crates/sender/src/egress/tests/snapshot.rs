//! Tests of the serialized form in which connections are passed to a process of another version.

use super::*;

/// Three connections as an earlier version serialized them: one with a held-back last byte, one with an incomplete
/// response, and an idle one.
const EARLIER_SNAPSHOT: &str = "03000178000000010100007f0000010901010007000000000000144000008\
00265cdcd41000000000000f07f0000000179000000000000f07f00000000000000144000000000000000144000027879000000010301007f0000010901\
ac020209000000000000204000000000000051400000000000805140010100000100000000000028400000000000002040010101030100000000000020\
400000000000000402007f000001090000010000000000000000344001000000000000003e400102000000000000f83f010000000000005440000000\
000000e83f020000000000000000000000000000000000000000000000000000000000000000000000000000f03f000000000000f03f000000000000\
0000666666666666fe3f";

fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().collect();
    let pairs = digits.chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn a_snapshot_of_an_earlier_version_is_read_and_serialized_in_the_same_form() {
    let bytes = decode_hex(EARLIER_SNAPSHOT);
    let snapshot: EgressSnapshot = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(postcard::to_allocvec(&snapshot).unwrap(), bytes);
    let [with_held_back_byte, with_response, idle] = snapshot.connections.as_slice() else {
        panic!("the snapshot has three connections")
    };
    assert_eq!(with_held_back_byte.held_back_byte.unwrap().byte, b'y');
    assert_eq!(
        with_held_back_byte.held_back_byte.unwrap().release_at,
        f64::INFINITY
    );
    let attempt = with_response.attempt.unwrap();
    assert_eq!((attempt.id, attempt.attempt), (MessageId(300), 2));
    assert_eq!((attempt.started_at, attempt.deadline), (8.0, 68.0));
    assert_eq!((attempt.latest_start, attempt.fully_sent), (70.0, true));
    assert_eq!(
        (with_response.connected, with_response.idle_before),
        (true, Some(12.0))
    );
    assert!(!with_response.admitted && idle.admitted);
    assert_eq!((idle.opened_at, idle.idle_since), (20.0, 30.0));
    assert_eq!(snapshot.idle, [2]);
    let stale = &snapshot.stale_connections;
    assert_eq!((stale.recent_stale, stale.safe_idle), (1.5, 80.0));
    assert!(stale.suspects_idle);
    assert_eq!(snapshot.resets.recent_resets, 0.75);
}
