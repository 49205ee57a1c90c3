//! Tests of the endpoint list.

use super::*;

#[test]
fn removed_endpoints_are_dropped_and_their_ids_are_not_reused() {
    let platform_settings = platform_settings(Settings::default(), false);
    let mut directory = EndpointDirectory::new(
        "127.0.0.1:9".parse().unwrap(),
        &platform_settings,
        no_cordons(),
        Jitter::new(1),
    );
    let mut apply = |complete: bool, uid: usize, state: &str| {
        let target = serde_json::json!({"uid": format!("s-{uid}"), "endpoint": "127.0.0.1:9", "az": "x",
            "model": "x", "pod_group": 7, "state": state});
        let change =
            directory.apply(&serde_json::json!({"rev": uid, "all": complete, "targets": [target]}));
        (
            change.unwrap().entries,
            directory.list.ids_by_name.len() + directory.list.endpoints.len(),
        )
    };
    for uid in 0..50 {
        assert_eq!(
            apply(false, uid, "in_service").0[0].endpoint,
            EndpointId(uid as u32)
        );
        assert_eq!(
            apply(false, uid, "terminated").1,
            0,
            "endpoint {uid} is dropped"
        );
    }
    assert!(
        apply(false, 1, "terminated").0.is_empty(),
        "removing an endpoint that is not listed changes nothing"
    );
    apply(false, 60, "terminating");
    assert_eq!(
        apply(true, 61, "in_service").1,
        2,
        "only the endpoint in the complete list is left"
    );
}
