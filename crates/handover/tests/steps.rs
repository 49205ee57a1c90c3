//! Both sides of a takeover over a real socket, with either of them gone or silent at every step: afterwards exactly one
//! of them serves.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::thread;

use martenlatch_handover::{
    HandoverError, Lock, PendingTakeover, ReceivedState, RequestProgress, SuccessorConnection,
    TakeoverListener, TakeoverRequest, TransferOutcome, VERSION, request_takeover,
};
use rstest::rstest;

fn request(version: u32) -> TakeoverRequest {
    TakeoverRequest {
        version,
        listen: "127.0.0.1:7".parse().unwrap(),
    }
}

/// A time limit that is over after it was checked so many times, whatever the clock says.
fn checks(count: u32) -> impl Fn() -> f64 {
    let left = Cell::new(count);
    move || {
        left.set(left.get().saturating_sub(1));
        f64::from(left.get())
    }
}

/// Polls for a value, for some seconds at most.
fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let delayed_poll = || {
        thread::sleep(std::time::Duration::from_millis(1));
        poll()
    };
    std::iter::repeat_with(delayed_poll)
        .take(20_000)
        .flatten()
        .next()
        .expect("it came")
}

/// Reads until the request is complete or invalid.
fn read_request(connection: &mut SuccessorConnection) -> RequestProgress {
    wait_for(|| match connection.read_request() {
        RequestProgress::Incomplete => None,
        progress => Some(progress),
    })
}

fn accept_request(listener: &TakeoverListener) -> (SuccessorConnection, TakeoverRequest) {
    let mut connection = wait_for(|| listener.accept());
    let RequestProgress::Complete(request) = read_request(&mut connection) else {
        panic!("it sent a request")
    };
    (connection, request)
}

fn listen_and_request(folder: &Path) -> (TakeoverListener, PendingTakeover) {
    let path = folder.join("takeover.sock");
    let listener = TakeoverListener::open(&path).unwrap();
    let pending = request_takeover(&path, &request(VERSION)).unwrap();
    (listener, pending)
}

#[test]
fn state_and_descriptors_arrive_complete_and_both_agree_on_who_serves() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, pending) = listen_and_request(folder.path());
    let sockets: Vec<TcpListener> = (0..150)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let bytes: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let expected = bytes.clone();
    let addresses: Vec<_> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let successor = thread::spawn(move || {
        let mut received = pending.receive(&checks(1_000)).unwrap();
        assert!(received.state == expected, "the bytes differ");
        let descriptors = std::mem::take(&mut received.descriptors);
        let received_addresses: Vec<_> = descriptors
            .into_iter()
            .map(|descriptor| TcpListener::from(descriptor).local_addr().unwrap())
            .collect();
        assert_eq!(received_addresses, addresses, "in their order");
        received.commit().unwrap();
    });
    let (connection, received_request) = accept_request(&listener);
    assert_eq!(received_request, request(VERSION));
    let descriptors: Vec<_> = sockets.iter().map(|s| s.as_fd()).collect();
    let outcome = connection.transfer(&bytes, &descriptors, &checks(1_000));
    assert!(matches!(outcome, TransferOutcome::Committed), "{outcome:?}");
    successor.join().unwrap();
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    GoneBeforeTheState,
    GoneHalfway,
    GoneWithTheState,
    SilentWithTheState,
    InvalidCommit,
    CommitsLate,
}

impl Successor {
    /// Requests to take over, and fails in its way; one that does not end by itself waits until the transfer is over.
    /// The result of its late commit, if it tries one.
    fn run(self, path: &Path, transfer_over: &Receiver<()>) -> Option<std::io::Result<()>> {
        match self {
            Successor::GoneBeforeTheState | Successor::GoneHalfway | Successor::InvalidCommit => {
                self.run_on_the_bare_stream(path, transfer_over);
                None
            }
            Successor::GoneWithTheState => {
                receive_state(path);
                None
            }
            Successor::SilentWithTheState | Successor::CommitsLate => {
                let received = receive_state(path);
                transfer_over.recv().unwrap();
                Some(received.commit())
            }
        }
    }

    fn run_on_the_bare_stream(self, path: &Path, transfer_over: &Receiver<()>) {
        let mut stream = UnixStream::connect(path).unwrap();
        let line = format!("martenlatch {VERSION} 127.0.0.1:7\n");
        stream.write_all(line.as_bytes()).unwrap();
        if self == Successor::GoneBeforeTheState {
            return;
        }
        stream.read_exact(&mut [0; 100]).unwrap();
        if self == Successor::InvalidCommit {
            stream.write_all(b"takes\n").unwrap();
            let _ = transfer_over.recv();
        }
    }
}

