//! Stories of senders that know one another, over loopback with real processes: one for each failure met or guarded
//! against. Times only end what hangs.

mod peers;
use peers::*;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use martenlatch_peers::latency_sketch::LatencySketch;
use martenlatch_peers::partner_knowledge::{Digest, ReportedOutage};
use martenlatch_peers::wire::{Page, Secret};

const SECRET: &str = "a secret of these stories";

/// Senders that may know one another: a folder for their files, and addresses for each.
struct Group {
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
}

impl Group {
    fn of(story: &str, count: u8) -> Group {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("martenlatch-group-{story}-{process}"));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("secret"), SECRET).unwrap();
        // Addresses that nothing else in these tests uses, each with a port free for both kinds.
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let seeds = (0..count).map(|_| {
            let no = NEXT.fetch_add(1, Ordering::Relaxed) as u8 + 1;
            let own = Ipv4Addr::new(
                127,
                1 + (process % 200) as u8,
                251 + (process / 200 % 4) as u8,
                no,
            );
            let free = (20_000..30_000).find(|port| {
                TcpListener::bind((own, *port)).is_ok() && UdpSocket::bind((own, *port)).is_ok()
            });
            SocketAddr::from((own, free.expect("no free port")))
        });
        Group {
            seeds: seeds.collect(),
            folder,
        }
    }

    /// The settings file of one of them.
    fn file(&self, no: usize, more: &str) -> PathBuf {
        let file = self.folder.join(format!("settings-{no}"));
        let seeds: String = self
            .seeds
            .iter()
            .map(|s| format!(" seed: \"{s}\""))
            .collect();
        let secret = self.folder.join("secret");
        let learn = if more.contains("learn_ms") {
            ""
        } else {
            "learn_ms: 5000"
        };
        let text = format!(
            "peers {{ listen: \"{}\" secret_file: {:?} {learn} period_ms: 100 {seeds} {more} }}\n",
            self.seeds[no],
            secret.display().to_string()
        );
        std::fs::write(&file, text).unwrap();
        file
    }

    fn start(&self, no: usize, platform: &Platform, known: &str, more: &str) -> Sender {
        let story = format!(
            "{}-{no}",
            self.folder.file_name().unwrap().to_string_lossy()
        );
        Sender::start_with(
            &story,
            platform,
            known,
            &format!("n{no}"),
            Some(&self.file(no, more)),
        )
    }

    /// What `martenlatch members` prints of one.
    fn members(&self, no: usize) -> (bool, String) {
        let file = self.folder.join(format!("settings-{no}"));
        let asked = Command::new(env!("CARGO_BIN_EXE_martenlatch"))
            .args(["members", "--settings"])
            .arg(file)
            .output()
            .unwrap();
        let said = if asked.status.success() {
            asked.stdout
        } else {
            asked.stderr
        };
        (asked.status.success(), String::from_utf8(said).unwrap())
    }

    /// Waits until one holds another for this.
    fn until(&self, no: usize, other: &str, state: &str) {
        let hang = Instant::now();
        loop {
            let (_, said) = self.members(no);
            let found = said.lines().any(|l| {
                let mut words = l.split_whitespace();
                (words.next(), words.next()) == (Some(other), Some(state))
            });
            if found {
                return;
            }
            assert!(
                hang.elapsed() < HANG,
                "{other} never was {state} to n{no}:\n{said}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A seed of ours in place of a sender: it answers the first asking with what the script makes of its number, and ends.
fn teller(at: SocketAddr, script: impl FnOnce(u64, &mut TcpStream) + Send + 'static) {
    // The socket that found this address free may live on for a moment in a process that is being started.
    let hang = Instant::now();
    let listener = loop {
        match TcpListener::bind(at) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && hang.elapsed() < HANG => {
                std::thread::sleep(Duration::from_millis(5));
            }
            bound => break bound.unwrap(),
        }
    };
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (secret, mut bytes) = (Secret::new(SECRET.as_bytes()), Vec::new());
        let no = loop {
            let mut part = [0; 512];
            let count = stream.read(&mut part).unwrap();
            assert!(count > 0, "it closed before it asked");
            bytes.extend(&part[..count]);
            if let Ok((Page::Ask { no, .. }, _)) = secret.open_page(&bytes) {
                break no;
            }
        };
        script(no, &mut stream);
    });
}

