//! The shared library that makes a sender's system calls fail, and its control block.

use std::ffi::OsString;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::error::LabError;

/// The source of the library, which is built when a soak starts.
const SOURCE: &str = include_str!("../../shim/faults.c");

/// How operations on a sender's folder fail. The numbers are those of the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskFault {
    /// Nothing fails.
    #[default]
    None = 0,
    /// Writes fail with ENOSPC.
    Full = 1,
    /// Creating, writing, truncating, syncing and renaming files fails with EIO.
    Broken = 2,
    /// Every second write stops halfway, and the next one fails with ENOSPC.
    StopsHalfway = 3,
    /// The write-ahead log cannot be opened for reading.
    Unreadable = 4,
}

/// The contents of a sender's control block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlState {
    /// The offset of the sender's wall clock, in nanoseconds.
    pub wall_offset_ns: i64,
    /// The seed of the library's random numbers.
    pub seed: u64,
    /// How many of ten thousand socket system calls fail.
    pub calls_failing_per_myriad: u32,
    /// How operations on the sender's folder fail.
    pub disk_fault: DiskFault,
}

impl ControlState {
    /// The bytes of the block, in the layout of the source.
    fn encode(&self) -> [u8; 24] {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.wall_offset_ns.to_ne_bytes());
        bytes[8..16].copy_from_slice(&self.seed.to_ne_bytes());
        bytes[16..20].copy_from_slice(&self.calls_failing_per_myriad.to_ne_bytes());
        bytes[20..].copy_from_slice(&(self.disk_fault as u32).to_ne_bytes());
        bytes
    }
}

/// Builds the library in a folder and returns its path.
///
/// # Errors
/// If the source cannot be written, or the compiler cannot be run or fails.
pub fn build(folder: &Path) -> Result<PathBuf, LabError> {
    let source = folder.join("faults.c");
    let library = folder.join("libfaults.so");
    std::fs::write(&source, SOURCE).map_err(LabError::file(&source))?;
    let output = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl")
        .output()
        .map_err(|error| LabError::BuildShim(error.to_string()))?;
    if !output.status.success() {
        let errors = String::from_utf8_lossy(&output.stderr);
        return Err(LabError::BuildShim(errors.trim().to_string()));
    }
    Ok(library)
}

/// The control block of one sender.
pub struct ControlBlock {
    file: File,
    path: PathBuf,
    state: ControlState,
}

impl ControlBlock {
    /// Creates a control block with which nothing fails.
    ///
    /// # Errors
    /// If its file cannot be written.
    pub fn create(folder: &Path, sender: usize, seed: u64) -> Result<ControlBlock, LabError> {
        let path = folder.join(format!("control-{sender}"));
        let file = File::create(&path).map_err(LabError::file(&path))?;
        let state = ControlState {
            seed,
            ..ControlState::default()
        };
        let mut control = ControlBlock { file, path, state };
        control.change(|_| {})?;
        Ok(control)
    }

    /// Changes the block, with immediate effect on a running process.
    ///
    /// # Errors
    /// If its file cannot be written.
    pub fn change(&mut self, change: impl FnOnce(&mut ControlState)) -> Result<(), LabError> {
        change(&mut self.state);
        self.file
            .write_all_at(&self.state.encode(), 0)
            .map_err(LabError::file(&self.path))
    }

    /// The environment variables of a process that is to use the block.
    pub fn environment(&self, library: &Path) -> Vec<(OsString, OsString)> {
        vec![
            ("LD_PRELOAD".into(), library.into()),
            ("MARTENLATCH_SHIM".into(), self.path.clone().into()),
        ]
    }
}
