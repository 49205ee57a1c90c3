//! Tests of the cordons and their file, also one that is damaged or cannot be written.

use tempfile::TempDir;

use super::*;

const DISK_LIMIT: u64 = 3_000_000;

fn stored_names(folder: &TempDir) -> Vec<String> {
    let cordons = Cordons::open(folder.path(), DISK_LIMIT);
    cordons.names().map(|name| name.to_string()).collect()
}

/// A state folder in which "a" and "b" are cordoned.
fn folder_with_two_cordons() -> (TempDir, Cordons) {
    let folder = tempfile::tempdir().unwrap();
    let mut cordons = Cordons::open(folder.path(), DISK_LIMIT);
    for name in ["a", "b"] {
        assert_eq!(cordons.set_cordoned(&Rc::from(name), true), Ok(true));
    }
    (folder, cordons)
}

#[test]
fn cordons_are_stored_until_they_are_removed() {
    let (folder, mut cordons) = folder_with_two_cordons();
    assert_eq!(cordons.set_cordoned(&Rc::from("a"), true), Ok(false));
    assert_eq!(cordons.set_cordoned(&Rc::from("c"), true), Ok(true));
    assert_eq!(cordons.set_cordoned(&Rc::from("c"), false), Ok(true));
    assert_eq!(stored_names(&folder), ["a", "b"]);
}

#[test]
fn the_cordons_are_unchanged_if_their_file_cannot_be_written() {
    let (folder, mut cordons) = folder_with_two_cordons();
    std::fs::create_dir(folder.path().join("cordons.new")).unwrap();
    let error = cordons.set_cordoned(&Rc::from("d"), true).unwrap_err();
    assert!(error.to_string().starts_with("the ban cannot be written: "));
    assert!(cordons.set_cordoned(&Rc::from("a"), false).is_err());
    assert!(cordons.contains("a") && !cordons.contains("d"));
    assert_eq!(stored_names(&folder), ["a", "b"]);
}

#[test]
fn a_damaged_line_loses_no_other_cordon() {
    let (folder, _) = folder_with_two_cordons();
    let file = folder.path().join("cordons");
    let intact = std::fs::read(&file).unwrap();
    let only_known = |names: &[String]| names.iter().all(|name| name == "a" || name == "b");
    for offset in 0..intact.len() {
        let mut damaged = intact.clone();
        damaged[offset] ^= 0x20;
        std::fs::write(&file, &damaged).unwrap();
        let names = stored_names(&folder);
        // A damaged newline joins two lines into one damaged line.
        assert!(
            intact[offset] == b'\n' || !names.is_empty(),
            "no cordon left with byte {offset} damaged"
        );
        assert!(only_known(&names), "byte {offset} damaged: {names:?}");
        std::fs::write(&file, &intact[..offset]).unwrap();
        assert!(
            only_known(&stored_names(&folder)),
            "file truncated to {offset} bytes"
        );
    }
}

#[test]
fn a_full_file_accepts_no_more_cordons_but_endpoints_can_be_uncordoned() {
    let (folder, _) = folder_with_two_cordons();
    // The file may be 30 bytes long, which is its current size.
    let mut full = Cordons::open(folder.path(), 1_000);
    for index in 0..9 {
        let name = Rc::from(format!("long-{index}"));
        let error = full.set_cordoned(&name, true).unwrap_err();
        assert_eq!(
            error.to_string(),
            "no room on disk for more than the 2 that are out"
        );
    }
    assert_eq!(full.set_cordoned(&Rc::from("long-0"), false), Ok(false));
    assert_eq!(
        full.set_cordoned(&Rc::from("a"), false),
        Ok(true),
        "uncordoning needs no space"
    );
    assert_eq!(stored_names(&folder), ["b"]);
}
