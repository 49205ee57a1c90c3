//! Owns HTTP/1.1 framing in both directions: heads, bodies and partial reads. It must never decide anything: it
//! knows no classes, regions or rules, and nothing a peer sends may make it panic or hold more than it was given.

use std::rc::Rc;

use crate::buffer_pool::{BODY, HEAD};

/// How a body ends.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Body {
    Left(usize),
    /// Chunked: bytes left of this chunk with its line end, or none while a size line is due.
    Chunks {
        left: usize,
        last: bool,
    },
    ToEnd,
}

impl Body {
    /// Passes on what is there. Returns how much was consumed and whether the body is over, or nothing if malformed.
    pub fn feed(&mut self, input: &[u8], mut out: impl FnMut(&[u8])) -> Option<(usize, bool)> {
        match self {
            Body::Left(left) => {
                let count = (*left).min(input.len());
                out(&input[..count]);
                *left -= count;
                Some((count, *left == 0))
            }
            Body::ToEnd => {
                out(input);
                Some((input.len(), false))
            }
            Body::Chunks { left, last } => {
                let mut at = 0;
                while at < input.len() {
                    if *left > 0 {
                        let count = (*left).min(input.len() - at);
                        // The two bytes of a chunk's line end are not passed on.
                        let data = count.min(left.saturating_sub(2));
                        out(&input[at..at + data]);
                        *left -= count;
                        at += count;
                    } else if *last {
                        // After the last chunk: lines of a trailer up to an empty one.
                        let Some(end) = input[at..].iter().position(|b| *b == b'\n') else {
                            break;
                        };
                        let empty = input[at..at + end].iter().all(|b| *b == b'\r');
                        at += end + 1;
                        if empty {
                            return Some((at, true));
                        }
                    } else {
                        match httparse::parse_chunk_size(&input[at..]) {
                            Ok(httparse::Status::Complete((consumed, size))) => {
                                at += consumed;
                                *last = size == 0;
                                *left = if *last {
                                    0
                                } else {
                                    usize::try_from(size).ok()?.checked_add(2)?
                                };
                            }
                            Ok(httparse::Status::Partial) if input.len() - at < HEAD => break,
                            _ => return None,
                        }
                    }
                }
                Some((at, false))
            }
        }
    }
}

/// A request, whole.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, Vec<u8>)>,
    pub body: Rc<[u8]>,
    pub close: bool,
    pub consumed: usize,
}

impl Request {
    /// A header's value; none where it says two things.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self
            .headers
            .iter()
            .filter(|(n, _)| n == name)
            .map(|(_, v)| v.trim_ascii());
        let first = values.next()?;
        let plain = values.all(|v| v == first);
        std::str::from_utf8(first).ok().filter(|_| plain)
    }
}

/// What the bytes so far hold.
pub enum Parsed {
    /// Not whole yet; true if the client waits for a word before it sends the body.
    Partial(bool),
    /// Malformed: the status to answer with, before closing.
    Invalid(u16),
    Complete(Request),
}

fn told_length(headers: &[httparse::Header]) -> Result<Option<usize>, ()> {
    let mut told = None;
    for header in headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"))
    {
        let text = std::str::from_utf8(header.value).map_err(|_| ())?.trim();
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(());
        }
        let length = text.parse().unwrap_or(usize::MAX);
        if told.is_some_and(|t| t != length) {
            return Err(());
        }
        told = Some(length);
    }
    Ok(told)
}

fn says(headers: &[httparse::Header], name: &str, word: &str) -> bool {
    let lists = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let mut words = lists
        .filter_map(|h| std::str::from_utf8(h.value).ok())
        .flat_map(|v| v.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case(word))
}

/// Reads one request from the front of the input.
pub fn parse_request(input: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(input) {
        Ok(httparse::Status::Complete(start)) if start <= HEAD => start,
        Ok(httparse::Status::Partial) if input.len() < HEAD => return Parsed::Partial(false),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Invalid(431),
        Err(_) => return Parsed::Invalid(400),
    };
    if head
        .headers
        .iter()
        .any(|h| h.name.eq_ignore_ascii_case("transfer-encoding"))
    {
        return Parsed::Invalid(411);
    }
    let (method, path) = (head.method.unwrap_or(""), head.path.unwrap_or(""));
    let length = match told_length(head.headers) {
        Ok(Some(length)) => length,
        Ok(None) if matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") => 0,
        _ => return Parsed::Invalid(400),
    };
    if length > BODY {
        return Parsed::Invalid(413);
    }
    if input.len() - start < length {
        return Parsed::Partial(says(head.headers, "expect", "100-continue"));
    }
    let close = says(head.headers, "connection", "close")
        || (head.version == Some(0) && !says(head.headers, "connection", "keep-alive"));
    let headers = head
        .headers
        .iter()
        .map(|h| (h.name.to_ascii_lowercase(), h.value.to_vec()))
        .collect();
    let (body, consumed) = (Rc::from(&input[start..start + length]), start + length);
    Parsed::Complete(Request {
        method: method.into(),
        path: path.into(),
        headers,
        body,
        close,
        consumed,
    })
}

/// The head of an answer.
pub struct Response {
    pub status: u16,
    pub body: Body,
    /// The connection may carry another call.
    pub keep: bool,
    /// Its lengths contradict each other or cannot be read, or it claims more than any answer here may hold.
    pub spoilt: bool,
    headers: Vec<(String, String)>,
    pub consumed: usize,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.trim())
    }
}

/// What came is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Reads the head of an answer: `Ok(None)` while it is not whole, an error if it is none.
pub fn parse_response(input: &[u8]) -> Result<Option<Response>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let consumed = match head.parse(input) {
        Ok(httparse::Status::Complete(consumed)) if consumed <= HEAD => consumed,
        Ok(httparse::Status::Partial) if input.len() < HEAD => return Ok(None),
        _ => return Err(Malformed),
    };
    let status = head.code.ok_or(Malformed)?;
    let told = told_length(head.headers);
    let spoilt = told.is_err() || told.is_ok_and(|t| t.is_some_and(|t| t > BODY));
    let body = match told {
        _ if matches!(status, 100..=199 | 204 | 304) => Body::Left(0),
        _ if says(head.headers, "transfer-encoding", "chunked") => Body::Chunks {
            left: 0,
            last: false,
        },
        // A status that has come stands, whatever the length says; the connection just ends with it.
        Ok(Some(length)) => Body::Left(length),
        _ => Body::ToEnd,
    };
    let keep = body != Body::ToEnd
        && !spoilt
        && !says(head.headers, "connection", "close")
        && (head.version == Some(1) || says(head.headers, "connection", "keep-alive"));
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers = head
        .headers
        .iter()
        .map(|h| (h.name.to_ascii_lowercase(), text(h.value)))
        .collect();
    Ok(Some(Response {
        status,
        body,
        keep,
        spoilt,
        headers,
        consumed,
    }))
}

/// Whether a whole first line says 200, whatever comes behind it.
pub fn starts_with_status_200(input: &[u8]) -> bool {
    let line = input
        .split(|b| *b == b'\n')
        .next()
        .filter(|l| l.len() < input.len())
        .unwrap_or(b"");
    matches!(line.trim_ascii_end(), [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'2', b'0', b'0', rest @ ..]
        if rest.first().is_none_or(|b| *b == b' '))
}

/// The bytes of an answer to a client.
pub fn encode_response(status: u16, extra: &str, close: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n{extra}{close}\r\n").into_bytes()
}
