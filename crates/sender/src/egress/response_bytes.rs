//! The bytes of responses: where one ends, and whether another one begins inside it.

use std::hash::{DefaultHasher, Hasher};

use martenlatch_http as http;

/// The beginning of each status line, without the minor version, and the length of a status line up to its code.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
const SUCCESS_STATUS_LINE: &[u8] = b"HTTP/1.1 200";
const STATUS_LINE_LENGTH: usize = SUCCESS_STATUS_LINE.len();

/// The bytes of the response with which `bytes` begin; `None` if it is incomplete or malformed.
pub(super) fn complete_response(bytes: &[u8]) -> Option<&[u8]> {
    let response = http::parse_response(bytes).ok()??;
    bytes_of(&response, bytes)
}

/// The bytes of a parsed response with which `bytes` begin; `None` if its body is incomplete or malformed.
pub(super) fn bytes_of<'a>(response: &http::Response, bytes: &'a [u8]) -> Option<&'a [u8]> {
    let body = bytes.get(response.consumed..)?;
    match response.body.clone().try_decode(body, |_| {})? {
        (consumed, true) => bytes.get(..response.consumed + consumed),
        _ => None,
    }
}

/// Whether bytes are the beginning of a response with status 200, however short.
pub(super) fn begins_with_success(bytes: &[u8]) -> bool {
    let length = bytes.len().min(SUCCESS_STATUS_LINE.len());
    bytes[..length] == SUCCESS_STATUS_LINE[..length]
}

/// The last bytes of a response, as many as a status line has up to its code.
pub(super) fn last_bytes(response: &[u8]) -> Vec<u8> {
    response[response.len().saturating_sub(STATUS_LINE_LENGTH)..].to_vec()
}

/// A number that equal responses share and different ones practically never do.
pub(super) fn fingerprint(response: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(response);
    hasher.finish()
}

/// The response that begins inside the first one in `bytes`: a copy was cut off, and the real response follows.
pub(super) fn response_inside_another(bytes: &[u8]) -> Option<&[u8]> {
    let start = second_status_line(bytes)?;
    let is_behind = complete_response(bytes).is_some_and(|first| first.len() <= start);
    (!is_behind).then(|| &bytes[start..])
}

fn second_status_line(bytes: &[u8]) -> Option<usize> {
    let mut behind_first_byte = bytes.windows(STATUS_LINE_LENGTH).skip(1);
    let distance = behind_first_byte.position(is_status_line)?;
    Some(distance + 1)
}

/// Whether the last bytes of a response could be the beginning of another one.
pub(super) fn ends_in_status_line(response: &[u8]) -> bool {
    (1..STATUS_LINE_LENGTH).any(|length| {
        let start = response.len().saturating_sub(length);
        let end = &response[start..];
        let known = end.len().min(STATUS_LINE_START.len());
        end[..known] == STATUS_LINE_START[..known]
    })
}

fn is_status_line(bytes: &[u8]) -> bool {
    let Some([minor_version, b' ', code @ ..]) = bytes.strip_prefix(STATUS_LINE_START) else {
        return false;
    };
    minor_version.is_ascii_digit() && code.iter().all(u8::is_ascii_digit)
}
