//! Tests of the serialized form in which the endpoint list is passed to a process of another version.

use super::*;

/// A list as an earlier version serialized it: with one draining and one removed endpoint.
const EARLIER_SNAPSHOT: &[u8] =
    b"\x06\x02\x07\x08\x01\x01\x01\x01b\x00\x7f\x00\x00\x01\x09\x01\x00\x00\
    \x08\x01\x00\x00\x00\x00\x00\x00\x04@\x02\x01\x01a";

#[test]
fn a_snapshot_of_an_earlier_version_is_read_and_serialized_in_the_same_form() {
    let snapshot: EndpointDirectorySnapshot = postcard::from_bytes(EARLIER_SNAPSHOT).unwrap();
    assert_eq!(postcard::to_allocvec(&snapshot).unwrap(), EARLIER_SNAPSHOT);
    assert_eq!((snapshot.version, snapshot.next_id), (6, 2));
    assert!(snapshot.discovery_responded);
    let platform_settings = platform_settings(Settings::default(), false);
    let discovery = "127.0.0.1:9".parse().unwrap();
    let mut directory =
        EndpointDirectory::new(discovery, &platform_settings, no_cordons(), Jitter::new(1));
    directory.restore_state(snapshot);
    assert_eq!(directory.endpoint_name(EndpointId(1)).as_deref(), Some("b"));
    assert_eq!(directory.address(EndpointId(1)), Some(discovery));
    assert_eq!(directory.is_known_destination(9), Some(false));
    assert_eq!(
        postcard::to_allocvec(&directory.snapshot()).unwrap(),
        EARLIER_SNAPSHOT
    );
}
