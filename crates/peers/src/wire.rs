//! Owns the form of datagrams and of told knowledge on the network: a version, a length, a body encoded by postcard,
//! and a keyed hash over all of it (HMAC-SHA-256, RFC 2104, cut to 16 bytes). What does not hold together is turned
//! away with its reason before any of it is believed. It must never open a socket.

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::membership::{Datagram, MemberUpdate};
use crate::partner_knowledge::Digest;

/// The version of the form. Others are turned away: an older sender and a newer one share nothing.
pub const VERSION: u8 = 1;
/// Largest datagram, in bytes.
pub const DATAGRAM: usize = 1_400;
/// Largest page of told knowledge, and most tellings in one.
pub const PAGE: usize = 16 << 10;
/// Most tellings in one page: with the longest names and sketches they fit.
pub const MAX_DIGESTS: usize = 32;
/// Most members in one page.
pub const MEMBERS: usize = 128;
/// Version, kind, length; and the hash at the end.
const HEAD: usize = 4;
const TAG: usize = 16;

/// Why bytes were turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// More is needed.
    Short,
    /// Longer than any may be, or than it says.
    Long,
    /// Of a version that is not spoken here.
    Version,
    /// Of another kind than is wanted here.
    Kind,
    /// Not keyed by the shared secret.
    Key,
    /// Keyed, and not what its kind should be.
    Form,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::Short => "cut short",
            Fault::Long => "too long",
            Fault::Version => "unknown version",
            Fault::Kind => "unknown kind",
            Fault::Key => "not keyed by our secret",
            Fault::Form => "malformed",
        })
    }
}

impl std::error::Error for Fault {}

/// What is said over a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Page {
    /// Tell me what you have seen. The number is the asker's, and in every answer: pages of another asking are not
    /// taken for this one's.
    Ask { no: u64, name: String },
    /// The next page, and which it is from 0.
    Digests {
        no: u64,
        page: u32,
        digests: Vec<Digest>,
    },
    /// That was all: so many pages.
    End { no: u64, pages: u32 },
    /// Tell me whom you hold for members: an operator's question.
    Who { no: u64 },
    /// The answer, the asked one first; the next page, and which it is from 0.
    Membership {
        no: u64,
        page: u32,
        rumours: Vec<MemberUpdate>,
    },
}

/// The shared secret.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

#[derive(Clone, Copy)]
#[repr(u8)]
enum Kind {
    Datagram = 1,
    Page = 2,
}

impl Secret {
    /// From the bytes that all members share; RFC 2104 takes any length.
    pub fn new(bytes: &[u8]) -> Secret {
        Secret(Hmac::new_from_slice(bytes).expect("a key of any length"))
    }

    fn seal(&self, kind: Kind, value: &impl Serialize) -> Vec<u8> {
        let mut bytes = vec![VERSION, kind as u8, 0, 0];
        bytes = postcard::to_extend(value, bytes).expect("no value of ours that cannot be encoded");
        let length = u16::try_from(bytes.len() - HEAD).expect("no value of ours that is so long");
        bytes[2..HEAD].copy_from_slice(&length.to_le_bytes());
        let tag = self.0.clone().chain_update(&bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG]);
        bytes
    }

    /// Opens the frame at the start of `bytes`: the value and how many bytes it took.
    fn open<T: DeserializeOwned>(
        &self,
        kind: Kind,
        most: usize,
        bytes: &[u8],
    ) -> Result<(T, usize), Fault> {
        let head = bytes.get(..HEAD).ok_or(Fault::Short)?;
        if head[0] != VERSION {
            return Err(Fault::Version);
        }
        if head[1] != kind as u8 {
            return Err(Fault::Kind);
        }
        let length = usize::from(u16::from_le_bytes([head[2], head[3]]));
        if HEAD + length + TAG > most {
            return Err(Fault::Long);
        }
        let body = bytes.get(..HEAD + length).ok_or(Fault::Short)?;
        let tag = bytes
            .get(HEAD + length..HEAD + length + TAG)
            .ok_or(Fault::Short)?;
        self.0
            .clone()
            .chain_update(body)
            .verify_truncated_left(tag)
            .map_err(|_| Fault::Key)?;
        let (value, rest) = postcard::take_from_bytes(&body[HEAD..]).map_err(|_| Fault::Form)?;
        if !rest.is_empty() {
            return Err(Fault::Form);
        }
        Ok((value, HEAD + length + TAG))
    }

    /// A datagram's bytes.
    pub fn seal_datagram(&self, datagram: &Datagram) -> Vec<u8> {
        self.seal(Kind::Datagram, datagram)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn open_datagram(&self, bytes: &[u8]) -> Result<Datagram, Fault> {
        let (datagram, used) = self.open(Kind::Datagram, DATAGRAM, bytes)?;
        if used == bytes.len() {
            Ok(datagram)
        } else {
            Err(Fault::Long)
        }
    }

    /// A page's bytes.
    pub fn seal_page(&self, page: &Page) -> Vec<u8> {
        self.seal(Kind::Page, page)
    }

    /// Reads the page at the start of what a connection has brought, and how many bytes it took.
    ///
    /// # Errors
    /// [`Fault::Short`] where more is to come; what is wrong otherwise.
    pub fn open_page(&self, bytes: &[u8]) -> Result<(Page, usize), Fault> {
        self.open(Kind::Page, PAGE, bytes)
    }
}

/// Gathers the pages of one asking in their order.
#[derive(Debug)]
pub struct PageAssembler {
    no: u64,
    next: u32,
    /// All has come.
    pub whole: bool,
}

impl PageAssembler {
    /// Of this number.
    pub fn new(no: u64) -> PageAssembler {
        PageAssembler {
            no,
            next: 0,
            whole: false,
        }
    }

    /// Takes a page: its tellings, or nothing where it is not the next of this asking.
    pub fn take(&mut self, page: Page) -> Option<Vec<Digest>> {
        match page {
            Page::Digests { no, page, digests }
                if (no, page) == (self.no, self.next) && !self.whole =>
            {
                self.next += 1;
                Some(digests)
            }
            Page::End { no, pages } if (no, pages) == (self.no, self.next) => {
                self.whole = true;
                Some(Vec::new())
            }
            _ => None,
        }
    }
}
