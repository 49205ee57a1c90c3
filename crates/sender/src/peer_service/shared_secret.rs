//! Reads the secret that all members of the group share.

use std::path::Path;

use martenlatch_peers::wire::Secret;

use super::PeerServiceError;

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Reads the secret that all members share. White space at its ends, such as a line break, is ignored.
///
/// # Errors
/// If the file cannot be read, or the secret is too short.
pub fn read_shared_secret(file: &Path) -> Result<Secret, PeerServiceError> {
    let bytes = std::fs::read(file).map_err(|source| PeerServiceError::ReadSecret {
        file: file.into(),
        source,
    })?;
    let bytes = bytes.trim_ascii();
    if bytes.len() < MIN_SECRET_BYTES {
        return Err(PeerServiceError::ShortSecret {
            file: file.into(),
            min_bytes: MIN_SECRET_BYTES,
        });
    }
    Ok(Secret::new(bytes))
}
