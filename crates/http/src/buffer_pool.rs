//! Owns the buffers: all of one size, lent out, and used again. It must never hold more than its cap, whatever
//! peers send, and never hand out a buffer that still shows another connection's bytes.

use std::cell::RefCell;
use std::rc::Rc;

/// Longest head of a request or an answer.
pub const HEAD: usize = 8 * 1024;
/// Longest body.
pub const BODY: usize = 64 * 1024;
/// One buffer holds one whole message.
pub const BUFFER_SIZE: usize = HEAD + BODY;

#[derive(Default)]
struct Shelf {
    free: Vec<Box<[u8]>>,
    lent: usize,
    cap: usize,
}

/// Where buffers come from and go back to.
#[derive(Clone, Default)]
pub struct BufferPool(Rc<RefCell<Shelf>>);

impl BufferPool {
    pub fn new(cap: usize) -> BufferPool {
        BufferPool(Rc::new(RefCell::new(Shelf {
            cap,
            ..Shelf::default()
        })))
    }

    /// None is left to lend.
    pub fn spent(&self) -> bool {
        let shelf = self.0.borrow();
        shelf.lent >= shelf.cap
    }

    /// A buffer, or none while the cap is lent out.
    pub fn take(&self) -> Option<Buffer> {
        let mut shelf = self.0.borrow_mut();
        if shelf.lent >= shelf.cap {
            return None;
        }
        shelf.lent += 1;
        let data = shelf
            .free
            .pop()
            .unwrap_or_else(|| vec![0; BUFFER_SIZE].into_boxed_slice());
        Some(Buffer {
            data,
            start: 0,
            end: 0,
            home: self.clone(),
        })
    }
}

/// A lent buffer: what is between its two marks has been put in and not yet used.
pub struct Buffer {
    data: Box<[u8]>,
    start: usize,
    end: usize,
    home: BufferPool,
}

impl Buffer {
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Room to read into; what is unused moves to the front first.
    pub fn room(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        &mut self.data[self.end..]
    }

    pub fn filled(&mut self, count: usize) {
        self.end = (self.end + count).min(self.data.len());
    }

    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
    }

    /// Appends all of it, or nothing where it does not fit.
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let room = self.room();
        if room.len() < bytes.len() {
            return false;
        }
        room[..bytes.len()].copy_from_slice(bytes);
        self.filled(bytes.len());
        true
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut shelf = self.home.0.borrow_mut();
        shelf.lent -= 1;
        shelf.free.push(std::mem::take(&mut self.data));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buffers_come_back_empty_and_never_exceed_the_cap() {
        let pool = BufferPool::new(2);
        let (mut a, b) = (pool.take().unwrap(), pool.take().unwrap());
        assert!(pool.take().is_none(), "the cap holds");
        assert!(
            a.put(b"secret") && !a.put(&[0; BUFFER_SIZE]),
            "what does not fit is not put in part"
        );
        a.consume(2);
        assert_eq!(a.bytes(), b"cret");
        drop((a, b));
        assert!(pool.take().unwrap().is_empty());
    }
}
