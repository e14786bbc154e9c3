//! Finds the ends of HTTP/1 messages in bytes that are copied without being parsed further.
//!
//! Only heads and the sizes of chunks are read; bodies are skipped. A message whose framing is
//! unknown or malformed counts as one that lasts until its connection closes.

use crate::chunked_framing::ChunkedFraming;
use derive_more::{Display, Error};

/// A head with more header lines is not parsed; the limit of hyper.
const MAX_HEADERS: usize = 100;
/// A longer head is not parsed. Routers accept shorter ones only.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What a request says about the framing of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RequestKind {
    /// The answer has a body unless its status excludes one.
    #[default]
    Plain,
    /// The request's method is HEAD, so the answer has no body.
    Head,
    /// The request's method is CONNECT, so the connection carries no messages after a success.
    Connect,
}

/// How far a message has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageProgress {
    /// No byte of it has come.
    NotBegun,
    /// Its end has not come.
    UnderWay,
    /// It lasts until its connection closes, or its framing is unknown.
    UntilClose,
    /// All of its bytes have come.
    Ended,
}

/// Tracks one message.
#[derive(Debug)]
pub struct MessageFraming {
    direction: Direction,
    state: State,
    closes_connection: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// A request, once its head has come with its kind.
    Request(RequestKind),
    /// An answer to a request of this kind.
    Answer(RequestKind),
}

#[derive(Debug)]
enum State {
    Head(HeadReader),
    Body(BodyFraming),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    /// The number of bytes that follow.
    Length(u64),
    Chunked(ChunkedFraming),
    UntilClose,
}

impl MessageFraming {
    /// Returns the state before the first byte of a request.
    pub fn request() -> Self {
        Self::new(Direction::Request(RequestKind::default()))
    }

    /// Returns the state before the first byte of the answer to a request.
    pub fn answer_to(request: RequestKind) -> Self {
        Self::new(Direction::Answer(request))
    }

    fn new(direction: Direction) -> Self {
        Self { direction, state: State::Head(HeadReader::default()), closes_connection: false }
    }

    /// Reads further bytes and returns how many of them belong to the message. The rest begins the
    /// next one.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut read = 0;
        while read < bytes.len() && self.progress() != MessageProgress::Ended {
            read += self.advance_part(&bytes[read..]);
        }
        read
    }

    /// Reads bytes of the head, or of the body.
    fn advance_part(&mut self, bytes: &[u8]) -> usize {
        match &mut self.state {
            State::Head(reader) => {
                let Some((length, head)) = reader.advance(bytes, self.direction) else {
                    return bytes.len();
                };
                self.on_head(head);
                length
            }
            State::Body(body) => body.advance(bytes),
        }
    }

    fn on_head(&mut self, head: Result<Head, MalformedHead>) {
        let head = head.unwrap_or(Head::UNKNOWN);
        self.state = match head.body {
            // Another head follows.
            None => State::Head(HeadReader::default()),
            Some(body) => State::Body(body),
        };
        self.closes_connection = head.closes_connection;
        if let Direction::Request(kind) = &mut self.direction {
            *kind = head.kind;
        }
    }

    /// Returns how far the message has come.
    pub fn progress(&self) -> MessageProgress {
        match &self.state {
            State::Head(reader) if reader.has_begun => MessageProgress::UnderWay,
            State::Head(_) => MessageProgress::NotBegun,
            State::Body(BodyFraming::UntilClose) => MessageProgress::UntilClose,
            State::Body(body) if body.has_ended() => MessageProgress::Ended,
            State::Body(_) => MessageProgress::UnderWay,
        }
    }

    /// Returns what a request says about its answer, once its head has come.
    pub fn request_kind(&self) -> RequestKind {
        match self.direction {
            Direction::Request(kind) | Direction::Answer(kind) => kind,
        }
    }

    /// Returns whether the head announces that the connection closes after the message.
    pub fn closes_connection(&self) -> bool {
        self.closes_connection
    }
}

impl BodyFraming {
    fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Length(left) => {
                let read = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= read as u64;
                read
            }
            Self::Chunked(chunked) => {
                let read = chunked.advance(bytes);
                read.unwrap_or_else(|_| {
                    *self = Self::UntilClose;
                    bytes.len()
                })
            }
            Self::UntilClose => bytes.len(),
        }
    }

    fn has_ended(&self) -> bool {
        match self {
            Self::Length(left) => *left == 0,
            Self::Chunked(chunked) => chunked.has_ended(),
            Self::UntilClose => false,
        }
    }
}

/// Finds the end of a head. Its bytes are kept only while it is incomplete.
#[derive(Debug, Default)]
struct HeadReader {
    kept: Vec<u8>,
    /// Bytes of the current line, line ends not counted.
    line_length: usize,
    has_line: bool,
    has_begun: bool,
}

