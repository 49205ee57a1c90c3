//! Converts an HTTP request into a message.

use std::rc::Rc;

use martenlatch_clock::Millis;
use martenlatch_http as http;

use super::Ingress;

/// The path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// The largest length of an id or an idempotency key, in bytes.
const MAX_ID_LENGTH: usize = 256;
/// The longest timeout that a client may give a message, in seconds.
const MAX_TIMEOUT_SECONDS: f64 = 86_400.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// How long a client waits for its answer. A request that has waited longer counts as abandoned by its client.
const CLIENT_PATIENCE: Millis = 400.0;

/// A message that a client has sent.
pub struct IncomingMessage {
    /// The index of the client that is waiting for the answer.
    pub(in crate::pipeline) client: usize,
    pub(in crate::pipeline) id: Rc<str>,
    /// The index of the message class in the settings.
    pub(in crate::pipeline) class: usize,
    pub(in crate::pipeline) destination: u64,
    pub(in crate::pipeline) deadline: Millis,
    pub(in crate::pipeline) idempotency_key: Option<Rc<str>>,
    pub(in crate::pipeline) body: Rc<[u8]>,
}

/// A valid request.
pub(super) enum ClientRequest {
    /// The client asks whether the sender is serving.
    HealthCheck,
    /// The client sends a message.
    Message(IncomingMessage),
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    /// A required header is missing or invalid, or more bytes follow the request.
    #[error("malformed request")]
    Malformed,
    /// The path does not begin with the name of a class.
    #[error("unknown path")]
    UnknownPath,
    /// The path does not allow this method.
    #[error("method not allowed")]
    MethodNotAllowed,
}

impl RequestError {
    /// The status that answers the request.
    pub(super) fn status(self) -> u16 {
        match self {
            RequestError::Malformed => 400,
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
        }
    }

    /// The additional headers of the answer.
    pub(super) fn headers(self) -> &'static str {
        match self {
            RequestError::MethodNotAllowed => "Allow: POST\r\n",
            RequestError::Malformed | RequestError::UnknownPath => "",
        }
    }
}

impl Ingress {
    /// Converts an HTTP request into a message or a health check.
    pub(super) fn parse_request(
        &self,
        request: &http::Request,
        client: usize,
        now: Millis,
    ) -> Result<ClientRequest, RequestError> {
        let path = request.path.split(['?', '#']).next().unwrap_or("");
        if path == HEALTH_PATH {
            return match request.method.as_str() {
                "GET" | "HEAD" => Ok(ClientRequest::HealthCheck),
                _ => Err(RequestError::MethodNotAllowed),
            };
        }
        let class = self.class_of(path).ok_or(RequestError::UnknownPath)?;
        if request.method != "POST" {
            return Err(RequestError::MethodNotAllowed);
        }
        let id = id_header(request, "x-request-id").ok_or(RequestError::Malformed)?;
        let timeout = timeout_header(request).ok_or(RequestError::Malformed)?;
        let destination = destination_header(request).ok_or(RequestError::Malformed)?;
        let idempotency_key = id_header(request, "idempotency-key");
        if self.classes[class].requires_idempotency_key && idempotency_key.is_none() {
            return Err(RequestError::Malformed);
        }
        Ok(ClientRequest::Message(IncomingMessage {
            client,
            id,
            class,
            destination,
            deadline: self.earliest_arrival(client, now) + timeout,
            idempotency_key,
            body: request.body.clone(),
        }))
    }

    /// The earliest instant at which the request of a client may have arrived. The message's timeout counts from then:
    /// if it counted from the read, the status report would be too late after a delay of the process.
    fn earliest_arrival(&self, client: usize, now: Millis) -> Millis {
        self.clients[client]
            .input_since
            .clamp(now - CLIENT_PATIENCE, now)
    }

    /// The class whose name is the first segment of a path.
    pub(super) fn class_of(&self, path: &str) -> Option<usize> {
        let first_segment = path.strip_prefix('/')?.split(['/', '?', '#']).next()?;
        self.classes
            .iter()
            .position(|class| class.name == first_segment)
    }
}

/// The value of a header with an id or a key, which must be printable ASCII of bounded length.
fn id_header(request: &http::Request, header: &str) -> Option<Rc<str>> {
    let value = request.header(header)?;
    let printable = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    let valid = !value.is_empty() && value.len() <= MAX_ID_LENGTH && value.bytes().all(printable);
    valid.then(|| Rc::from(value))
}

/// The timeout that the client gives the message.
fn timeout_header(request: &http::Request) -> Option<Millis> {
    let seconds: f64 = request.header("x-timeout")?.parse().ok()?;
    let valid = seconds > 0.0 && seconds <= MAX_TIMEOUT_SECONDS;
    valid.then_some(seconds * MILLISECONDS_PER_SECOND)
}

/// The destination: the first `dest=` among the parts of the `x-route-to` header.
fn destination_header(request: &http::Request) -> Option<u64> {
    request
        .header("x-route-to")?
        .split([',', ';', ' '])
        .find_map(|part| part.trim().strip_prefix("dest="))?
        .parse()
        .ok()
}
