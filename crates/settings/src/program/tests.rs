//! Defaults, bounds and errors of the sender's own settings.

use super::*;

#[test]
fn the_fields_of_configured_peers_have_defaults_and_are_checked() {
    let read_with = |fields: &str| {
        read(
            "f",
            &format!("peers {{\n listen: \"127.0.0.1:7300\"\n secret_file: \"s\"\n {fields}\n}}"),
        )
    };
    let peers = read_with("seed: \"127.0.0.1:7301\" learn_ms: 200")
        .unwrap()
        .peers
        .unwrap();
    assert_eq!(
        (peers.seeds.len(), peers.learn_ms, peers.half_life_ms),
        (1, 200.0, 20_000.0)
    );
    let error_of = |result: Result<ProgramSettings, FieldError>| result.unwrap_err().to_string();
    let invalid_address = error_of(read_with("seed: \"127.0.0.1:7301\" seed: \"here\""));
    assert_eq!(
        invalid_address,
        "f:4: peers.seed[1]: \"here\" is not an address with a port"
    );
    assert_eq!(
        error_of(read_with("learn_ms: -1")),
        "f:4: peers.learn_ms: -1 is not between 0 and 10000"
    );
    let without_secret_file = error_of(read("f", "peers { listen: \"127.0.0.1:1\" }"));
    assert_eq!(
        without_secret_file,
        "f:1: peers.secret_file: the path of a file that all members share is required"
    );
    assert!(error_of(read("f", "peers { secret_file: \"s\" }")).contains("peers.listen"));
}

#[test]
fn the_shipped_file_contains_the_defaults_and_bounds_are_checked() {
    let shipped = include_str!("../../../../deploy/settings.textproto");
    assert_eq!(read("shipped", shipped), Ok(ProgramSettings::default()));
    assert_eq!(read("empty", ""), Ok(ProgramSettings::default()));
    let error = read("f", "clients { request_ms: nan }").unwrap_err();
    assert_eq!(
        error.to_string(),
        "f:1: clients.request_ms: NaN is not between 100 and 2900"
    );
}
