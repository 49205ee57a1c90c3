//! A wall clock that a test can step, by the laboratory's fault-injection library, which is preloaded into the sender.

use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Size of the library's control block in bytes. Its first field is the offset of the wall clock in nanoseconds.
const CONTROL_BYTES: usize = 24;

/// The wall clock of one sender.
pub struct WallClock {
    library: PathBuf,
    control_path: PathBuf,
    control: File,
}

impl WallClock {
    /// Builds the library in a folder. The offset of the clock is 0 at first.
    pub fn build(folder: &Path) -> WallClock {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../lab/shim/faults.c");
        let library = folder.join("libfaults.so");
        let status = Command::new("cc")
            .args(["-shared", "-fPIC", "-o"])
            .arg(&library)
            .arg(source)
            .arg("-ldl")
            .status();
        assert!(status.unwrap().success(), "cc builds the library");
        let control_path = folder.join("control");
        let control = File::create(&control_path).unwrap();
        control.write_all_at(&[0; CONTROL_BYTES], 0).unwrap();
        WallClock {
            library,
            control_path,
            control,
        }
    }

    /// The environment variables that make a process use this clock.
    pub fn environment(&self) -> Vec<(&'static str, PathBuf)> {
        vec![
            ("LD_PRELOAD", self.library.clone()),
            ("MARTENLATCH_SHIM", self.control_path.clone()),
        ]
    }

    /// Sets the clock ahead of the system's time.
    pub fn set_forward(&self, by: Duration) {
        self.set_offset(by.as_nanos() as i64);
    }

    /// Sets the clock behind the system's time.
    pub fn set_back(&self, by: Duration) {
        self.set_offset(-(by.as_nanos() as i64));
    }

    fn set_offset(&self, offset: i64) {
        self.control.write_all_at(&offset.to_ne_bytes(), 0).unwrap();
    }
}
