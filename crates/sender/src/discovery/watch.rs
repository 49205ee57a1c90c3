//! One watch: a long HTTP response in which discovery sends the endpoint list, and then its changes.

use std::net::SocketAddr;

use martenlatch_http as http;
use martenlatch_http::buffer_pool::BufferPool;
use thiserror::Error;

use super::object_framer::JsonObjectFramer;
use crate::event_source::{Connection, EventSource, Handle};

/// Longest object of a watch, in bytes; one that is longer would otherwise grow without bound.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a watch ended. The text is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum WatchFault {
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The response has another status than 200.
    #[error("refused")]
    Refused,
    /// What came is no valid HTTP response.
    #[error("malformed")]
    MalformedResponse,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("line too long")]
    ObjectTooLong,
    /// Discovery has ended the response.
    #[error("ended")]
    Ended,
    /// An update could not be read, and is to be requested again.
    #[error("unreadable")]
    UnreadableUpdate,
    /// The connection has ended.
    #[error("closed")]
    ConnectionClosed,
}

/// A watch that has been opened.
pub(super) struct Watch {
    /// The connection to discovery.
    pub connection: Connection,
    /// The body of the response, once its head has come.
    body: Option<http::Body>,
    framer: JsonObjectFramer,
}

/// What a watch has brought since it was read last.
pub(super) struct WatchInput {
    /// The text of each object, or an empty line.
    pub objects: Vec<Vec<u8>>,
    /// Why the watch cannot go on behind these objects, if so.
    pub fault: Option<WatchFault>,
    /// There may be more to read.
    pub has_more: bool,
}

impl Watch {
    /// Connects to discovery and asks for the changes since a version of the endpoint list; version 0 stands for the
    /// complete list.
    ///
    /// # Errors
    /// The system's error if no connection can be opened.
    pub fn open(
        discovery: SocketAddr,
        version: u64,
        handle: &Handle,
        pool: &BufferPool,
    ) -> std::io::Result<Watch> {
        let mut connection = Connection::connect(discovery, handle, pool, EventSource::Watch)?;
        let request =
            format!("GET /v1/servers?watch=1&from={version} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        connection.queue(request.as_bytes());
        connection.flush();
        Ok(Watch {
            connection,
            body: None,
            framer: JsonObjectFramer::default(),
        })
    }

    /// Whether discovery has begun to answer.
    pub fn has_response(&self) -> bool {
        self.body.is_some()
    }

    /// Writes what is left of the request, and reads what has come.
    pub fn receive(&mut self) -> WatchInput {
        self.connection.flush();
        let has_more = self.connection.receive();
        let mut objects = Vec::new();
        let fault = self.read_objects(&mut objects).err();
        WatchInput {
            objects,
            fault,
            has_more,
        }
    }

    /// Whether the connection has ended, on either side.
    pub fn is_closed(&self) -> bool {
        self.connection.eof || self.connection.broken
    }

    fn read_objects(&mut self, objects: &mut Vec<Vec<u8>>) -> Result<(), WatchFault> {
        self.read_head()?;
        let Some(body) = self.body.as_mut() else {
            return Ok(());
        };
        let framer = &mut self.framer;
        let (consumed, ended) = body
            .try_decode(self.connection.bytes(), |bytes| framer.push(bytes, objects))
            .ok_or(WatchFault::MalformedResponse)?;
        self.connection.consume(consumed);
        if self.framer.pending_bytes() > MAX_OBJECT_BYTES {
            return Err(WatchFault::ObjectTooLong);
        }
        if ended {
            return Err(WatchFault::Ended);
        }
        Ok(())
    }

    /// Reads the head of the response, if it is still due and has come.
    fn read_head(&mut self) -> Result<(), WatchFault> {
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
            Ok(Some(_)) => Err(WatchFault::Refused),
            Err(http::MalformedResponse) => Err(WatchFault::MalformedResponse),
        }
    }
}
