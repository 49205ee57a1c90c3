//! Each rule alone.

use super::*;

#[rstest::rstest]
#[case::answered(false, false, true)]
#[case::unanswered(true, false, false)]
#[case::client_left(true, true, true)]
fn a_connection_is_closed_once_nothing_is_owed(
    #[case] answer_owed: bool,
    #[case] client_left: bool,
    #[case] permitted: bool,
) {
    let facts = CloseFacts {
        answer_owed,
        client_left,
    };
    assert_eq!(may_close(facts).is_ok(), permitted);
}
