//! Tests of the cordons and their file.

use std::rc::Rc;

use super::*;

#[test]
fn bans_last_and_neither_damage_nor_a_full_disk_costs_more_than_it_must() {
    let folder = std::env::temp_dir().join(format!("martenlatch-hand-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let name = |n: &str| Rc::<str>::from(n);
    let mut cordons = Cordons::open(&folder, 3_000_000);
    for (id, out, changed) in [
        ("a", true, true),
        ("a", true, false),
        ("b", true, true),
        ("c", true, true),
    ] {
        assert_eq!(cordons.put(&name(id), out), Ok(changed));
    }
    assert_eq!(cordons.put(&name("c"), false), Ok(true));
    let names = || {
        Cordons::open(&folder, 3_000_000)
            .names()
            .map(|n| n.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(names(), ["a", "b"]);
    // A disk that takes no new file: the call fails, and what held before holds.
    std::fs::create_dir(folder.join("cordons.new")).unwrap();
    assert!(cordons.put(&name("d"), true).is_err() && cordons.put(&name("a"), false).is_err());
    assert!(cordons.holds("a") && !cordons.holds("d"));
    std::fs::remove_dir(folder.join("cordons.new")).unwrap();
    // However it is damaged: no panic, no name that was not there, and a line costs itself alone.
    let whole = std::fs::read(folder.join("cordons")).unwrap();
    for at in 0..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[at] ^= 0x20;
        std::fs::write(folder.join("cordons"), &spoilt).unwrap();
        let left = names();
        // A damaged line end makes one damaged line of two.
        assert!(
            (whole[at] == b'\n' || !left.is_empty()) && left.iter().all(|n| n == "a" || n == "b"),
            "byte {at}: {left:?}"
        );
        std::fs::write(folder.join("cordons"), &whole[..at]).unwrap();
        assert!(names().iter().all(|n| n == "a" || n == "b"), "cut at {at}");
    }
    let mut full = Cordons::open(&folder, 1_000);
    let more = (0..9)
        .map(|n| full.put(&name(&format!("long-{n}")), true).is_ok())
        .collect::<Vec<_>>();
    assert!(
        !more[8] && full.put(&name("long-0"), false).is_ok(),
        "{more:?}: putting back needs no room"
    );
    let _ = std::fs::remove_dir_all(&folder);
}
