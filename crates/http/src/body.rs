//! Decodes response bodies incrementally, as their bytes arrive.
//!
//! Bodies, like heads, come from untrusted peers: nothing here panics on them.

use crate::buffer_pool::MAX_HEAD_BYTES;
use crate::error::MalformedResponse;

/// The length of the line end (`\r\n`) that follows the data of a chunk.
const CHUNK_LINE_END_BYTES: usize = 2;

/// How the end of a response body is found, and how much of the body has not been decoded yet.
///
/// This type is part of the state that is passed to a successor process: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// A body of known length, of which this many bytes have not been decoded yet.
    ContentLength(usize),
    /// Chunked transfer coding.
    Chunked {
        /// Bytes of the current chunk, with its line end, that have not been decoded yet. 0 if a size line comes next.
        remaining: usize,
        /// Whether the last chunk (of size 0) has begun, so that only the trailer is left.
        last: bool,
    },
    /// The body ends when the connection is closed.
    UntilClose,
}

/// The result of one call of [`Body::decode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyProgress {
    /// Number of input bytes that were decoded.
    pub consumed: usize,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Body {
    /// Decodes the body bytes in `input` and passes their content to `output`.
    ///
    /// # Errors
    /// [`MalformedResponse`] if a chunk size cannot be read or its line is longer than a head may be.
    pub fn decode(
        &mut self,
        input: &[u8],
        mut output: impl FnMut(&[u8]),
    ) -> Result<BodyProgress, MalformedResponse> {
        match self {
            Body::ContentLength(remaining) => {
                let consumed = (*remaining).min(input.len());
                output(&input[..consumed]);
                *remaining -= consumed;
                Ok(BodyProgress {
                    consumed,
                    complete: *remaining == 0,
                })
            }
            Body::UntilClose => {
                output(input);
                Ok(BodyProgress {
                    consumed: input.len(),
                    complete: false,
                })
            }
            Body::Chunked { remaining, last } => decode_chunks(remaining, last, input, output),
        }
    }

    /// Like [`Body::decode`], with a simpler result: the number of bytes consumed and whether the body is complete, or
    /// `None` if the body is malformed.
    pub fn try_decode(&mut self, input: &[u8], output: impl FnMut(&[u8])) -> Option<(usize, bool)> {
        let progress = self.decode(input, output).ok()?;
        Some((progress.consumed, progress.complete))
    }
}

fn decode_chunks(
    remaining: &mut usize,
    last: &mut bool,
    input: &[u8],
    mut output: impl FnMut(&[u8]),
) -> Result<BodyProgress, MalformedResponse> {
    let mut consumed = 0;
    let mut complete = false;
    while consumed < input.len() && !complete {
        let rest = &input[consumed..];
        if *remaining > 0 {
            let count = (*remaining).min(rest.len());
            let data = count.min(remaining.saturating_sub(CHUNK_LINE_END_BYTES));
            output(&rest[..data]);
            *remaining -= count;
            consumed += count;
        } else if *last {
            // The trailer: header lines up to an empty one.
            let Some(line_end) = rest.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            complete = rest[..line_end].iter().all(|byte| *byte == b'\r');
            consumed += line_end + 1;
        } else {
            let Some(size_line) = parse_chunk_size(rest)? else {
                break;
            };
            consumed += size_line.length;
            *last = size_line.chunk_size == 0;
            *remaining = size_line.bytes_to_read()?;
        }
    }
    Ok(BodyProgress { consumed, complete })
}

/// The line before a chunk's data.
struct ChunkSizeLine {
    /// Length of the line including its line end, in bytes.
    length: usize,
    /// Size of the chunk's data, in bytes.
    chunk_size: u64,
}

impl ChunkSizeLine {
    /// Bytes of the chunk's data and its line end; the last chunk has neither.
    fn bytes_to_read(&self) -> Result<usize, MalformedResponse> {
        if self.chunk_size == 0 {
            return Ok(0);
        }
        let size = usize::try_from(self.chunk_size).map_err(|_| MalformedResponse)?;
        size.checked_add(CHUNK_LINE_END_BYTES)
            .ok_or(MalformedResponse)
    }
}

/// Parses the size line at the front of `input`; `None` while the line is incomplete.
fn parse_chunk_size(input: &[u8]) -> Result<Option<ChunkSizeLine>, MalformedResponse> {
    match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete((length, chunk_size))) => {
            Ok(Some(ChunkSizeLine { length, chunk_size }))
        }
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => Ok(None),
        _ => Err(MalformedResponse),
    }
}
