//! Both sides of a hand-over over a real socket, with either of them gone or silent at every step: afterwards exactly one
//! of them holds that it serves.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::thread;

use martenlatch_handover::{Ask, Asker, Asking, Given, Heard, Lock, Offer, VERSION, ask};
use rstest::rstest;

fn asking(version: u32) -> Ask {
    Ask {
        version,
        listen: "127.0.0.1:7".parse().unwrap(),
    }
}

/// Time that is over after so many looks at it: no clock decides.
fn looks(count: u32) -> impl Fn() -> f64 {
    let left = Cell::new(count);
    move || {
        left.set(left.get().saturating_sub(1));
        f64::from(left.get())
    }
}

/// The first that comes of what is looked for again and again, for some seconds at most.
fn soon<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let again = || {
        thread::sleep(std::time::Duration::from_millis(1));
        look()
    };
    std::iter::repeat_with(again)
        .take(20_000)
        .flatten()
        .next()
        .expect("it came")
}

fn heard(offer: &Offer) -> (Asker, Ask) {
    let mut asker = soon(|| offer.accept());
    let heard = soon(|| Some(asker.hear()).filter(|heard| *heard != Heard::Part));
    let Heard::Whole(ask) = heard else {
        panic!("it asked")
    };
    (asker, ask)
}

fn meet(folder: &Path) -> (Offer, Asking) {
    let path = folder.join("meet.sock");
    let offer = Offer::open(&path).unwrap();
    let asked = ask(&path, &asking(VERSION)).unwrap();
    (offer, asked)
}

#[test]
fn bytes_and_descriptors_pass_whole_and_both_agree_on_who_serves() {
    let folder = tempfile::tempdir().unwrap();
    let (offer, asked) = meet(folder.path());
    let sockets: Vec<TcpListener> = (0..150)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let bytes: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let wanted = bytes.clone();
    let addresses: Vec<_> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let new = thread::spawn(move || {
        let mut passed = asked.receive(&looks(1_000)).unwrap();
        assert!(passed.bytes == wanted, "the bytes are other ones");
        let fds = std::mem::take(&mut passed.fds);
        let got: Vec<_> = fds
            .into_iter()
            .map(|fd| TcpListener::from(fd).local_addr().unwrap())
            .collect();
        assert_eq!(got, addresses, "in their order");
        passed.taken().unwrap();
    });
    let (asker, said) = heard(&offer);
    assert_eq!(said, asking(VERSION));
    let fds: Vec<_> = sockets.iter().map(|s| s.as_fd()).collect();
    assert_eq!(asker.give(&bytes, &fds, &looks(1_000)), Given::Taken);
    new.join().unwrap();
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum New {
    GoneBeforeAll,
    GoneHalfway,
    GoneWithAll,
    SilentWithAll,
    Nonsense,
    TakesLate,
}

#[rstest]
fn an_old_process_goes_on_wherever_the_new_one_dies_or_falls_silent(
    #[values(
        New::GoneBeforeAll,
        New::GoneHalfway,
        New::GoneWithAll,
        New::SilentWithAll,
        New::Nonsense,
        New::TakesLate
    )]
    new: New,
) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("meet.sock");
    let offer = Offer::open(&path).unwrap();
    let bytes = vec![
        7;
        if new == New::GoneHalfway {
            4 << 20
        } else {
            100
        }
    ];
    let (done, over) = std::sync::mpsc::channel::<()>();
    let other = thread::spawn(move || {
        if matches!(new, New::GoneHalfway | New::Nonsense | New::GoneBeforeAll) {
            let mut stream = UnixStream::connect(&path).unwrap();
            stream
                .write_all(format!("martenlatch {VERSION} 127.0.0.1:7\n").as_bytes())
                .unwrap();
            if new != New::GoneBeforeAll {
                stream.read_exact(&mut [0; 100]).unwrap();
            }
            if new == New::Nonsense {
                stream.write_all(b"takes\n").unwrap();
            }
            let _ = (new == New::Nonsense).then(|| over.recv());
            return None;
        }
        let passed = ask(&path, &asking(VERSION))
            .unwrap()
            .receive(&looks(1_000))
            .unwrap();
        if new == New::GoneWithAll {
            return None;
        }
        over.recv().unwrap();
        Some(passed.taken())
    });
    let (asker, _) = heard(&offer);
    let lock = Lock::take(folder.path(), "lock").unwrap().unwrap();
    let given = asker.give(&bytes, &[lock.as_fd()], &looks(25));
    assert!(matches!(given, Given::Kept(_)), "{given:?}");
    let _ = done.send(());
    let late = other.join().unwrap();
    assert!(
        late.is_none_or(|taken| taken.is_err()),
        "a word that comes late cannot be written"
    );
    assert!(
        Lock::take(folder.path(), "lock").unwrap().is_none(),
        "the old process holds the lock still"
    );
}