impl HeadReader {
    /// Reads bytes. Returns how many of them belong to the head, and the head, once it is complete.
    fn advance(
        &mut self,
        bytes: &[u8],
        direction: Direction,
    ) -> Option<(usize, Result<Head, MalformedHead>)> {
        self.has_begun = true;
        let Some(length) = self.find_end(bytes) else {
            if self.kept.len() + bytes.len() > MAX_HEAD_BYTES {
                return Some((bytes.len(), Err(MalformedHead)));
            }
            self.kept.extend_from_slice(bytes);
            return None;
        };
        let head = if self.kept.is_empty() {
            Head::parse(&bytes[..length], direction)
        } else {
            self.kept.extend_from_slice(&bytes[..length]);
            Head::parse(&self.kept, direction)
        };
        Some((length, head))
    }

    /// Returns the number of bytes up to the empty line that ends the head. Empty lines before the
    /// first line are allowed.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.line_length == 0 && self.has_line => return Some(index + 1),
                b'\n' => {
                    self.has_line |= self.line_length > 0;
                    self.line_length = 0;
                }
                b'\r' => {}
                _ => self.line_length += 1,
            }
        }
        None
    }
}

/// A head that cannot be parsed.
#[derive(Debug, Display, Error)]
#[display("the head is malformed")]
struct MalformedHead;

/// What a head says about the framing of its message.
#[derive(Debug)]
struct Head {
    /// The framing of the body; `None` if the head is of an interim answer, which the final one
    /// follows.
    body: Option<BodyFraming>,
    closes_connection: bool,
    kind: RequestKind,
}

impl Head {
    const UNKNOWN: Self = Self {
        body: Some(BodyFraming::UntilClose),
        closes_connection: true,
        kind: RequestKind::Plain,
    };

    fn parse(bytes: &[u8], direction: Direction) -> Result<Self, MalformedHead> {
        match direction {
            Direction::Request(_) => Self::parse_request(bytes),
            Direction::Answer(request) => Self::parse_answer(bytes, request),
        }
    }

    fn parse_request(bytes: &[u8]) -> Result<Self, MalformedHead> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let status = parsed.parse(bytes).map_err(|_| MalformedHead)?;
        if !status.is_complete() {
            return Err(MalformedHead);
        }
        let headers = FramingHeaders::read(parsed.headers, parsed.version);
        let kind = match parsed.method {
            Some("HEAD") => RequestKind::Head,
            Some("CONNECT") => RequestKind::Connect,
            _ => RequestKind::Plain,
        };
        let body = headers.body.unwrap_or(BodyFraming::Length(0));
        Ok(Self { body: Some(body), closes_connection: headers.closes_connection, kind })
    }

    fn parse_answer(bytes: &[u8], kind: RequestKind) -> Result<Self, MalformedHead> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = parsed.parse(bytes).map_err(|_| MalformedHead)?;
        if !status.is_complete() {
            return Err(MalformedHead);
        }
        let headers = FramingHeaders::read(parsed.headers, parsed.version);
        let body = match (parsed.code.unwrap_or_default(), kind) {
            (101, _) | (200..=299, RequestKind::Connect) => Some(BodyFraming::UntilClose),
            (100..=199, _) => None,
            (204 | 304, _) | (_, RequestKind::Head) => Some(BodyFraming::Length(0)),
            _ => Some(headers.body.unwrap_or(BodyFraming::UntilClose)),
        };
        Ok(Self { body, closes_connection: headers.closes_connection, kind })
    }
}

/// The headers that frame a message.
#[derive(Debug)]
struct FramingHeaders {
    /// The framing of the body; `None` if no header tells it.
    body: Option<BodyFraming>,
    closes_connection: bool,
}

impl FramingHeaders {
    fn read(lines: &[httparse::Header<'_>], version: Option<u8>) -> Self {
        let (mut length, mut is_encoded, mut is_chunked) = (None, false, false);
        let mut closes_connection = version == Some(0);
        for line in lines {
            if line.name.eq_ignore_ascii_case("content-length") {
                let value = content_length(line.value).unwrap_or(BodyFraming::UntilClose);
                let is_repeated = length.is_none_or(|length| length == value);
                length = Some(if is_repeated { value } else { BodyFraming::UntilClose });
            } else if line.name.eq_ignore_ascii_case("transfer-encoding") {
                is_encoded = true;
                let last = line.value.rsplit(|byte| *byte == b',').next().unwrap_or_default();
                is_chunked = last.trim_ascii().eq_ignore_ascii_case(b"chunked");
            } else if line.name.eq_ignore_ascii_case("connection") {
                closes_connection = closes_after(line.value, closes_connection);
            }
        }
        let body = match (is_encoded, is_chunked) {
            (_, true) => Some(BodyFraming::Chunked(ChunkedFraming::default())),
            (true, false) => Some(BodyFraming::UntilClose),
            (false, false) => length,
        };
        Self { body, closes_connection }
    }
}

fn content_length(value: &[u8]) -> Option<BodyFraming> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok().map(BodyFraming::Length)
}

/// Returns whether a `Connection` header closes the connection; `otherwise` if it does not say.
fn closes_after(value: &[u8], otherwise: bool) -> bool {
    let mut closes = otherwise;
    for option in value.split(|byte| *byte == b',').map(<[u8]>::trim_ascii) {
        if option.eq_ignore_ascii_case(b"close") {
            return true;
        }
        closes &= !option.eq_ignore_ascii_case(b"keep-alive");
    }
    closes
}
