//! Connections on loopback sockets: reading before the connection is established, and reading after a reset.

use super::*;

#[test]
fn a_read_before_the_connection_is_established_does_not_mark_it_broken() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let events = calloop::EventLoop::<ReadyEvents<u8>>::try_new().unwrap();
    // A read of an unconnected socket fails as it does on some systems while a connection is being established.
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )
    .unwrap();
    let same_socket = socket.try_clone().unwrap();
    let early_error = (&socket).read(&mut [0]).unwrap_err().kind();
    assert_eq!(early_error, ErrorKind::NotConnected);
    let mut connection =
        Connection::new(socket.into(), &events.handle(), &BufferPool::new(2), 1).unwrap();
    assert!(
        !connection.receive() && !connection.broken && !connection.eof,
        "an early read says nothing about the connection"
    );
    same_socket.set_nonblocking(false).unwrap();
    same_socket.connect(&address.into()).unwrap();
    assert!(connection.queue(b"ask") && connection.flush());
    let (mut peer, _) = listener.accept().unwrap();
    peer.read_exact(&mut [0; 3]).unwrap();
    peer.write_all(b"yes").unwrap();
    drop(peer);
    while !connection.eof {
        assert!(!connection.broken);
        connection.receive();
    }
    assert_eq!(connection.bytes(), b"yes");
}

#[test]
fn bytes_sent_before_a_reset_are_read_even_if_a_write_meets_the_reset_first() {
    // A peer may send a response, such as a rejection with Retry-After, and then reset the connection. The response
    // must not be lost if a write is the first call that fails because of the reset.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let events = calloop::EventLoop::<ReadyEvents<u8>>::try_new().unwrap();
    let address = listener.local_addr().unwrap();
    let mut connection =
        Connection::connect(address, &events.handle(), &BufferPool::new(2), 1).unwrap();
    let (mut peer, _) = listener.accept().unwrap();
    peer.write_all(b"no").unwrap();
    assert!(connection.queue(b"ask") && connection.flush());
    // Closing a socket with unread bytes resets the connection.
    peer.peek(&mut [0; 3]).unwrap();
    drop(peer);
    assert!((0..200_000).any(|_| {
        connection.queue(b"more");
        connection.flush();
        connection.broken
    }));
    assert_eq!(connection.bytes(), b"no");
}
