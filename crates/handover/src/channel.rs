//! A stream that transfers lines, bytes and descriptors within a time limit.

use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

use crate::error::HandoverError;
use crate::protocol::{Answer, COMMIT, MAX_DESCRIPTORS, MAX_LINE_BYTES, MAX_STATE_BYTES};

/// Returns the number of milliseconds that are left for a transfer.
pub type TimeLeft<'a> = dyn Fn() -> f64 + 'a;

/// Maximum duration of a single read or write, after which the remaining time is checked again.
const IO_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of descriptors in one message; the kernel accepts at most 253.
const BATCH_SIZE: usize = 64;
/// The byte that accompanies a batch of descriptors, since a message cannot be empty.
const BATCH_MARKER: &[u8] = b"+";
/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 64 << 10;

/// A stream, and the bytes and descriptors that were received on it and have not been consumed yet.
pub(crate) struct Channel {
    stream: UnixStream,
    received_bytes: Vec<u8>,
    received_descriptors: Vec<OwnedFd>,
}

/// The result of receiving one message.
struct ReceivedMessage {
    bytes: usize,
    /// The kernel has dropped some descriptors of the message.
    descriptors_lost: bool,
}

impl Channel {
    /// Creates a channel over this stream, and limits the duration of single reads and writes.
    pub(crate) fn new(stream: UnixStream) -> Result<Channel, HandoverError> {
        limit_io_time(&stream).map_err(HandoverError::Stream)?;
        Ok(Channel {
            stream,
            received_bytes: Vec::new(),
            received_descriptors: Vec::new(),
        })
    }

    /// Sends a state: the answer line that announces it, its descriptors in batches, and its bytes.
    pub(crate) fn send_state(
        &mut self,
        bytes: &[u8],
        descriptors: &[BorrowedFd<'_>],
        time_left: &TimeLeft<'_>,
    ) -> Result<(), HandoverError> {
        if descriptors.len() > MAX_DESCRIPTORS || bytes.len() > MAX_STATE_BYTES {
            return Err(HandoverError::TooLarge {
                bytes: bytes.len(),
                descriptors: descriptors.len(),
            });
        }
        let answer = Answer::Accepted {
            bytes: bytes.len(),
            descriptors: descriptors.len(),
        };
        self.send(answer.encode().as_bytes(), time_left)?;
        for batch in descriptors.chunks(BATCH_SIZE) {
            self.send_batch(batch, time_left)?;
        }
        self.send(bytes, time_left)
    }

    /// Receives a state and its descriptors, unless the answer is a refusal.
    pub(crate) fn receive_state(
        &mut self,
        time_left: &TimeLeft<'_>,
    ) -> Result<(Vec<u8>, Vec<OwnedFd>), HandoverError> {
        let line = self.receive_line(time_left)?;
        let (bytes, descriptors) = match Answer::decode(&line) {
            Some(Answer::Accepted { bytes, descriptors }) => (bytes, descriptors),
            Some(Answer::Refused(reason)) => return Err(HandoverError::Refused(reason)),
            None => return Err(HandoverError::MalformedAnswer),
        };
        let markers = descriptors.div_ceil(BATCH_SIZE) * BATCH_MARKER.len();
        while self.received_bytes.len() < markers + bytes {
            self.receive_some(time_left).map_err(interrupted)?;
        }
        if self.received_descriptors.len() != descriptors
            || self.received_bytes.len() != markers + bytes
        {
            return Err(HandoverError::SizeMismatch);
        }
        let state = self.received_bytes.split_off(markers);
        Ok((state, std::mem::take(&mut self.received_descriptors)))
    }

    /// Sends the commit in a single write.
    pub(crate) fn send_commit(&mut self) -> io::Result<()> {
        self.stream.write_all(COMMIT)
    }

    /// Receives the commit.
    pub(crate) fn receive_commit(&mut self, time_left: &TimeLeft<'_>) -> Result<(), HandoverError> {
        while self.received_bytes.len() < COMMIT.len() {
            self.receive_some(time_left)?;
        }
        if self.received_bytes == COMMIT {
            Ok(())
        } else {
            Err(HandoverError::InvalidCommit)
        }
    }

    /// Shuts down the stream in both directions. Data that has already arrived can still be received.
    pub(crate) fn shut_down(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn send(&mut self, mut bytes: &[u8], time_left: &TimeLeft<'_>) -> Result<(), HandoverError> {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) => check_retry(error.kind(), time_left)?,
            }
        }
        Ok(())
    }

