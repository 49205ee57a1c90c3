//! Owns how a small file in the folder that lasts is replaced: whole, or not at all. It must never leave a half-written one
//! in place of a whole one, nor the room that a failed one took.

use std::path::Path;

/// Puts down bytes in a file's place.
///
/// # Errors
/// Where they cannot be written; what was there before stands.
pub fn replace(file: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let fresh = file.with_extension("new");
    std::fs::write(&fresh, bytes)
        .and_then(|()| std::fs::rename(&fresh, file))
        .inspect_err(|_| {
            let _ = std::fs::remove_file(&fresh);
        })
}
