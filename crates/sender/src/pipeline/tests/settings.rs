//! Settings that the pipeline depends on.

use super::*;

#[test]
fn the_cost_of_a_new_connection_is_read_from_the_settings() {
    let with_price = SETTINGS.replacen('{', r#"{"Deductions":{"Handshake":0.06},"#, 1);
    assert_eq!(
        platform::read(&with_price)
            .unwrap()
            .settings
            .handshake_price,
        0.06
    );
    assert_eq!(
        platform::read(SETTINGS).unwrap().settings.handshake_price,
        0.0,
        "without the field, there is no price"
    );
    let with_invalid_price = with_price.replace("0.06", "\"dear\"");
    assert!(
        platform::read(&with_invalid_price)
            .is_err_and(|error| error.to_string().contains("Deductions.Handshake")),
        "the error names the field"
    );
}
