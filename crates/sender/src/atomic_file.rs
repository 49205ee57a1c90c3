//! Atomic replacement of small files in the state folder.
//!
//! A reader finds either the complete old content or the complete new content. Nothing is synced to disk, so this is
//! guaranteed if the process ends at any time, but not in a power failure.

use std::path::Path;

/// Replaces the content of a file by writing a temporary file next to it, with the extension `new`, and renaming that.
///
/// # Errors
/// The system's error if the new content cannot be written. The old content then stays, and the temporary file is
/// removed to free its space.
pub fn replace(file: &Path, content: &[u8]) -> std::io::Result<()> {
    let temporary = file.with_extension("new");
    let replaced =
        std::fs::write(&temporary, content).and_then(|()| std::fs::rename(&temporary, file));
    if replaced.is_err() {
        let _ = std::fs::remove_file(&temporary);
    }
    replaced
}
