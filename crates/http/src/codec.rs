//! Parses requests and the heads of responses, and encodes responses.
//!
//! All input comes from untrusted peers: nothing here panics on it, and nothing grows beyond the limits of
//! [`crate::buffer_pool`].

use std::rc::Rc;

use crate::body::Body;
use crate::buffer_pool::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::error::MalformedResponse;

/// Maximum number of header lines in a request or response.
const MAX_HEADERS: usize = 64;

const BAD_REQUEST: u16 = 400;
const LENGTH_REQUIRED: u16 = 411;
const CONTENT_TOO_LARGE: u16 = 413;
const HEADER_FIELDS_TOO_LARGE: u16 = 431;

/// A complete request.
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// The request target.
    pub path: String,
    /// The headers, with their names in lower case.
    headers: Vec<(String, Vec<u8>)>,
    /// The content of the body.
    pub body: Rc<[u8]>,
    /// Whether the client expects the connection to be closed after the response.
    pub closes_connection: bool,
    /// Length of head and body in the input, in bytes.
    pub consumed: usize,
}

impl Request {
    /// The value of the header with this lower-case name. `None` if it is absent, is not UTF-8, or is given several
    /// times with different values.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self
            .headers
            .iter()
            .filter(|(header, _)| header == name)
            .map(|(_, value)| value.trim_ascii());
        let first = values.next()?;
        let unambiguous = values.all(|value| value == first);
        std::str::from_utf8(first).ok().filter(|_| unambiguous)
    }
}

/// The result of [`parse_request`].
pub enum ParsedRequest {
    /// The request is incomplete; true if the client waits for `100 Continue` before it sends the body.
    Partial(bool),
    /// The request is malformed or too large: the status to answer with before the connection is closed.
    Invalid(u16),
    /// A complete request.
    Complete(Request),
}

/// Parses one request at the front of `input`.
pub fn parse_request(input: &[u8]) -> ParsedRequest {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => {
            return ParsedRequest::Partial(false);
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return ParsedRequest::Invalid(HEADER_FIELDS_TOO_LARGE);
        }
        Err(_) => return ParsedRequest::Invalid(BAD_REQUEST),
    };
    let body_length = match request_body_length(&head) {
        Ok(length) => length,
        Err(status) => return ParsedRequest::Invalid(status),
    };
    if input.len() - body_start < body_length {
        return ParsedRequest::Partial(list_contains(head.headers, "expect", "100-continue"));
    }
    let consumed = body_start + body_length;
    ParsedRequest::Complete(Request {
        method: head.method.unwrap_or("").into(),
        path: head.path.unwrap_or("").into(),
        headers: head
            .headers
            .iter()
            .map(|header| (header.name.to_ascii_lowercase(), header.value.to_vec()))
            .collect(),
        body: Rc::from(&input[body_start..consumed]),
        closes_connection: !keeps_alive(head.version == Some(0), head.headers),
        consumed,
    })
}

