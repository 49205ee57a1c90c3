//! HTTP/1.1 on non-blocking sockets with buffers from a capped pool: what every take-in and every sending side stands
//! on. It must never decide anything: it knows no classes, regions or rules.
#![allow(missing_docs)]

pub mod buffer_pool;
mod codec;
mod connection;

pub use codec::{
    Body, Malformed, Parsed, Request, Response, encode_response, parse_request, parse_response,
    starts_with_status_200,
};
pub use connection::{
    Connection, ConnectionSnapshot, Handle, Ready, is_descriptor_exhaustion, register,
};
