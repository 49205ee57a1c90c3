//! Owns how one process of the sender gives way to the next: the locks that say who serves and who is next, the socket
//! they meet on, and the framing of what passes, descriptors too. It must never decide whether to give way, know what
//! the bytes mean, or leave a moment in which two processes hold that they serve.
//!
//! The new process asks with a line; the old one answers `no REASON`, or `yes BYTES DESCRIPTORS` and these. The new one's
//! `taken` is the commit. It is one write: either it arrives, or the old process has shut the socket before and the write
//! fails, so that both always agree on who serves.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

/// The version of what passes, the shape of the bytes included. Another one is not spoken.
pub const VERSION: u32 = 1;
/// Descriptors in one message, and in all; the kernel takes 253 at a time.
const BATCH: usize = 64;
const DESCRIPTORS: usize = 4_096;
/// Most bytes that pass, and longest line.
const BYTES: usize = 256 << 20;
const LINE: usize = 256;
/// A single read or write may take so long before the time that is left is looked at again.
const STEP: Duration = Duration::from_millis(20);
const TAKEN: &[u8] = b"taken\n";

/// Who serves from a folder, or who is next: held by one process at a time, and gone with it.
#[derive(Debug)]
pub struct Lock(File);

impl Lock {
    /// Takes the lock of that name, or none while another process holds it.
    ///
    /// # Errors
    /// Where the file cannot be made.
    pub fn take(folder: &Path, name: &str) -> io::Result<Option<Lock>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(name))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Lock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// One that was passed: it has been held all the while.
    pub fn passed(fd: OwnedFd) -> Lock {
        Lock(File::from(fd))
    }
}

impl AsFd for Lock {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// What a new process asks with.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// What it speaks.
    pub version: u32,
    /// Where its clients connect.
    pub listen: SocketAddr,
}

impl Ask {
    fn line(&self) -> String {
        format!("martenlatch {} {}\n", self.version, self.listen)
    }

    fn read(line: &[u8]) -> Option<Ask> {
        let mut words = std::str::from_utf8(line)
            .ok()?
            .strip_suffix('\n')?
            .split(' ');
        let ours = words.next() == Some("martenlatch");
        let (version, listen) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
        (ours && words.next().is_none()).then_some(Ask { version, listen })
    }
}

/// A path that a socket's name can hold, however deep its folder lies.
fn short(path: &Path) -> io::Result<(PathBuf, Option<File>)> {
    if path.as_os_str().len() < 100 {
        return Ok((path.to_path_buf(), None));
    }
    let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(ErrorKind::InvalidInput.into());
    };
    let folder = File::open(folder)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&folder);
    Ok((
        Path::new("/proc/self/fd")
            .join(number.to_string())
            .join(name),
        Some(folder),
    ))
}

