//! Lending, returning and filling the buffers of a pool.

use super::*;

#[test]
fn buffers_come_back_empty_and_never_exceed_the_capacity() {
    let pool = BufferPool::new(2);
    let mut first = pool.take().unwrap();
    let second = pool.take().unwrap();
    assert!(pool.take().is_none(), "the capacity holds");
    assert!(
        first.append(b"secret") && !first.append(&[0; BUFFER_SIZE]),
        "what does not fit is not appended in part"
    );
    first.consume(2);
    assert_eq!(first.bytes(), b"cret");
    drop((first, second));
    assert!(pool.take().unwrap().is_empty());
}
