//! Owns which regions operators have taken out, by the names that discovery lists, and the file that outlasts the
//! process. It must never say that a ban holds which is not on disk, or let a damaged line cost another.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use tracing::error;

/// Says what the file is, and in which version.
const MAGIC: &str = "mlhand1";
/// Part of the disk limit that the file may take, old and new together: the wal leaves that much.
const PART: f64 = 0.06;
/// Longest name that can be taken out; a caller's line is not much longer.
pub const NAME: usize = 256;

/// The bans.
pub struct Cordons {
    file: PathBuf,
    /// Bytes that the file may have.
    most: usize,
    out: BTreeSet<Rc<str>>,
}

fn sum(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

impl Cordons {
    /// Reads the bans of earlier lives. What cannot be read is said, and costs nothing else.
    pub fn open(folder: &Path, disk: u64) -> Cordons {
        let file = folder.join("cordons");
        let mut out = BTreeSet::new();
        match std::fs::read(&file) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => {}
            Err(e) => error!(error = ?e.kind(), "cordons unreadable"),
            Ok(bytes) => {
                let text = String::from_utf8_lossy(&bytes);
                let mut lines = text.lines();
                let known = lines.next() == Some(MAGIC);
                let name = |line: &str| {
                    let (told, name) = line.split_once(' ')?;
                    (u32::from_str_radix(told, 16).ok()? == sum(name)).then(|| Rc::from(name))
                };
                let (good, bad): (Vec<_>, Vec<_>) = lines.map(name).partition(Option::is_some);
                out.extend(good.into_iter().flatten());
                if !known || !bad.is_empty() {
                    error!(lines = bad.len(), kept = out.len(), "cordons damaged");
                }
            }
        }
        Cordons {
            file,
            most: (disk as f64 * PART / 2.0) as usize,
            out,
        }
    }

    /// Whether operators have taken out the region of that name.
    pub fn holds(&self, name: &str) -> bool {
        self.out.contains(name)
    }

    #[cfg(test)]
    fn names(&self) -> impl Iterator<Item = &Rc<str>> {
        self.out.iter()
    }

    /// Takes a region out, or puts it back, on disk first. Whether that changed anything.
    ///
    /// # Errors
    /// Why it could not be written; what held before holds on.
    pub fn put(&mut self, name: &Rc<str>, out: bool) -> Result<bool, String> {
        if self.holds(name) == out {
            return Ok(false);
        }
        let mut next = self.out.clone();
        if out {
            next.insert(name.clone())
        } else {
            next.remove(name)
        };
        let lines = next
            .iter()
            .map(|name| format!("{:08x} {name}\n", sum(name)));
        let text: String = std::iter::once(format!("{MAGIC}\n")).chain(lines).collect();
        if out && text.len() > self.most {
            return Err(format!(
                "no room on disk for more than the {} that are out",
                self.out.len()
            ));
        }
        crate::atomic_file::replace(&self.file, text.as_bytes())
            .map_err(|e| format!("the ban cannot be written: {e}"))?;
        self.out = next;
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
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
                (whole[at] == b'\n' || !left.is_empty())
                    && left.iter().all(|n| n == "a" || n == "b"),
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
}