fn receive_state(path: &Path) -> ReceivedState {
    let pending = request_takeover(path, &request(VERSION)).unwrap();
    pending.receive(&checks(1_000)).unwrap()
}

#[rstest]
fn the_serving_process_goes_on_wherever_the_successor_dies_or_falls_silent(
    #[values(
        Successor::GoneBeforeTheState,
        Successor::GoneHalfway,
        Successor::GoneWithTheState,
        Successor::SilentWithTheState,
        Successor::InvalidCommit,
        Successor::CommitsLate
    )]
    successor: Successor,
) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("takeover.sock");
    let listener = TakeoverListener::open(&path).unwrap();
    // Half of a large state cannot wait in the socket's buffers.
    let size = if successor == Successor::GoneHalfway {
        4 << 20
    } else {
        100
    };
    let bytes = vec![7; size];
    let (end, ended) = std::sync::mpsc::channel::<()>();
    let other = thread::spawn(move || successor.run(&path, &ended));
    let (connection, _) = accept_request(&listener);
    let lock = Lock::try_acquire(folder.path(), "lock").unwrap().unwrap();
    let outcome = connection.transfer(&bytes, &[lock.as_fd()], &checks(25));
    assert!(matches!(outcome, TransferOutcome::Failed(_)), "{outcome:?}");
    let _ = end.send(());
    let late_commit = other.join().unwrap();
    assert!(
        late_commit.is_none_or(|commit| commit.is_err()),
        "a late commit cannot be written"
    );
    assert!(
        Lock::try_acquire(folder.path(), "lock").unwrap().is_none(),
        "the serving process still holds the lock"
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
fn a_successor_accepts_no_incomplete_state(#[case] answer: &str, #[case] reason: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("takeover.sock");
    let listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let pending = request_takeover(&path, &request(VERSION)).unwrap();
    let (mut serving, _) = listener.accept().unwrap();
    serving.write_all(answer.as_bytes()).unwrap();
    drop(serving);
    let error = pending
        .receive(&checks(50))
        .map(|_| ())
        .expect_err("there is no complete state");
    let error = error.to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_serving_process_that_dies_leaves_the_lock_to_the_successor_which_cannot_commit() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, pending) = listen_and_request(folder.path());
    let lock = Lock::try_acquire(folder.path(), "lock").unwrap().unwrap();
    let (connection, _) = accept_request(&listener);
    let serving = thread::spawn(move || {
        // It ends with everything sent: its time is soon over, and its socket is closed with it.
        connection.transfer(b"all", &[lock.as_fd()], &checks(8))
    });
    let received = pending.receive(&checks(1_000)).unwrap();
    assert!(matches!(
        serving.join().unwrap(),
        TransferOutcome::Failed(_)
    ));
    assert!(
        Lock::try_acquire(folder.path(), "lock").unwrap().is_none(),
        "the received descriptor still holds it"
    );
    assert!(received.commit().is_err());
    assert!(
        Lock::try_acquire(folder.path(), "lock").unwrap().is_some(),
        "free once that is dropped"
    );
}

#[test]
fn a_stale_socket_a_deep_folder_and_invalid_requests_do_no_harm() {
    let folder = tempfile::tempdir().unwrap();
    let deep = folder.path().join("x".repeat(120));
    std::fs::create_dir(&deep).unwrap();
    let path = deep.join("takeover.sock");
    drop(TakeoverListener::open(&path).unwrap());
    assert!(
        request_takeover(&path, &request(VERSION)).is_err(),
        "its process has gone"
    );
    let listener = TakeoverListener::open(&path).unwrap();
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
        let mut connection = wait_for(|| listener.accept());
        assert_eq!(connection.read_request(), RequestProgress::Incomplete);
        let _ = stream.write_all(text.as_bytes());
        assert_eq!(read_request(&mut connection), RequestProgress::Invalid);
    }
    let pending = request_takeover(&path, &request(VERSION + 1)).unwrap();
    let (connection, received_request) = accept_request(&listener);
    assert_eq!(received_request.version, VERSION + 1);
    connection.refuse("version 1 is spoken here");
    let error = pending.receive(&checks(50)).map(|_| ()).unwrap_err();
    assert!(matches!(error, HandoverError::Refused(_)), "{error:?}");
    assert_eq!(error.to_string(), "version 1 is spoken here");
    listener.close();
    assert!(!path.exists());
}
