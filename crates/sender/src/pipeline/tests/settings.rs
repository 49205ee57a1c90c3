//! Settings that the pipeline depends on.

use super::*;

#[test]
fn the_cost_of_a_new_connection_is_read_from_the_settings() {
    let priced = SETTINGS.replacen('{', r#"{"Deductions":{"Handshake":0.06},"#, 1);
    assert_eq!(
        platform::read(&priced).unwrap().settings.handshake_price,
        0.06
    );
    assert_eq!(
        platform::read(SETTINGS).unwrap().settings.handshake_price,
        0.0,
        "none where none is told"
    );
    let wrong = priced.replace("0.06", "\"dear\"");
    assert!(
        platform::read(&wrong).is_err_and(|e| e.to_string().contains("Deductions.Handshake")),
        "it names the field"
    );
}
