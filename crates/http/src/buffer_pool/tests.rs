//! Taking, filling and returning the buffers of a pool.

use super::*;

#[test]
fn buffers_are_reused_empty_and_never_exceed_the_capacity() {
    let pool = BufferPool::new(2);
    let mut first = pool.take().unwrap();
    let second = pool.take().unwrap();
    assert!(pool.take().is_none(), "the pool is exhausted");
    assert!(
        first.append(b"secret") && !first.append(&[0; BUFFER_SIZE]),
        "bytes that do not fit are not appended in part"
    );
    first.consume(2);
    assert_eq!(first.bytes(), b"cret");
    drop((first, second));
    assert!(pool.take().unwrap().is_empty());
}
