//! Tests of the peer snapshot.

use super::*;

fn digest() -> Digest {
    Digest {
        age: 500.0,
        outage: Some(ReportedOutage::Recovering { since: 2_000.0 }),
        ..Digest::new(7)
    }
}

#[test]
fn a_snapshot_ages_and_a_damaged_one_is_ignored() {
    let folder = std::env::temp_dir().join(format!("martenlatch-kept-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let open = |now: Millis| PeerSnapshotFile::open(&folder, now);
    assert_eq!(open(1e6).1.incarnation, 0, "nothing yet");
    open(1e6).0.write(4, 1e6, vec![digest()]).unwrap();
    let past = open(1e6 + 3_000.0).1;
    assert_eq!((past.incarnation, past.digests[0].age), (4, 3_500.0));
    assert_eq!(
        past.digests[0].outage,
        Some(ReportedOutage::Recovering { since: 5_000.0 })
    );
    let past = open(1e6 - 1.0).1;
    assert_eq!(
        (past.incarnation, past.digests.len()),
        (4, 0),
        "the clock was put back"
    );
    let whole = std::fs::read(folder.join("peers")).unwrap();
    for at in 0..whole.len() {
        let mut malformed = whole.clone();
        malformed[at] ^= 0x20;
        std::fs::write(folder.join("peers"), &malformed).unwrap();
        assert_eq!(open(1e6).1.incarnation, 0, "byte {at}");
        std::fs::write(folder.join("peers"), &whole[..at]).unwrap();
        assert_eq!(open(1e6).1.incarnation, 0, "cut at {at}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}
