//! The process at the other end of a connection.

use std::os::unix::net::UnixStream;

use rustix::io::Errno;
use rustix::process::Pid;

/// The process at the other end of a connection, which may have ended.
#[derive(Clone, Copy, Debug)]
pub struct PeerProcess(Pid);

impl PeerProcess {
    /// The process with an id. `None` if the id cannot belong to one.
    pub fn from_id(id: u32) -> Option<PeerProcess> {
        let id = i32::try_from(id).ok()?;
        Pid::from_raw(id).map(PeerProcess)
    }

    /// The process that has created the connection's other end.
    pub(crate) fn of(stream: &UnixStream) -> Option<PeerProcess> {
        let peer = rustix::net::sockopt::socket_peercred(stream).ok()?;
        Some(PeerProcess(peer.pid))
    }

    /// Whether signals can be sent to it. They can for a while after its end, until its parent has waited for it.
    pub fn exists(&self) -> bool {
        rustix::process::test_kill_process(self.0) != Err(Errno::SRCH)
    }
}