    fn send_batch(
        &self,
        batch: &[BorrowedFd<'_>],
        time_left: &TimeLeft<'_>,
    ) -> Result<(), HandoverError> {
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH_SIZE))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(batch));
            let marker = [IoSlice::new(BATCH_MARKER)];
            match rustix::net::sendmsg(&self.stream, &marker, &mut control, SendFlags::NOSIGNAL) {
                Ok(_) => return Ok(()),
                Err(error) => check_retry(error.kind(), time_left)?,
            }
        }
    }

    /// Receives the first line, and returns it without its newline.
    fn receive_line(&mut self, time_left: &TimeLeft<'_>) -> Result<Vec<u8>, HandoverError> {
        loop {
            let mut line_bytes = self.received_bytes.iter().take(MAX_LINE_BYTES);
            if let Some(end) = line_bytes.position(|byte| *byte == b'\n') {
                let mut line: Vec<u8> = self.received_bytes.drain(..=end).collect();
                line.pop();
                return Ok(line);
            }
            if self.received_bytes.len() >= MAX_LINE_BYTES {
                return Err(HandoverError::MalformedAnswer);
            }
            self.receive_some(time_left).map_err(interrupted)?;
        }
    }

    /// Receives at least one byte, and the descriptors that come with it.
    fn receive_some(&mut self, time_left: &TimeLeft<'_>) -> Result<(), HandoverError> {
        let mut buffer = [0; READ_BUFFER_SIZE];
        loop {
            match self.receive_message(&mut buffer) {
                Ok(message) if message.descriptors_lost => {
                    return Err(HandoverError::DescriptorsLost);
                }
                Ok(message) if message.bytes == 0 => {
                    return Err(HandoverError::Connection(ErrorKind::UnexpectedEof));
                }
                Ok(message) => {
                    self.received_bytes.extend(&buffer[..message.bytes]);
                    return Ok(());
                }
                Err(error) => check_retry(error.kind(), time_left)?,
            }
        }
    }

    /// Reads once. Stores the received descriptors in the channel, and the bytes in `buffer`.
    fn receive_message(&mut self, buffer: &mut [u8]) -> rustix::io::Result<ReceivedMessage> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH_SIZE))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let received = rustix::net::recvmsg(
            &self.stream,
            &mut [IoSliceMut::new(buffer)],
            &mut control,
            RecvFlags::CMSG_CLOEXEC,
        )?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.received_descriptors.extend(descriptors);
            }
        }
        Ok(ReceivedMessage {
            bytes: received.bytes,
            descriptors_lost: received.flags.contains(ReturnFlags::CTRUNC),
        })
    }
}

fn limit_io_time(stream: &UnixStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))
}

fn interrupted(cause: HandoverError) -> HandoverError {
    HandoverError::Interrupted(Box::new(cause))
}

/// Checks whether a failed read or write may be repeated: only that call timed out or was interrupted, and the transfer
/// has time left.
fn check_retry(failure: ErrorKind, time_left: &TimeLeft<'_>) -> Result<(), HandoverError> {
    match failure {
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {
            if time_left() > 0.0 {
                Ok(())
            } else {
                Err(HandoverError::TimedOut)
            }
        }
        failure => Err(HandoverError::Connection(failure)),
    }
}
