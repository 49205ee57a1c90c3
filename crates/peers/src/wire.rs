//! The encoding of datagrams and pages on the network. Each is sent in a frame, which consists of:
//!
//! | bytes  | content                                                                                 |
//! |--------|-----------------------------------------------------------------------------------------|
//! | 1      | the version, [`VERSION`]                                                                |
//! | 1      | the kind: 1 for a [`Datagram`], 2 for a [`Page`]                                        |
//! | 2      | the length of the body, little endian                                                   |
//! | length | the body, encoded by postcard                                                           |
//! | 16     | HMAC-SHA-256 (RFC 2104) of the preceding bytes, keyed with the shared secret, truncated |
//!
//! The HMAC is verified before the body is decoded.

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::membership::{Datagram, MemberUpdate};
use crate::partner_knowledge::Digest;

/// The version of the encoding. Frames of other versions are rejected: there is no compatibility between versions.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram's frame, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a page's frame, in bytes.
pub const MAX_PAGE_BYTES: usize = 16 << 10;
/// Maximum number of digests in one page. With the longest names and the largest sketches they fit into
/// [`MAX_PAGE_BYTES`].
pub const MAX_DIGESTS_PER_PAGE: usize = 32;
/// Maximum number of members in one page.
pub const MAX_MEMBERS_PER_PAGE: usize = 128;
/// Size of version, kind and length, in bytes.
const HEADER_BYTES: usize = 4;
/// Size of the truncated HMAC, in bytes.
const TAG_BYTES: usize = 16;

/// Why a received frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FrameError {
    /// Bytes of the frame are missing. On a connection they may still arrive.
    #[error("the frame is incomplete")]
    Incomplete,
    /// The frame is longer than allowed, or a datagram has bytes after its frame.
    #[error("the frame is too long")]
    TooLong,
    /// The version is not [`VERSION`].
    #[error("the frame has an unsupported version")]
    UnsupportedVersion,
    /// The frame is of another kind than expected.
    #[error("the frame is of an unexpected kind")]
    UnexpectedKind,
    /// The HMAC does not match the shared secret.
    #[error("the frame is not authenticated with the shared secret")]
    NotAuthenticated,
    /// The HMAC matches, but the body cannot be decoded.
    #[error("the frame's body cannot be decoded")]
    Malformed,
}

/// A request, or a part of the response to it, on a connection. A response repeats the id of its request, so that it is
/// not mistaken for the response to another request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Page {
    /// Requests the digests of all partners that the receiver has observed.
    DigestsRequest {
        /// Identifies the request.
        request_id: u64,
        /// The name of the requesting member.
        requester: String,
    },
    /// A part of the response to [`Page::DigestsRequest`].
    Digests {
        /// The id of the request.
        request_id: u64,
        /// The index of this page, from 0.
        index: u32,
        /// At most [`MAX_DIGESTS_PER_PAGE`].
        digests: Vec<Digest>,
    },
    /// Ends a response.
    End {
        /// The id of the request.
        request_id: u64,
        /// Number of pages that came before this one.
        page_count: u32,
    },
    /// Requests the receiver's view of the membership, for an operator.
    MembersRequest {
        /// Identifies the request.
        request_id: u64,
    },
    /// A part of the response to [`Page::MembersRequest`]. The first page begins with the responding member itself.
    Members {
        /// The id of the request.
        request_id: u64,
        /// The index of this page, from 0.
        index: u32,
        /// At most [`MAX_MEMBERS_PER_PAGE`].
        members: Vec<MemberUpdate>,
    },
}

/// The secret that all members share, with which frames are authenticated.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// The kind of a frame's content. The discriminants are the values on the network.
#[derive(Clone, Copy)]
#[repr(u8)]
enum FrameKind {
    Datagram = 1,
    Page = 2,
}

impl Secret {
    /// Creates a secret from the bytes that all members share, which can have any length.
    pub fn new(bytes: &[u8]) -> Secret {
        Secret(Hmac::new_from_slice(bytes).expect("RFC 2104 accepts keys of any length"))
    }

    /// Encodes a datagram as an authenticated frame.
    pub fn seal_datagram(&self, datagram: &Datagram) -> Vec<u8> {
        self.seal(FrameKind::Datagram, datagram)
    }

