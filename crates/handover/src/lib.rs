//! Replacement of a serving process by its successor, over a Unix socket and without interrupting service.
//!
//! Locks in the state folder determine which process serves and which one waits to succeed it. The successor sends a
//! [`TakeoverRequest`] to the socket of the serving process. That process refuses with a reason, or transfers its
//! state: bytes that are opaque to this crate, and open descriptors, including the lock. The successor then commits
//! with [`ReceivedState::commit`].
//!
//! The commit is a single write. Either it arrives, or the serving process has already shut down the socket, and the
//! write fails. Both processes therefore always agree on which of them serves.

mod channel;
mod error;
mod lock;
mod peer_process;
mod protocol;
mod serving;
mod socket;
mod successor;

pub use channel::TimeLeft;
pub use error::HandoverError;
pub use lock::Lock;
pub use peer_process::PeerProcess;
pub use protocol::{TakeoverRequest, VERSION};
pub use serving::{RequestProgress, SuccessorConnection, TakeoverListener, TransferOutcome};
pub use successor::{PendingTakeover, ReceivedState, request_takeover};
