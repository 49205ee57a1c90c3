//! A watch: a long-lived HTTP response in which discovery sends the endpoint list and then its changes.

use std::net::SocketAddr;

use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use thiserror::Error;

use super::object_framer::JsonObjectFramer;
use crate::event_source::{Connection, EventLoopHandle, EventSource};

/// The limit on the size of an object in a watch, in bytes, so that memory use is bounded.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// The reason for the end of a watch. The text is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum WatchError {
    /// Nothing was received for too long.
    #[error("silent")]
    Silent,
    /// The response has another status than 200.
    #[error("refused")]
    UnexpectedStatus,
    /// The received bytes are not a valid HTTP response.
    #[error("malformed")]
    MalformedResponse,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("line too long")]
    ObjectTooLong,
    /// Discovery has ended the response.
    #[error("ended")]
    ResponseEnded,
    /// An update could not be read and has to be requested again.
    #[error("unreadable")]
    UnreadableUpdate,
    /// The answer to a request for the whole list is older than the list, and not whole.
    #[error("outdated")]
    OutdatedAnswer,
    /// The connection was closed by discovery or has failed.
    #[error("closed")]
    ConnectionClosed,
}

/// An open watch.
pub(super) struct Watch {
    /// The connection to discovery.
    pub connection: Connection,
    /// The body of the response, once its head has been received.
    body: Option<http::Body>,
    framer: JsonObjectFramer,
}

/// The input of a watch since it was last read.
pub(super) struct WatchInput {
    /// The text of each object; empty lines between objects count as objects.
    pub objects: Vec<Vec<u8>>,
    /// Why the watch ends after these objects, if it does.
    pub error: Option<WatchError>,
    /// Whether there may be more to read.
    pub has_more: bool,
}

impl Watch {
    /// Connects to discovery and requests the changes since a version of the endpoint list. Version 0 requests the
    /// complete list.
    ///
    /// # Errors
    /// The system's error if no connection can be opened.
    pub fn open(
        discovery_address: SocketAddr,
        version: u64,
        handle: &EventLoopHandle,
        buffers: &BufferPool,
    ) -> std::io::Result<Watch> {
        let mut connection =
            Connection::connect(discovery_address, handle, buffers, EventSource::Watch)?;
        let request = format!(
            "GET /v1/servers?watch=1&from={version} HTTP/1.1\r\nHost: {discovery_address}\r\n\r\n"
        );
        connection.queue(request.as_bytes());
        connection.flush();
        Ok(Watch {
            connection,
            body: None,
            framer: JsonObjectFramer::default(),
        })
    }

    /// Whether the head of the response has been received.
    pub fn has_response(&self) -> bool {
        self.body.is_some()
    }

    /// Writes the rest of the request and reads the response as far as it was received.
    pub fn receive(&mut self) -> WatchInput {
        self.connection.flush();
        let has_more = self.connection.receive();
        let mut objects = Vec::new();
        let error = self.read_objects(&mut objects).err();
        WatchInput {
            objects,
            error,
            has_more,
        }
    }

    /// Whether discovery has shut down its sending side, or the connection has failed.
    pub fn is_closed(&self) -> bool {
        self.connection.eof || self.connection.broken
    }

    fn read_objects(&mut self, objects: &mut Vec<Vec<u8>>) -> Result<(), WatchError> {
        self.read_head()?;
        let Some(body) = self.body.as_mut() else {
            return Ok(());
        };
        let framer = &mut self.framer;
        let (consumed, ended) = body
            .try_decode(self.connection.bytes(), |bytes| framer.push(bytes, objects))
            .ok_or(WatchError::MalformedResponse)?;
        self.connection.consume(consumed);
        if self.framer.pending_bytes() > MAX_OBJECT_BYTES {
            return Err(WatchError::ObjectTooLong);
        }
        if ended {
            return Err(WatchError::ResponseEnded);
        }
        Ok(())
    }

    /// Reads the head of the response if it was not read yet and has been received.
    fn read_head(&mut self) -> Result<(), WatchError> {
        if self.body.is_some() {
            return Ok(());
        }
        match http::parse_response(self.connection.bytes()) {
            Ok(None) => Ok(()),
            Ok(Some(response)) if response.status == 200 => {
                self.connection.consume(response.consumed);
                self.body = Some(response.body);
                Ok(())
            }
            Ok(Some(_)) => Err(WatchError::UnexpectedStatus),
            Err(http::MalformedResponse) => Err(WatchError::MalformedResponse),
        }
    }
}