#[rstest]
#[case::nothing("", "broke off")]
#[case::refused("no ending\n", "ending")]
#[case::no_answer("maybe\n", "cannot be read")]
#[case::no_sizes("yes 7\n", "cannot be read")]
#[case::too_much("yes 999999999999 1\n", "cannot be read")]
#[case::too_many("yes 1 99999\n", "cannot be read")]
#[case::endless(
    "yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes \
    yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes \
    yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes",
    "cannot be read"
)]
#[case::short("yes 100 0\nabc", "broke off")]
#[case::no_descriptors("yes 3 2\n+abc", "more or less")]
#[case::more("yes 3 0\nabcd", "more or less")]
fn a_new_process_takes_nothing_that_is_not_whole(#[case] answer: &str, #[case] reason: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("meet.sock");
    let listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let asked = ask(&path, &asking(VERSION)).unwrap();
    let (mut old, _) = listener.accept().unwrap();
    old.write_all(answer.as_bytes()).unwrap();
    drop(old);
    let said = asked
        .receive(&looks(50))
        .map(|_| ())
        .expect_err("there is nothing to take");
    assert!(said.contains(reason), "{said}");
}

#[test]
fn an_old_process_that_dies_leaves_the_lock_to_the_new_one_and_the_word_cannot_be_written() {
    let folder = tempfile::tempdir().unwrap();
    let (offer, asked) = meet(folder.path());
    let lock = Lock::take(folder.path(), "lock").unwrap().unwrap();
    let (asker, _) = heard(&offer);
    let old = thread::spawn(move || {
        // It dies with everything written: its time is over at the first look, and its socket ends with it.
        asker.give(b"all", &[lock.as_fd()], &looks(8))
    });
    let passed = asked.receive(&looks(1_000)).unwrap();
    assert!(matches!(old.join().unwrap(), Given::Kept(_)));
    assert!(
        Lock::take(folder.path(), "lock").unwrap().is_none(),
        "what was passed holds it yet"
    );
    assert!(passed.taken().is_err());
    assert!(
        Lock::take(folder.path(), "lock").unwrap().is_some(),
        "free, once that is dropped"
    );
}

#[test]
fn a_stale_socket_a_deep_folder_and_askers_who_say_nonsense_do_no_harm() {
    let folder = tempfile::tempdir().unwrap();
    let deep = folder.path().join("x".repeat(120));
    std::fs::create_dir(&deep).unwrap();
    let path = deep.join("meet.sock");
    drop(Offer::open(&path).unwrap());
    assert!(
        ask(&path, &asking(VERSION)).is_err(),
        "its process has gone"
    );
    let offer = Offer::open(&path).unwrap();
    for text in [
        "\n",
        "martenlatch\n",
        "martenlatch x 127.0.0.1:7\n",
        &"x".repeat(9_000),
        "martenlatch 1 127.0.0.1:7 y\n",
    ] {
        let short = folder.path().join("s");
        let _ = std::fs::remove_file(&short);
        std::os::unix::fs::symlink(&path, &short).unwrap();
        let mut stream = UnixStream::connect(&short).unwrap();
        let mut asker = soon(|| offer.accept());
        assert_eq!(asker.hear(), Heard::Part);
        let _ = stream.write_all(text.as_bytes());
        assert_eq!(
            soon(|| Some(asker.hear()).filter(|heard| *heard != Heard::Part)),
            Heard::Nonsense
        );
    }
    let asked = ask(&path, &asking(VERSION + 1)).unwrap();
    let (asker, said) = heard(&offer);
    assert_eq!(said.version, VERSION + 1);
    asker.refuse("version 1 is spoken here");
    assert_eq!(
        asked.receive(&looks(50)).map(|_| ()),
        Err("version 1 is spoken here".into())
    );
    offer.close();
    assert!(!path.exists());
}
