//! A bounded pool of equally sized byte buffers.
//!
//! The bound caps the memory that peers can make the process use, whatever they send. A buffer returns to the pool
//! when it is dropped and is lent again without being zeroed; [`Buffer::bytes`] only shows the bytes that its current
//! owner appended, so no connection sees the bytes of another.

use std::cell::RefCell;
use std::rc::Rc;

/// Maximum length of the head of a request or response.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of the body of a request or response.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Size of each buffer in bytes: enough for one request or response of maximum length.
pub const BUFFER_SIZE: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;

#[derive(Default)]
struct PoolState {
    free: Vec<Box<[u8]>>,
    /// Number of buffers that are lent out.
    lent_count: usize,
    /// Maximum number of buffers that may be lent out at a time.
    capacity: usize,
}

impl PoolState {
    fn is_exhausted(&self) -> bool {
        self.lent_count >= self.capacity
    }
}

/// A pool of buffers of [`BUFFER_SIZE`] bytes. Clones share the same buffers.
#[derive(Clone, Default)]
pub struct BufferPool(Rc<RefCell<PoolState>>);

impl BufferPool {
    /// Creates a pool that lends at most `capacity` buffers at a time. Memory is allocated on first use.
    pub fn new(capacity: usize) -> BufferPool {
        BufferPool(Rc::new(RefCell::new(PoolState {
            capacity,
            ..PoolState::default()
        })))
    }

    /// Whether all buffers are lent out.
    pub fn is_exhausted(&self) -> bool {
        self.0.borrow().is_exhausted()
    }

    /// Lends an empty buffer, or returns `None` if all are lent out.
    pub fn take(&self) -> Option<Buffer> {
        let mut state = self.0.borrow_mut();
        if state.is_exhausted() {
            return None;
        }
        state.lent_count += 1;
        let data = state
            .free
            .pop()
            .unwrap_or_else(|| vec![0; BUFFER_SIZE].into_boxed_slice());
        Some(Buffer {
            data,
            start: 0,
            end: 0,
            pool: self.clone(),
        })
    }
}

/// A buffer on loan: a queue of bytes that are appended at the end and consumed from the front.
pub struct Buffer {
    data: Box<[u8]>,
    /// Offset of the first byte that has not been consumed.
    start: usize,
    /// Offset after the last byte that has been appended.
    end: usize,
    pool: BufferPool,
}

impl Buffer {
    /// The bytes that have been appended and not yet consumed.
    pub fn bytes(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Whether there is nothing left to consume.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Moves the content to the front of the buffer and returns the free space after it. Write into that space, then
    /// call [`Buffer::advance`].
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        &mut self.data[self.end..]
    }

    /// Adds the first `count` bytes of the spare capacity to the content.
    pub fn advance(&mut self, count: usize) {
        self.end = (self.end + count).min(self.data.len());
    }

    /// Drops `count` bytes from the front of the content, or all of it if it holds fewer.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Appends all of `bytes` and returns true, or appends nothing and returns false if they do not fit.
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let spare = self.spare_capacity();
        if spare.len() < bytes.len() {
            return false;
        }
        spare[..bytes.len()].copy_from_slice(bytes);
        self.advance(bytes.len());
        true
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        state.lent_count -= 1;
        state.free.push(std::mem::take(&mut self.data));
    }
}

#[cfg(test)]
mod tests;
