//! Tests of the wire format: damaged, truncated and arbitrary bytes, and the limits on sizes.

use crate::generators::{any_received, digest};
use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use martenlatch_peers::wire::{
    FrameError, MAX_DIGESTS_PER_PAGE, MAX_PAGE_BYTES, Page, PageAssembler, Secret,
};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let secret = Secret::new(b"ours");
        prop_assert!(secret.open_datagram(&bytes).is_err());
        prop_assert!(secret.open_page(&bytes).is_err());
    }

    #[test]
    fn a_damaged_truncated_or_unauthenticated_page_is_rejected(
        received in prop::collection::vec(any_received(), 0..4),
        position in any::<prop::sample::Index>(),
        flipped_bits in 1u8..=255,
    ) {
        let secret = Secret::new(b"ours");
        let digests: Vec<Digest> = received.into_iter().map(|received| received.digest).collect();
        let page = Page::Digests { request_id: 7, index: 0, digests };
        let bytes = secret.seal_page(&page);
        prop_assert_eq!(secret.open_page(&bytes), Ok((page, bytes.len())));
        let position = position.index(bytes.len());
        prop_assert_eq!(secret.open_page(&bytes[..position]), Err(FrameError::Incomplete));
        let mut damaged = bytes.clone();
        damaged[position] ^= flipped_bits;
        prop_assert!(secret.open_page(&damaged).is_err());
        prop_assert_eq!(Secret::new(b"theirs").open_page(&bytes), Err(FrameError::NotAuthenticated));
    }
}

#[test]
fn the_largest_page_and_datagram_are_within_their_limits() {
    use martenlatch_peers::membership::{
        Datagram, MAX_NAME_BYTES, MAX_UPDATES, MemberState, MemberUpdate, Payload,
    };
    use martenlatch_peers::wire::MAX_DATAGRAM_BYTES;
    let secret = Secret::new(b"ours");
    let latency =
        LatencySketch::from_latencies((0..64).map(|i| 2f64.powf((f64::from(i) + 0.5) / 4.0)));
    let largest = Digest {
        destination: u64::MAX,
        endpoint: Some("e".repeat(128)),
        rate_limit: Some(1.0),
        latency,
        outage: Some(ReportedOutage::Recovering { elapsed: 1.0 }),
        ..digest(1)
    };
    let page = Page::Digests {
        request_id: u64::MAX,
        index: u32::MAX,
        digests: vec![largest; MAX_DIGESTS_PER_PAGE],
    };
    assert!(secret.seal_page(&page).len() <= MAX_PAGE_BYTES);
    let update = MemberUpdate {
        name: "n".repeat(MAX_NAME_BYTES),
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
            .parse()
            .unwrap(),
        incarnation: u64::MAX,
        state: MemberState::Left,
    };
    let payload = Payload::PingRequest {
        sequence: u64::MAX,
        address: update.address,
    };
    let updates = vec![update.clone(); MAX_UPDATES];
    let bytes = secret.seal_datagram(&Datagram {
        from: update,
        view_digest: u64::MAX,
        payload,
        updates,
    });
    assert!(
        bytes.len() <= 1_200 && 1_200 <= MAX_DATAGRAM_BYTES,
        "{}",
        bytes.len()
    );
    assert!(secret.open_datagram(&bytes).is_ok());
}

#[test]
fn an_unsupported_version_is_rejected_and_an_excessive_length_before_the_frame_is_complete() {
    let secret = Secret::new(b"ours");
    let mut bytes = secret.seal_page(&Page::End {
        request_id: 1,
        page_count: 0,
    });
    bytes[0] = 2;
    assert_eq!(
        secret.open_page(&bytes),
        Err(FrameError::UnsupportedVersion)
    );
    (bytes[0], bytes[3]) = (1, 0xff);
    assert_eq!(
        secret.open_page(&bytes),
        Err(FrameError::TooLong),
        "rejected without waiting for the rest of the frame"
    );
}

#[test]
fn pages_out_of_order_are_rejected_and_a_response_is_complete_at_its_last_page() {
    let mut assembler = PageAssembler::new(9);
    let page = |index: u32| Page::Digests {
        request_id: 9,
        index,
        digests: vec![digest(index.into())],
    };
    assert_eq!(
        assembler.accept(page(0)).map(|digests| digests.len()),
        Some(1)
    );
    assert_eq!(
        assembler.accept(page(2)),
        None,
        "the page before it is missing"
    );
    assert_eq!(
        assembler.accept(Page::Digests {
            request_id: 8,
            index: 1,
            digests: vec![]
        }),
        None,
        "the response to another request"
    );
    assert_eq!(
        assembler.accept(Page::End {
            request_id: 9,
            page_count: 5
        }),
        None
    );
    assert!(!assembler.is_complete());
    assert_eq!(
        assembler.accept(page(1)).map(|digests| digests.len()),
        Some(1)
    );
    assert!(
        assembler
            .accept(Page::End {
                request_id: 9,
                page_count: 2
            })
            .is_some()
            && assembler.is_complete()
    );
}