    /// Verifies and decodes a received datagram.
    ///
    /// # Errors
    /// If the datagram is rejected.
    pub fn open_datagram(&self, bytes: &[u8]) -> Result<Datagram, FrameError> {
        let (datagram, frame_length) = self.open(FrameKind::Datagram, MAX_DATAGRAM_BYTES, bytes)?;
        if frame_length == bytes.len() {
            Ok(datagram)
        } else {
            Err(FrameError::TooLong)
        }
    }

    /// Encodes a page as an authenticated frame.
    pub fn seal_page(&self, page: &Page) -> Vec<u8> {
        self.seal(FrameKind::Page, page)
    }

    /// Verifies and decodes the page at the start of the bytes that were received on a connection. Returns the page and
    /// the length of its frame.
    ///
    /// # Errors
    /// [`FrameError::Incomplete`] if more bytes are needed, and another error if the page is rejected.
    pub fn open_page(&self, bytes: &[u8]) -> Result<(Page, usize), FrameError> {
        self.open(FrameKind::Page, MAX_PAGE_BYTES, bytes)
    }

    fn seal(&self, kind: FrameKind, value: &impl Serialize) -> Vec<u8> {
        let header = vec![VERSION, kind as u8, 0, 0];
        let mut bytes = postcard::to_extend(value, header)
            .expect("postcard can encode all types in datagrams and pages");
        let length = u16::try_from(bytes.len() - HEADER_BYTES)
            .expect("the limits on names and lists keep a body under 64 KiB");
        bytes[2..HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
        let tag = self.0.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG_BYTES]);
        bytes
    }

    /// Verifies and decodes the frame at the start of `bytes`. Returns the value and the length of the frame.
    fn open<T: DeserializeOwned>(
        &self,
        kind: FrameKind,
        max_bytes: usize,
        bytes: &[u8],
    ) -> Result<(T, usize), FrameError> {
        let header = bytes.get(..HEADER_BYTES).ok_or(FrameError::Incomplete)?;
        if header[0] != VERSION {
            return Err(FrameError::UnsupportedVersion);
        }
        if header[1] != kind as u8 {
            return Err(FrameError::UnexpectedKind);
        }
        let body_end = HEADER_BYTES + usize::from(u16::from_le_bytes([header[2], header[3]]));
        let frame_end = body_end + TAG_BYTES;
        if frame_end > max_bytes {
            return Err(FrameError::TooLong);
        }
        let frame = bytes.get(..frame_end).ok_or(FrameError::Incomplete)?;
        let (authenticated, tag) = frame.split_at(body_end);
        self.0
            .clone()
            .chain_update(authenticated)
            .verify_truncated_left(tag)
            .map_err(|_| FrameError::NotAuthenticated)?;
        let body = &authenticated[HEADER_BYTES..];
        let (value, rest) = postcard::take_from_bytes(body).map_err(|_| FrameError::Malformed)?;
        if !rest.is_empty() {
            return Err(FrameError::Malformed);
        }
        Ok((value, frame_end))
    }
}

/// Checks that the pages of a response arrive completely and in order.
#[derive(Debug)]
pub struct PageAssembler {
    request_id: u64,
    next_index: u32,
    complete: bool,
}

impl PageAssembler {
    /// Expects the pages of the response to the request with this id.
    pub fn new(request_id: u64) -> PageAssembler {
        PageAssembler {
            request_id,
            next_index: 0,
            complete: false,
        }
    }

    /// Whether the whole response was received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Accepts the next page of this response and returns its digests, of which [`Page::End`] has none. Returns `None`
    /// if `page` is not the next one.
    pub fn accept(&mut self, page: Page) -> Option<Vec<Digest>> {
        match page {
            Page::Digests {
                request_id,
                index,
                digests,
            } if self.expects(request_id, index) && !self.complete => {
                self.next_index += 1;
                Some(digests)
            }
            Page::End {
                request_id,
                page_count,
            } if self.expects(request_id, page_count) => {
                self.complete = true;
                Some(Vec::new())
            }
            _ => None,
        }
    }

    fn expects(&self, request_id: u64, index: u32) -> bool {
        request_id == self.request_id && index == self.next_index
    }
}
