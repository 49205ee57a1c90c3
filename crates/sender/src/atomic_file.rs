//! Atomic replacement of small files in the state directory.
//!
//! A reader finds either the old content or the new one, never a part of it. Nothing is synced to disk, so this holds
//! when the process ends, but not for a power failure.

use std::path::Path;

/// Replaces the content of a file, by way of a temporary file next to it with the extension `new`.
///
/// # Errors
/// The system's error if the new content cannot be written. The old content stays then, and the temporary file is
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
