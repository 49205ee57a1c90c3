//! Tests of the cordons and their file.

use tempfile::TempDir;

use super::*;

const DISK_LIMIT: u64 = 3_000_000;

fn names(folder: &TempDir) -> Vec<String> {
    let cordons = Cordons::open(folder.path(), DISK_LIMIT);
    cordons.names().map(|name| name.to_string()).collect()
}

/// A folder in which "a" and "b" are cordoned.
fn two_cordoned() -> (TempDir, Cordons) {
    let folder = tempfile::tempdir().unwrap();
    let mut cordons = Cordons::open(folder.path(), DISK_LIMIT);
    for name in ["a", "b"] {
        assert_eq!(cordons.set_cordoned(&Rc::from(name), true), Ok(true));
    }
    (folder, cordons)
}

#[test]
fn cordons_last_until_they_are_taken_back() {
    let (folder, mut cordons) = two_cordoned();
    assert_eq!(cordons.set_cordoned(&Rc::from("a"), true), Ok(false));
    assert_eq!(cordons.set_cordoned(&Rc::from("c"), true), Ok(true));
    assert_eq!(cordons.set_cordoned(&Rc::from("c"), false), Ok(true));
    assert_eq!(names(&folder), ["a", "b"]);
}

#[test]
fn a_disk_that_takes_no_file_leaves_the_cordons_as_they_were() {
    let (folder, mut cordons) = two_cordoned();
    std::fs::create_dir(folder.path().join("cordons.new")).unwrap();
    let failed = cordons.set_cordoned(&Rc::from("d"), true).unwrap_err();
    assert!(
        failed
            .to_string()
            .starts_with("the ban cannot be written: ")
    );
    assert!(cordons.set_cordoned(&Rc::from("a"), false).is_err());
    assert!(cordons.contains("a") && !cordons.contains("d"));
    assert_eq!(names(&folder), ["a", "b"]);
}

#[test]
fn a_damaged_line_costs_itself_alone() {
    let (folder, _) = two_cordoned();
    let file = folder.path().join("cordons");
    let whole = std::fs::read(&file).unwrap();
    let known = |left: &[String]| left.iter().all(|name| name == "a" || name == "b");
    for at in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x20;
        std::fs::write(&file, &damaged).unwrap();
        let left = names(&folder);
        // A damaged line end makes one damaged line of two.
        assert!(whole[at] == b'\n' || !left.is_empty(), "byte {at}: none");
        assert!(known(&left), "byte {at}: {left:?}");
        std::fs::write(&file, &whole[..at]).unwrap();
        assert!(known(&names(&folder)), "cut at {at}");
    }
}

#[test]
fn a_full_file_takes_no_more_cordons_but_they_can_be_taken_back() {
    let (folder, _) = two_cordoned();
    // The file may have 30 bytes, as many as it has.
    let mut full = Cordons::open(folder.path(), 1_000);
    for index in 0..9 {
        let name = Rc::from(format!("long-{index}"));
        let refused = full.set_cordoned(&name, true).unwrap_err();
        assert_eq!(
            refused.to_string(),
            "no room on disk for more than the 2 that are out"
        );
    }
    assert_eq!(full.set_cordoned(&Rc::from("long-0"), false), Ok(false));
    assert_eq!(
        full.set_cordoned(&Rc::from("a"), false),
        Ok(true),
        "it needs no room"
    );
    assert_eq!(names(&folder), ["b"]);
}
