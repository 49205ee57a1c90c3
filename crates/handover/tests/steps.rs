//! Takeovers over a real socket, in which either process ends or stops responding at each step. Afterwards exactly one
//! of the two serves.

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

/// A time limit that expires once it has been checked `count` times, independently of the clock.
fn expires_after_checks(count: u32) -> impl Fn() -> f64 {
    let checks_left = Cell::new(count);
    move || {
        checks_left.set(checks_left.get().saturating_sub(1));
        f64::from(checks_left.get())
    }
}

/// Polls until there is a value, at most 20 000 times and 1 ms apart.
fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let delayed_poll = || {
        thread::sleep(std::time::Duration::from_millis(1));
        poll()
    };
    std::iter::repeat_with(delayed_poll)
        .take(20_000)
        .flatten()
        .next()
        .expect("there is a value in time")
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
        panic!("the request is valid")
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
fn state_and_descriptors_arrive_completely_and_the_successor_takes_over() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, pending) = listen_and_request(folder.path());
    let sockets: Vec<TcpListener> = (0..150)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let bytes: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let expected = bytes.clone();
    let addresses: Vec<_> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    let successor = thread::spawn(move || {
        let mut received = pending.receive(&expires_after_checks(1_000)).unwrap();
        assert!(received.state == expected, "the bytes differ");
        let descriptors = std::mem::take(&mut received.descriptors);
        let received_addresses: Vec<_> = descriptors
            .into_iter()
            .map(|descriptor| TcpListener::from(descriptor).local_addr().unwrap())
            .collect();
        assert_eq!(
            received_addresses, addresses,
            "the descriptors arrive in order"
        );
        received.commit().unwrap();
    });
    let (connection, received_request) = accept_request(&listener);
    assert_eq!(received_request, request(VERSION));
    let descriptors: Vec<_> = sockets.iter().map(|s| s.as_fd()).collect();
    let outcome = connection.transfer(&bytes, &descriptors, &expires_after_checks(1_000));
    assert!(matches!(outcome, TransferOutcome::Committed), "{outcome:?}");
    successor.join().unwrap();
}

/// The ways in which a successor fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailingSuccessor {
    EndsBeforeState,
    EndsDuringState,
    EndsAfterState,
    NeverCommits,
    InvalidCommit,
    CommitsLate,
}

impl FailingSuccessor {
    /// Requests to take over, and fails in this way. A successor that stays connected waits until the transfer has
    /// ended. Returns the result of the late commit, if there is one.
    fn run(self, path: &Path, transfer_ended: &Receiver<()>) -> Option<std::io::Result<()>> {
        match self {
            FailingSuccessor::EndsBeforeState
            | FailingSuccessor::EndsDuringState
            | FailingSuccessor::InvalidCommit => {
                self.run_on_raw_stream(path, transfer_ended);
                None
            }
            FailingSuccessor::EndsAfterState => {
                receive_state(path);
                None
            }
            FailingSuccessor::NeverCommits | FailingSuccessor::CommitsLate => {
                let received = receive_state(path);
                transfer_ended.recv().unwrap();
                Some(received.commit())
            }
        }
    }

    fn run_on_raw_stream(self, path: &Path, transfer_ended: &Receiver<()>) {
        let mut stream = UnixStream::connect(path).unwrap();
        let line = format!("martenlatch {VERSION} 127.0.0.1:7\n");
        stream.write_all(line.as_bytes()).unwrap();
        if self == FailingSuccessor::EndsBeforeState {
            return;
        }
        stream.read_exact(&mut [0; 100]).unwrap();
        if self == FailingSuccessor::InvalidCommit {
            stream.write_all(b"takes\n").unwrap();
            let _ = transfer_ended.recv();
        }
    }
}

fn receive_state(path: &Path) -> ReceivedState {
    let pending = request_takeover(path, &request(VERSION)).unwrap();
    pending.receive(&expires_after_checks(1_000)).unwrap()
}

