//! Tests of the snapshot file.

use super::*;

fn digest() -> Digest {
    Digest {
        age: 500.0,
        outage: Some(ReportedOutage::Recovering { elapsed: 2_000.0 }),
        ..Digest::new(7)
    }
}

#[test]
fn a_snapshot_ages_until_it_is_read_and_a_damaged_one_is_ignored() {
    let folder = std::env::temp_dir().join(format!("martenlatch-kept-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let open = |now: Millis| PeerSnapshotFile::open(&folder, now);
    assert_eq!(open(1e6).1.incarnation, 0, "there is no file yet");
    open(1e6).0.write(4, 1e6, vec![digest()]).unwrap();
    let snapshot = open(1e6 + 3_000.0).1;
    assert_eq!(
        (snapshot.incarnation, snapshot.digests[0].age),
        (4, 3_500.0)
    );
    assert_eq!(
        snapshot.digests[0].outage,
        Some(ReportedOutage::Recovering { elapsed: 5_000.0 })
    );
    let snapshot = open(1e6 - 1.0).1;
    assert_eq!(
        (snapshot.incarnation, snapshot.digests.len()),
        (4, 0),
        "the clock was set back"
    );
    let intact = std::fs::read(folder.join("peers")).unwrap();
    for position in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[position] ^= 0x20;
        std::fs::write(folder.join("peers"), &damaged).unwrap();
        assert_eq!(open(1e6).1.incarnation, 0, "damaged byte {position}");
        std::fs::write(folder.join("peers"), &intact[..position]).unwrap();
        assert_eq!(open(1e6).1.incarnation, 0, "truncated at {position}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}