fn page(page: &Page) -> Vec<u8> {
    Secret::new(SECRET.as_bytes()).seal_page(page)
}

fn digest(destination: u64) -> Digest {
    Digest {
        served: 9.0,
        latency: LatencySketch::of([200.0; 9]),
        ..Digest::new(destination)
    }
}

fn one_region(script: impl Fn(usize, &Heard) -> Reply + Send + Sync + 'static) -> (Region, String) {
    let region = Region::new(script);
    let known = table(1, true, &[listed("s-1", region.address, "in_service")]);
    (region, known)
}

/// The log's line with this in it.
fn line(log: &str, with: &str) -> String {
    let found = log.lines().find(|l| l.contains(with));
    found
        .unwrap_or_else(|| panic!("no line with {with:?} in\n{log}"))
        .to_string()
}

#[test]
fn a_wait_told_to_one_binds_a_newcomer_that_was_only_told_of_it() {
    // The region asks the first for a minute's rest. The newcomer's message must not reach it in its time.
    let (region, known) = one_region(|_, _| status(429, "X-Backoff-Ms: 60000\r\n"));
    let (platform, group) = (Platform::new(&[]), Group::of("wait", 2));
    let first = group.start(0, &platform, &known, "");
    assert_eq!(first.hand_in("meter", "a", "1.0"), 202);
    region.call();
    assert!(platform.notice().contains("\"a\""));
    let newcomer = group.start(1, &platform, &known, "");
    assert_eq!(newcomer.hand_in("meter", "b", "1.0"), 202);
    assert!(platform.notice().contains("\"b\""));
    newcomer.signal("TERM");
    let log = newcomer.finish().1;
    assert!(
        line(&log, "learned from peers").contains("partners=1"),
        "{log}"
    );
    assert!(
        line(&log, " counters held=").contains(" success=0 "),
        "{log}"
    );
    assert_eq!(region.calls_so_far(), 0);
}

#[test]
fn with_nobody_there_a_newcomer_starts_at_once_and_cold() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("alone", 3));
    let sender = group.start(0, &platform, &known, "learn_ms: 10000");
    assert_eq!(sender.hand_in("meter", "a", "5.0"), 202);
    region.call();
    sender.signal("TERM");
    let log = sender.finish().1;
    let took = line(&log, "learned from peers");
    let took: u64 = took
        .rsplit("took_ms=")
        .next()
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(took < 9_000, "it waited for nobody: {took} ms");
}

#[test]
fn with_the_first_seeds_gone_the_next_are_asked() {
    let (_region, known) = one_region(|_, _| status(200, ""));
    for alive in [1, 3, 6] {
        let (platform, group) = (Platform::new(&[]), Group::of("gone", 7));
        teller(group.seeds[alive], |no, stream| {
            stream
                .write_all(&page(&Page::Digests {
                    no,
                    page: 0,
                    digests: vec![digest(7)],
                }))
                .unwrap();
            stream
                .write_all(&page(&Page::End { no, pages: 1 }))
                .unwrap();
        });
        let sender = group.start(0, &platform, &known, "");
        sender.signal("TERM");
        let log = sender.finish().1;
        assert!(
            line(&log, "learned from peers").contains("partners=1"),
            "{alive}: {log}"
        );
    }
}

#[test]
fn members_are_seen_come_die_and_leave() {
    let (_region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("members", 4));
    let first = group.start(0, &platform, &known, "");
    let (mut others, mut names) = (Vec::new(), Vec::new());
    for no in 1..4 {
        others.push(group.start(no, &platform, &known, ""));
        names.push(format!("n{no}"));
    }
    names.iter().for_each(|name| group.until(0, name, "alive"));
    others.remove(2).kill();
    group.until(0, "n3", "dead");
    let leaves = others.remove(1);
    leaves.signal("TERM");
    assert_eq!(leaves.finish().0, Some(0));
    group.until(0, "n2", "left");
    let (done, said) = group.members(0);
    assert!(
        done && said.lines().next().unwrap().contains("(itself)"),
        "{said}"
    );
    // One that comes back under its name has a higher incarnation, and is a member again.
    let again = others.remove(0).kill_and_restart();
    group.until(0, "n1", "alive");
    drop((first, again));
    let (done, said) = group.members(0);
    assert!(!done && said.contains("nobody answers"), "{said}");
}

