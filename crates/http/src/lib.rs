//! HTTP/1.1 framing and non-blocking TCP connections on buffers from a bounded pool.
//!
//! [`parse_request`] and [`parse_response`] read message heads from a byte slice, [`Body`] decodes response bodies,
//! and [`Connection`] is a socket with its read and write buffers, registered in a [`calloop`] event loop. The crate
//! has no knowledge of message classes, endpoints or retries.

mod body;
pub mod buffer_pool;
mod codec;
mod connection;
mod error;
mod socket_trace;
mod system_errors;

pub use body::{Body, BodyProgress};
pub use codec::{
    ParsedRequest, Request, Response, encode_response, parse_request, parse_response,
    starts_with_status,
};
pub use connection::{Connection, ConnectionSnapshot, EventLoopHandle, ReadyEvents, register};
pub use error::MalformedResponse;
pub use system_errors::{concerns_one_connection, is_local_shortage};