/// The length of a request's body in bytes; the error is the status to reject the request with.
fn request_body_length(head: &httparse::Request) -> Result<usize, u16> {
    let has_transfer_coding = head
        .headers
        .iter()
        .any(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    if has_transfer_coding {
        return Err(LENGTH_REQUIRED);
    }
    let may_omit_length = matches!(
        head.method.unwrap_or(""),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    let length = match content_length(head.headers) {
        Ok(Some(length)) => length,
        Ok(None) if may_omit_length => 0,
        _ => return Err(BAD_REQUEST),
    };
    if length > MAX_BODY_BYTES {
        return Err(CONTENT_TOO_LARGE);
    }
    Ok(length)
}

/// Content-Length header lines that contradict each other or are not numbers.
struct InvalidLength;

/// The content length that the headers declare, if any. A number that is too large becomes `usize::MAX`.
fn content_length(headers: &[httparse::Header]) -> Result<Option<usize>, InvalidLength> {
    let mut declared = None;
    for header in headers {
        if !header.name.eq_ignore_ascii_case("content-length") {
            continue;
        }
        let text = std::str::from_utf8(header.value).map_err(|_| InvalidLength)?;
        let digits = text.trim();
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(InvalidLength);
        }
        let length = digits.parse().unwrap_or(usize::MAX);
        if declared.is_some_and(|earlier| earlier != length) {
            return Err(InvalidLength);
        }
        declared = Some(length);
    }
    Ok(declared)
}

/// Whether a header that is a comma-separated list contains a token, both compared without regard to case.
fn list_contains(headers: &[httparse::Header], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .filter_map(|header| std::str::from_utf8(header.value).ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// Whether a request or response lets its connection persist. In HTTP/1.0 it has to ask for that; in later versions it
/// has to ask for the opposite.
fn keeps_alive(is_http_1_0: bool, headers: &[httparse::Header]) -> bool {
    !list_contains(headers, "connection", "close")
        && (!is_http_1_0 || list_contains(headers, "connection", "keep-alive"))
}

/// The head of a response.
pub struct Response {
    /// The status code.
    pub status: u16,
    /// How to read the body.
    pub body: Body,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// Whether the framing is malformed: the declared lengths contradict each other, cannot be read, or exceed
    /// [`MAX_BODY_BYTES`].
    pub malformed_framing: bool,
    /// The headers, with their names in lower case.
    headers: Vec<(String, String)>,
    /// Length of the head in the input, in bytes.
    pub consumed: usize,
}

impl Response {
    /// The first value of the header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header == name)
            .map(|(_, value)| value.trim())
    }
}

/// Parses the head of a response at the front of `input`; `None` while it is incomplete.
///
/// # Errors
/// [`MalformedResponse`] if the input is not the head of an HTTP/1 response or is longer than [`MAX_HEAD_BYTES`].
pub fn parse_response(input: &[u8]) -> Result<Option<Response>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let consumed = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(MalformedResponse),
    };
    let status = head.code.ok_or(MalformedResponse)?;
    let declared_length = content_length(head.headers);
    let malformed_framing = match declared_length {
        Ok(length) => length.is_some_and(|length| length > MAX_BODY_BYTES),
        Err(InvalidLength) => true,
    };
    let body = match declared_length {
        _ if matches!(status, 100..=199 | 204 | 304) => Body::ContentLength(0),
        _ if list_contains(head.headers, "transfer-encoding", "chunked") => Body::Chunked {
            remaining: 0,
            last: false,
        },
        // The status is valid even if the length is too large, which only keeps the connection from being reused.
        Ok(Some(length)) => Body::ContentLength(length),
        _ => Body::UntilClose,
    };
    let keep_alive = body != Body::UntilClose
        && !malformed_framing
        && keeps_alive(head.version != Some(1), head.headers);
    let headers = head
        .headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect();
    Ok(Some(Response {
        status,
        body,
        keep_alive,
        malformed_framing,
        headers,
        consumed,
    }))
}

/// Whether `input` starts with a complete status line of an HTTP/1 response with this status, whatever follows it.
pub fn starts_with_status(input: &[u8], status: u16) -> bool {
    let Some(line_end) = input.iter().position(|byte| *byte == b'\n') else {
        return false;
    };
    let line = input[..line_end].trim_ascii_end();
    let Some(after_version) = line
        .strip_prefix(b"HTTP/1.")
        .and_then(|rest| rest.split_first())
        .map(|(_minor_version, rest)| rest)
    else {
        return false;
    };
    after_version
        .strip_prefix(format!(" {status}").as_bytes())
        .is_some_and(|reason| reason.first().is_none_or(|byte| *byte == b' '))
}

/// Encodes a response without a body. `extra_headers` contains further header lines, each with its line end.
pub fn encode_response(status: u16, extra_headers: &str, close: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        BAD_REQUEST => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        LENGTH_REQUIRED => "Length Required",
        CONTENT_TOO_LARGE => "Content Too Large",
        HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let connection_header = if close { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n{extra_headers}{connection_header}\r\n"
    )
    .into_bytes()
}