#[test]
fn a_teller_that_dies_in_mid_snapshot_leaves_what_it_has_told() {
    let (_region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("cut", 2));
    teller(group.seeds[1], |no, stream| {
        let whole = page(&Page::Digests {
            no,
            page: 0,
            digests: vec![digest(7), digest(8)],
        });
        let half = page(&Page::Digests {
            no,
            page: 1,
            digests: vec![digest(9)],
        });
        stream.write_all(&whole).unwrap();
        stream.write_all(&half[..half.len() / 2]).unwrap();
    });
    let sender = group.start(0, &platform, &known, "");
    sender.signal("TERM");
    let log = sender.finish().1;
    assert!(line(&log, "snapshot cut").contains("closed"), "{log}");
    assert!(
        line(&log, "learned from peers").contains("partners=2"),
        "{log}"
    );
}

#[test]
fn what_is_spoilt_too_large_or_of_another_version_is_turned_away_and_the_sender_serves() {
    let (region, known) = one_region(|_, _| status(200, ""));
    for (story, spoil) in [
        (
            "spoilt",
            (|bytes: &mut Vec<u8>| bytes[9] ^= 1) as fn(&mut Vec<u8>),
        ),
        ("large", |bytes| bytes[3] = 0xff),
        ("version", |bytes| bytes[0] = 9),
    ] {
        let (platform, group) = (Platform::new(&[]), Group::of(story, 2));
        teller(group.seeds[1], move |no, stream| {
            let told = Digest {
                wait: 60_000.0,
                outage: Some(ReportedOutage::Rejecting),
                ..digest(7)
            };
            let mut bytes = page(&Page::Digests {
                no,
                page: 0,
                digests: vec![told],
            });
            spoil(&mut bytes);
            let _ = stream.write_all(&bytes);
            // It stays there, and says no more.
            let _ = stream.read(&mut [0; 1]);
        });
        let sender = group.start(0, &platform, &known, "");
        assert_eq!(sender.hand_in("meter", story, "5.0"), 202);
        assert_eq!(region.call().id(), story);
        sender.signal("TERM");
        let log = sender.finish().1;
        assert!(
            line(&log, "learned from peers").contains("partners=0"),
            "{story}: {log}"
        );
    }
}

#[test]
fn one_that_tells_without_end_is_bounded_in_time() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("slow", 2));
    teller(group.seeds[1], |no, stream| {
        for at in 0..100_000 {
            let told = page(&Page::Digests {
                no,
                page: at,
                digests: vec![digest(u64::from(at))],
            });
            if stream.write_all(&told).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let sender = group.start(0, &platform, &known, "learn_ms: 300");
    assert_eq!(sender.hand_in("meter", "a", "5.0"), 202);
    region.call();
    sender.signal("TERM");
    assert!(line(&sender.finish().1, "snapshot cut").contains("not whole in time"));
}

#[test]
fn strangers_datagrams_and_askings_are_dropped_counted_and_starve_nobody() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("flood", 1));
    let sender = group.start(0, &platform, &known, "");
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut talks = Vec::new();
    for no in 0..20_000u32 {
        let _ = socket.send_to(&no.to_le_bytes().repeat(50), group.seeds[0]);
        if no % 500 == 0 {
            talks.push(TcpStream::connect(group.seeds[0]).unwrap());
            assert_eq!(sender.hand_in("meter", &format!("m{no}"), "8.0"), 202);
            region.call();
        }
    }
    sender.signal("TERM");
    let log = sender.finish().1;
    let counters = line(&log, "counters of peers");
    let count = |name: &str| -> u64 {
        counters
            .split(name)
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    };
    assert!(
        count("other_version=") + count("malformed=") + count("not_keyed=") > 1_000,
        "{counters}"
    );
    assert!(count("talks_refused=") > 0, "{counters}");
    assert!(counters.contains("members=1 "), "{counters}");
}

