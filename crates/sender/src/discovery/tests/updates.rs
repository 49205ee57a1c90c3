//! Tests of reading the updates that a watch receives.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use super::super::list_update::{EntryError, EntryField};
use super::super::watch::WatchInput;
use super::*;

/// A directory with one endpoint at version 5, and discovery's side of its watch connection.
fn directory_with_watch() -> (EndpointDirectory, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<crate::event_source::ReadyEvents>::try_new().unwrap();
    let mut directory = EndpointDirectory::new(
        listener.local_addr().unwrap(),
        &platform_settings(Settings::default(), false),
        no_cordons(),
        Jitter::new(1),
    );
    let list = serde_json::json!({"rev": 5, "all": true, "targets": [
        {"uid": "a", "endpoint": "127.0.0.1:9", "az": "x", "model": "x", "pod_group": 7, "state": "in_service"}]});
    directory.apply(&list).unwrap();
    directory.run_due(0.0, &events.handle(), &BufferPool::new(8));
    let (mut peer, _) = listener.accept().unwrap();
    let is_flushed = |watch: &Watch| watch.connection.is_flushed();
    while !directory.watch.as_ref().is_none_or(is_flushed) {
        directory.on_ready(0.0);
    }
    assert!(peer.read(&mut [0; 512]).unwrap() > 0);
    (directory, peer)
}

/// Applies the text of a watch to a directory. Returns for each change whether it is complete and its number of
/// entries; the version of the list; and whether the whole text was readable, so that the watch could continue.
fn read_watch(text: &str) -> (Vec<(bool, usize)>, u64, bool) {
    let (mut directory, mut peer) = directory_with_watch();
    peer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    write!(peer, "{:x}\r\n{text}\r\n", text.len()).unwrap();
    // Ends the response after the text.
    peer.write_all(b"0\r\n\r\n").unwrap();
    let mut changes = Vec::new();
    loop {
        let WatchInput { objects, error, .. } = directory.watch.as_mut().unwrap().receive();
        let (applied, has_unreadable) = directory.apply_objects(&objects, 0.0);
        changes.extend(
            applied
                .iter()
                .map(|change| (change.complete, change.entries.len())),
        );
        if has_unreadable || error.is_some() {
            let continues = !has_unreadable && error == Some(WatchError::ResponseEnded);
            return (changes, directory.version, continues);
        }
    }
}

/// An update to version 6 in which the endpoint drains.
const DRAIN: &str = r#"{"rev":6,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:9","az":"x","model":"x","pod_group":7,"state":"terminating"}]}"#;

#[rstest::rstest]
#[case::on_one_line(format!("{DRAIN}\n\n"), &[(false, 1)], 6, true)]
#[case::indented(DRAIN.replace(',', ",\n  ") + "\n\n", &[(false, 1)], 6, true)]
#[case::indented_with_braces_in_a_name(
    DRAIN.replace(',', ",\n  ").replace(r#""uid":"a""#, r#""uid":"a\"{[""#) + "\n", &[(false, 1)], 6, true)]
#[case::not_json(format!("nonsense\n{DRAIN}\n"), &[], 5, false)]
#[case::truncated(format!("{}\n\n{DRAIN}\n", &DRAIN[..40]), &[], 5, false)]
#[case::no_targets("{\"rev\":9}\n".to_string(), &[], 5, false)]
#[case::invalid_entry(DRAIN.replace("terminating", "odd") + "\n", &[(false, 0)], 5, false)]
#[case::zone_missing_in_settings(DRAIN.replace(r#""az":"x""#, r#""az":"y""#) + "\n", &[(false, 0)], 6, true)]
#[case::invalid_entry_in_complete_list(
    DRAIN.replace("false", "true").replace("127.0.0.1:9", "odd").replace("terminating", "in_service") + "\n",
    &[(true, 1)], 5, false)]
fn the_version_advances_only_past_readable_updates_and_no_endpoint_is_removed(
    #[case] text: String,
    #[case] changes: &[(bool, usize)],
    #[case] expected_version: u64,
    #[case] watch_continues: bool,
) {
    // Guards against a version that moves past an unread drain, and against endpoints that count as removed because
    // their entries could not be read.
    let (applied, version, continues) = read_watch(&text);
    assert_eq!(
        (applied.as_slice(), version, continues),
        (changes, expected_version, watch_continues)
    );
}

#[test]
fn an_entry_error_is_logged_with_the_json_key_of_its_field() {
    let address = EntryError::Field(EntryField::Address);
    assert_eq!(
        (address.logged_field(), address.is_permanent()),
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
        assert_eq!((error.logged_field(), error.is_permanent()), (field, true));
    }
}
