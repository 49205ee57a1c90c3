//! Compatibility of the lines with those of earlier versions.

use super::*;

#[test]
fn a_request_is_encoded_and_decoded_as_by_earlier_versions() {
    let request = TakeoverRequest {
        version: VERSION,
        listen: "127.0.0.1:7".parse().unwrap(),
    };
    assert_eq!(request.encode(), "martenlatch 1 127.0.0.1:7\n");
    let decoded = TakeoverRequest::decode(b"martenlatch 1 127.0.0.1:7\n");
    assert_eq!(decoded, Some(request));
}

#[test]
fn an_answer_is_encoded_and_decoded_as_by_earlier_versions() {
    let accepted = Answer::Accepted {
        bytes: 100,
        descriptors: 2,
    };
    let refused = Answer::Refused("ending".to_string());
    assert_eq!(accepted.encode(), "yes 100 2\n");
    assert_eq!(refused.encode(), "no ending\n");
    assert_eq!(Answer::decode(b"yes 100 2"), Some(accepted));
    assert_eq!(Answer::decode(b"no ending"), Some(refused));
}

#[test]
fn a_commit_is_encoded_as_by_earlier_versions() {
    assert_eq!(COMMIT, b"taken\n");
}
