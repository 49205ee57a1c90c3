//! Tests of reading the updates that a watch brings.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::super::list_update::{EntryError, EntryField};
use super::super::watch::WatchInput;
use super::*;

/// A directory with one endpoint at version 5, and discovery's side of its watch.
fn watching() -> (EndpointDirectory, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::Ready>::try_new().unwrap();
    let mut directory = EndpointDirectory::new(
        listener.local_addr().unwrap(),
        &platform_settings(Settings::default(), false),
        no_cordons(),
        Jitter::new(1),
    );
    let first = serde_json::json!({"rev": 5, "all": true, "targets": [
        {"uid": "a", "endpoint": "127.0.0.1:9", "az": "x", "model": "x", "pod_group": 7, "state": "in_service"}]});
    directory.apply(&first).unwrap();
    directory.run_due(0.0, &events.handle(), &BufferPool::new(8));
    let (mut peer, _) = listener.accept().unwrap();
    let is_flushed = |watch: &Watch| watch.connection.is_flushed();
    while !directory.watch.as_ref().is_none_or(is_flushed) {
        directory.on_ready(0.0);
    }
    assert!(peer.read(&mut [0; 512]).unwrap() > 0);
    (directory, peer)
}

/// What a directory makes of the text of a watch: for each change whether it is complete and its number of entries; the
/// version; and whether the watch goes on.
fn read_watch(text: &str) -> (Vec<(bool, usize)>, u64, bool) {
    let (mut directory, mut peer) = watching();
    peer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    write!(peer, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    // The response ends behind the text.
    peer.write_all(b"0\r\n\r\n").unwrap();
    let mut changes = Vec::new();
    loop {
        let WatchInput { objects, fault, .. } = directory.watch.as_mut().unwrap().receive();
        let (applied, unreadable) = directory.apply_objects(&objects);
        changes.extend(applied.iter().map(|c| (c.complete, c.entries.len())));
        if unreadable || fault.is_some() {
            let goes_on = !unreadable && fault == Some(WatchFault::Ended);
            return (changes, directory.version, goes_on);
        }
    }
}

const DRAIN: &str = r#"{"rev":6,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:9","az":"x","model":"x","pod_group":7,"state":"terminating"}]}"#;

#[rstest::rstest]
#[case::one_a_line(format!("{DRAIN}\n\n"), &[(false, 1)], 6, true)]
#[case::indented(DRAIN.replace(',', ",\n  ") + "\n\n", &[(false, 1)], 6, true)]
#[case::indented_with_braces_in_a_name(
    DRAIN.replace(',', ",\n  ").replace(r#""uid":"a""#, r#""uid":"a\"{[""#) + "\n", &[(false, 1)], 6, true)]
#[case::not_json(format!("nonsense\n{DRAIN}\n"), &[], 5, false)]
#[case::cut_off(format!("{}\n\n{DRAIN}\n", &DRAIN[..40]), &[], 5, false)]
#[case::no_targets("{\"rev\":9}\n".to_string(), &[], 5, false)]
#[case::an_invalid_entry(DRAIN.replace("terminating", "odd") + "\n", &[(false, 0)], 5, false)]
#[case::one_that_the_settings_lack(DRAIN.replace(r#""az":"x""#, r#""az":"y""#) + "\n", &[(false, 0)], 6, true)]
#[case::an_invalid_entry_of_a_complete_list(
    DRAIN.replace("false", "true").replace("127.0.0.1:9", "odd").replace("terminating", "in_service") + "\n",
    &[(true, 1)], 5, false)]
fn what_cannot_be_read_of_a_list_is_requested_again_and_removes_nothing(
    #[case] text: String,
    #[case] changes: &[(bool, usize)],
    #[case] expected_version: u64,
    #[case] goes_on: bool,
) {
    // The version must not move past a drain, and no endpoint may count as removed.
    let (applied, version, on) = read_watch(&text);
    assert_eq!(
        (applied.as_slice(), version, on),
        (changes, expected_version, goes_on)
    );
}

#[test]
fn the_logged_field_of_an_entry_error_is_its_key_in_json() {
    let address = EntryError::Field(EntryField::Address);
    assert_eq!(
        (address.field(), address.is_permanent()),
        ("endpoint", false)
    );
    assert_eq!(
        address.to_string(),
        "the field endpoint is missing, invalid or unknown"
    );
    for (error, field) in [
        (EntryError::Field(EntryField::Zone), "az"),
        (EntryError::Field(EntryField::Kind), "model"),
        (EntryError::TooManyEndpoints, "uid (too many regions)"),
    ] {
        assert_eq!((error.field(), error.is_permanent()), (field, true));
    }
}