#[test]
fn an_asking_of_another_secret_gets_no_word() {
    let (_region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("secret", 1));
    let _sender = group.start(0, &platform, &known, "");
    let mut stream = TcpStream::connect(group.seeds[0]).unwrap();
    let theirs = Secret::new(b"another secret altogether");
    stream
        .write_all(&theirs.seal_page(&Page::Who { no: 1 }))
        .unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    let mut said = Vec::new();
    let _ = stream.read_to_end(&mut said);
    assert!(said.is_empty());
    std::fs::write(group.folder.join("secret"), "short").unwrap();
    let (done, said) = group.members(0);
    assert!(!done && said.contains("at least 16 bytes"), "{said}");
}

#[test]
fn ten_thousand_partners_are_told_within_memory_and_time() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("many", 2));
    teller(group.seeds[1], |no, stream| {
        let wide = LatencySketch::of((0..40).map(|i| 100.0 * 1.05f64.powi(i)));
        let all: Vec<Digest> = (0..10_000)
            .map(|d| Digest {
                latency: wide.clone(),
                ..digest(d)
            })
            .collect();
        let mut pages = 0;
        for part in all.chunks(32) {
            stream
                .write_all(&page(&Page::Digests {
                    no,
                    page: pages,
                    digests: part.to_vec(),
                }))
                .unwrap();
            pages += 1;
        }
        stream.write_all(&page(&Page::End { no, pages })).unwrap();
        let _ = stream.read(&mut [0; 1]);
    });
    let sender = group.start(0, &platform, &known, "learn_ms: 10000");
    assert_eq!(sender.hand_in("meter", "a", "5.0"), 202);
    region.call();
    let kb = sender.memory_kb();
    assert!(kb < 32 * 1024, "{kb} KiB");
    sender.signal("TERM");
    let log = sender.finish().1;
    assert!(
        line(&log, "learned from peers").contains("partners=10000"),
        "{log}"
    );
}

#[test]
fn a_folder_that_takes_no_file_stops_no_sender() {
    let (region, known) = one_region(|_, _| status(200, ""));
    let (platform, group) = (Platform::new(&[]), Group::of("stuck", 1));
    let sender = group.start(0, &platform, &known, "keep: true");
    // Folders in the places of both files stand for a disk that neither gives nor takes them.
    let sender = sender.restart_after(|state| {
        std::fs::remove_file(state.join("peers")).unwrap();
        std::fs::create_dir(state.join("peers")).unwrap();
        std::fs::create_dir(state.join("peers.new")).unwrap();
    });
    assert_eq!(sender.hand_in("meter", "a", "5.0"), 202);
    region.call();
    sender.signal("TERM");
    let log = sender.finish().1;
    assert!(
        log.contains("knowledge passed over") && log.contains("knowledge not kept"),
        "{log}"
    );
}

#[test]
fn what_was_kept_serves_the_next_life_without_its_waits() {
    let (region, known) = one_region(|no, _| {
        if no == 0 {
            status(429, "X-Backoff-Ms: 9000\r\n")
        } else {
            status(200, "")
        }
    });
    let (platform, group) = (Platform::new(&[]), Group::of("kept", 1));
    let sender = group.start(0, &platform, &known, "keep: true");
    assert_eq!(sender.hand_in("meter", "a", "0.5"), 202);
    region.call();
    platform.notice();
    // It keeps what it knows at its end too.
    let sender = sender.end_and_restart();
    assert_eq!(sender.hand_in("meter", "b", "5.0"), 202);
    assert_eq!(
        region.call().id(),
        "b",
        "a wait is not carried over a restart"
    );
    sender.signal("TERM");
    let log = sender.finish().1;
    let started = line(&log, "peers started");
    assert!(
        started.contains("kept=1") && started.contains("incarnation=2"),
        "{started}"
    );
}