/// Whether the other end is a process of the same user.
fn ours(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Where a serving process waits for its successor.
pub struct Offer {
    listener: UnixListener,
    path: PathBuf,
}

impl Offer {
    /// Takes the place of whatever stands there: only who holds the lock may call this.
    ///
    /// # Errors
    /// Where no socket can be made there; the process can then not be replaced while it serves.
    pub fn open(path: &Path) -> io::Result<Offer> {
        let _ = std::fs::remove_file(path);
        let (name, _folder) = short(path)?;
        let listener = UnixListener::bind(name)?;
        listener.set_nonblocking(true)?;
        Ok(Offer {
            listener,
            path: path.to_path_buf(),
        })
    }

    /// Who has come, if anybody. One of another user is turned away unheard.
    pub fn accept(&self) -> Option<Asker> {
        let (stream, _) = self.listener.accept().ok()?;
        (ours(&stream) && stream.set_nonblocking(true).is_ok()).then_some(Asker {
            stream,
            line: Vec::new(),
        })
    }

    /// Takes the path away, as nobody will wait there. Who has given way must not call this.
    pub fn close(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl AsFd for Offer {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

/// A process that has come to take over.
pub struct Asker {
    stream: UnixStream,
    line: Vec<u8>,
}

/// What an asker has said so far.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// Not all of it yet.
    Part,
    /// What it asks.
    Whole(Ask),
    /// Nothing that can be answered, or it has gone.
    Nonsense,
}

/// How a hand-over ended for the old process.
#[derive(Debug, PartialEq)]
pub enum Given {
    /// The new process serves; this one must not any more.
    Taken,
    /// This process serves on, as if nothing had been asked; why.
    Kept(String),
}

impl Asker {
    /// A stream of its own for the loop to watch.
    ///
    /// # Errors
    /// Where there is no descriptor for it.
    pub fn watched(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    /// Reads what has come, without waiting.
    pub fn hear(&mut self) -> Heard {
        let mut bytes = [0; LINE];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Heard::Nonsense,
                Ok(count) => self.line.extend(&bytes[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Heard::Part,
                Err(_) => return Heard::Nonsense,
            }
            if self.line.ends_with(b"\n") {
                return Ask::read(&self.line).map_or(Heard::Nonsense, Heard::Whole);
            }
            if self.line.len() > LINE {
                return Heard::Nonsense;
            }
        }
    }

    /// Turns it down.
    pub fn refuse(mut self, reason: &str) {
        let _ = self.stream.write_all(format!("no {reason}\n").as_bytes());
    }

    /// Gives all of it away, and waits for the word that it was taken for as long as `left` says (milliseconds).
    pub fn give(self, bytes: &[u8], fds: &[BorrowedFd<'_>], left: &dyn Fn() -> f64) -> Given {
        let mut pipe = match Pipe::new(self.stream) {
            Ok(pipe) => pipe,
            Err(e) => return Given::Kept(e.to_string()),
        };
        let word = pipe.give(bytes, fds, left).and_then(|()| pipe.word(left));
        // From here on the word can no longer be written. Whether it was before shows in what has arrived.
        let _ = pipe.stream.shutdown(Shutdown::Both);
        match word {
            Ok(()) => Given::Taken,
            Err(_) if pipe.word(&|| 0.0).is_ok() => Given::Taken,
            Err(e) => Given::Kept(e.to_string()),
        }
    }
}

/// What has been passed, before it is taken.
pub struct Passed {
    /// What the old process is.
    pub bytes: Vec<u8>,
    /// Its descriptors, in the order in which they were given.
    pub fds: Vec<OwnedFd>,
    pipe: Pipe,
}

impl Passed {
    /// Says that all of it is here. From the moment this returns well, the old process does not serve any more.
    ///
    /// # Errors
    /// The old process has gone, or goes on: nothing of what was passed may be used.
    pub fn taken(mut self) -> io::Result<()> {
        self.pipe.stream.write_all(TAKEN)
    }
}

/// Asks the process that waits at a path; what it passes is read by [`Asking::receive`] once there is something.
///
/// # Errors
/// Where nobody waits there.
pub fn ask(path: &Path, ask: &Ask) -> io::Result<Asking> {
    let (name, _folder) = short(path)?;
    let mut stream = UnixStream::connect(name)?;
    if !ours(&stream) {
        return Err(ErrorKind::PermissionDenied.into());
    }
    stream.write_all(ask.line().as_bytes())?;
    Ok(Asking { stream })
}

/// A process that has asked, and waits.
pub struct Asking {
    stream: UnixStream,
}

impl Asking {
    /// A stream of its own for the loop to watch.
    ///
    /// # Errors
    /// Where there is no descriptor for it.
    pub fn watched(&self) -> io::Result<UnixStream> {
        self.stream.try_clone()
    }

    /// Receives all that the old process gives, for as long as `left` says (milliseconds).
    ///
    /// # Errors
    /// Why it gives nothing, or what broke off; what had come is dropped.
    pub fn receive(self, left: &dyn Fn() -> f64) -> Result<Passed, String> {
        let mut pipe = Pipe::new(self.stream).map_err(|e| e.to_string())?;
        let (bytes, fds) = pipe.receive(left)?;
        Ok(Passed { bytes, fds, pipe })
    }
}

/// One stream with what has been read from it.
struct Pipe {
    stream: UnixStream,
    bytes: Vec<u8>,
    fds: Vec<OwnedFd>,
}

fn late() -> io::Error {
    io::Error::new(ErrorKind::TimedOut, "the other process was silent")
}

impl Pipe {
    fn new(stream: UnixStream) -> io::Result<Pipe> {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(STEP))?;
        stream.set_write_timeout(Some(STEP))?;
        Ok(Pipe {
            stream,
            bytes: Vec::new(),
            fds: Vec::new(),
        })
    }

    /// Whether an error only means that a step's time is over; an end of the time that is left is one of its own.
    fn goes_on(e: &io::Error, left: &dyn Fn() -> f64) -> io::Result<()> {
        match e.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                if left() > 0.0 =>
            {
                Ok(())
            }
            ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => Err(late()),
            kind => Err(kind.into()),
        }
    }

    fn write(&mut self, mut bytes: &[u8], left: &dyn Fn() -> f64) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(e) => Pipe::goes_on(&e, left)?,
            }
        }
        Ok(())
    }

    fn give(
        &mut self,
        bytes: &[u8],
        fds: &[BorrowedFd<'_>],
        left: &dyn Fn() -> f64,
    ) -> io::Result<()> {
        if fds.len() > DESCRIPTORS || bytes.len() > BYTES {
            return Err(io::Error::new(ErrorKind::InvalidInput, "too much to pass"));
        }
        self.write(
            format!("yes {} {}\n", bytes.len(), fds.len()).as_bytes(),
            left,
        )?;
        for batch in fds.chunks(BATCH) {
            loop {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                control.push(SendAncillaryMessage::ScmRights(batch));
                let sent = rustix::net::sendmsg(
                    &self.stream,
                    &[IoSlice::new(b"+")],
                    &mut control,
                    SendFlags::NOSIGNAL,
                );
                match sent {
                    Ok(_) => break,
                    Err(e) => Pipe::goes_on(&e.into(), left)?,
                }
            }
        }
        self.write(bytes, left)
    }

    /// Reads some more, descriptors too.
    fn fill(&mut self, left: &dyn Fn() -> f64) -> io::Result<()> {
        let mut some = [0; 64 << 10];
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let read = rustix::net::recvmsg(
                &self.stream,
                &mut [IoSliceMut::new(&mut some)],
                &mut control,
                RecvFlags::CMSG_CLOEXEC,
            );
            match read {
                Ok(got) => {
                    for message in control.drain() {
                        if let RecvAncillaryMessage::ScmRights(fds) = message {
                            self.fds.extend(fds);
                        }
                    }
                    // Out of descriptors here: the kernel has dropped some of them.
                    if got.flags.contains(rustix::net::ReturnFlags::CTRUNC) {
                        return Err(io::Error::other("descriptors were lost on the way"));
                    }
                    if got.bytes == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                    self.bytes.extend(&some[..got.bytes]);
                    return Ok(());
                }
                Err(e) => Pipe::goes_on(&e.into(), left)?,
            }
        }
    }

    fn receive(&mut self, left: &dyn Fn() -> f64) -> Result<(Vec<u8>, Vec<OwnedFd>), String> {
        let broken = |e: io::Error| format!("the hand-over broke off: {e}");
        let end = loop {
            if let Some(end) = self.bytes.iter().take(LINE).position(|b| *b == b'\n') {
                break end;
            }
            if self.bytes.len() >= LINE {
                return Err("the answer cannot be read".into());
            }
            self.fill(left).map_err(broken)?;
        };
        let line: Vec<u8> = self.bytes.drain(..=end).collect();
        let line = String::from_utf8_lossy(&line[..end]).into_owned();
        if let Some(reason) = line.strip_prefix("no ") {
            return Err(reason.to_string());
        }
        let sizes = line
            .strip_prefix("yes ")
            .and_then(|sizes| sizes.split_once(' '));
        let sizes =
            sizes.and_then(|(b, d)| Some((b.parse::<usize>().ok()?, d.parse::<usize>().ok()?)));
        let sizes = sizes.filter(|(bytes, fds)| *bytes <= BYTES && *fds <= DESCRIPTORS);
        let (bytes, fds) = sizes.ok_or("the answer cannot be read")?;
        // A byte stands for each batch of descriptors.
        let marks = fds.div_ceil(BATCH);
        while self.bytes.len() < marks + bytes {
            self.fill(left).map_err(broken)?;
        }
        if self.fds.len() != fds || self.bytes.len() != marks + bytes {
            return Err("more or less was passed than was said".into());
        }
        Ok((self.bytes.split_off(marks), std::mem::take(&mut self.fds)))
    }

    /// Waits for the word that commits.
    fn word(&mut self, left: &dyn Fn() -> f64) -> io::Result<()> {
        while self.bytes.len() < TAKEN.len() {
            self.fill(left)?;
        }
        if self.bytes == TAKEN {
            Ok(())
        } else {
            Err(ErrorKind::InvalidData.into())
        }
    }
}
