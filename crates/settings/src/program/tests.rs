//! Tests of the sender's own settings: defaults, bounds and faults.

use super::*;

#[test]
fn peers_are_off_unless_configured_and_their_fields_are_checked() {
    let some = |more: &str| {
        read(
            "f",
            &format!("peers {{\n listen: \"127.0.0.1:7300\"\n secret_file: \"s\"\n {more}\n}}"),
        )
    };
    let peers = some("seed: \"127.0.0.1:7301\" learn_ms: 200")
        .unwrap()
        .peers
        .unwrap();
    assert_eq!(
        (peers.seeds.len(), peers.learn_ms, peers.half_life_ms),
        (1, 200.0, 20_000.0)
    );
    let fault = |text: Result<ProgramSettings, FieldError>| text.unwrap_err().to_string();
    let odd = fault(some("seed: \"127.0.0.1:7301\" seed: \"here\""));
    assert_eq!(
        odd,
        "f:4: peers.seed[1]: \"here\" is not an address with a port"
    );
    assert_eq!(
        fault(some("learn_ms: -1")),
        "f:4: peers.learn_ms: -1 is not within 0 and 10000"
    );
    let none = fault(read("f", "peers { listen: \"127.0.0.1:1\" }"));
    assert_eq!(
        none,
        "f:1: peers.secret_file: a file is wanted that all members share"
    );
    assert!(fault(read("f", "peers { secret_file: \"s\" }")).contains("peers.listen"));
}

#[test]
fn the_shipped_file_gives_the_defaults_and_bounds_are_checked() {
    let shipped = include_str!("../../../../deploy/settings.textproto");
    assert_eq!(read("shipped", shipped), Ok(ProgramSettings::default()));
    assert_eq!(read("empty", ""), Ok(ProgramSettings::default()));
    let fault = read("f", "clients { request_ms: nan }").unwrap_err();
    assert_eq!(
        fault.to_string(),
        "f:1: clients.request_ms: NaN is not within 100 and 2900"
    );
}