#[rstest]
fn the_serving_process_keeps_serving_wherever_the_successor_fails(
    #[values(
        FailingSuccessor::EndsBeforeState,
        FailingSuccessor::EndsDuringState,
        FailingSuccessor::EndsAfterState,
        FailingSuccessor::NeverCommits,
        FailingSuccessor::InvalidCommit,
        FailingSuccessor::CommitsLate
    )]
    successor: FailingSuccessor,
) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("takeover.sock");
    let listener = TakeoverListener::open(&path).unwrap();
    // Half of a large state does not fit into the socket's buffers, so the transfer is still running when the successor
    // ends.
    let size = if successor == FailingSuccessor::EndsDuringState {
        4 << 20
    } else {
        100
    };
    let bytes = vec![7; size];
    let (end_transfer, transfer_ended) = std::sync::mpsc::channel::<()>();
    let successor = thread::spawn(move || successor.run(&path, &transfer_ended));
    let (connection, _) = accept_request(&listener);
    let lock = Lock::try_acquire(folder.path(), "lock").unwrap().unwrap();
    let outcome = connection.transfer(&bytes, &[lock.as_fd()], &expires_after_checks(25));
    assert!(matches!(outcome, TransferOutcome::Failed(_)), "{outcome:?}");
    let _ = end_transfer.send(());
    let late_commit = successor.join().unwrap();
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
#[case::nothing("", "was interrupted")]
#[case::refused("no ending\n", "ending")]
#[case::no_answer("maybe\n", "is invalid")]
#[case::no_sizes("yes 7\n", "is invalid")]
#[case::too_many_bytes("yes 999999999999 1\n", "is invalid")]
#[case::too_many_descriptors("yes 1 99999\n", "is invalid")]
#[case::line_too_long(
    "yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes \
    yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes \
    yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes yes",
    "is invalid"
)]
#[case::too_few_bytes("yes 100 0\nabc", "was interrupted")]
#[case::missing_descriptors("yes 3 2\n+abc", "announced size")]
#[case::excess_bytes("yes 3 0\nabcd", "announced size")]
fn a_successor_rejects_an_invalid_or_incomplete_state(#[case] answer: &str, #[case] reason: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("takeover.sock");
    let listener = std::os::unix::net::UnixListener::bind(&path).unwrap();
    let pending = request_takeover(&path, &request(VERSION)).unwrap();
    let (mut serving, _) = listener.accept().unwrap();
    serving.write_all(answer.as_bytes()).unwrap();
    drop(serving);
    let error = pending
        .receive(&expires_after_checks(50))
        .map(|_| ())
        .expect_err("the state is rejected");
    let error = error.to_string();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn a_serving_process_that_ends_after_sending_its_state_leaves_the_lock_but_no_commit() {
    let folder = tempfile::tempdir().unwrap();
    let (listener, pending) = listen_and_request(folder.path());
    let lock = Lock::try_acquire(folder.path(), "lock").unwrap().unwrap();
    let (connection, _) = accept_request(&listener);
    let serving = thread::spawn(move || {
        // It ends after it has sent everything: its time soon runs out, and its socket is closed.
        connection.transfer(b"all", &[lock.as_fd()], &expires_after_checks(8))
    });
    let received = pending.receive(&expires_after_checks(1_000)).unwrap();
    assert!(matches!(
        serving.join().unwrap(),
        TransferOutcome::Failed(_)
    ));
    assert!(
        Lock::try_acquire(folder.path(), "lock").unwrap().is_none(),
        "the received descriptor still holds the lock"
    );
    assert!(received.commit().is_err());
    assert!(
        Lock::try_acquire(folder.path(), "lock").unwrap().is_some(),
        "the lock is free once that descriptor is closed"
    );
}

#[test]
fn a_stale_socket_a_long_path_and_invalid_requests_do_not_prevent_a_valid_request() {
    let folder = tempfile::tempdir().unwrap();
    let deep = folder.path().join("x".repeat(120));
    std::fs::create_dir(&deep).unwrap();
    let path = deep.join("takeover.sock");
    drop(TakeoverListener::open(&path).unwrap());
    assert!(
        request_takeover(&path, &request(VERSION)).is_err(),
        "no process listens on the stale socket"
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
    let error = pending
        .receive(&expires_after_checks(50))
        .map(|_| ())
        .unwrap_err();
    assert!(matches!(error, HandoverError::Refused(_)), "{error:?}");
    assert_eq!(error.to_string(), "version 1 is spoken here");
    listener.close();
    assert!(!path.exists());
}
