//! The head of a request that still lies unread on its connection.

use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use smol::net::TcpStream;

/// Bytes that are looked at. A longer head is taken as one that can't be read.
const PEEKED: usize = 4 << 10;
/// Header lines that are looked at.
const MOST_HEADERS: usize = 64;

/// Waits until a request begins to come and looks at it without taking it off the connection: it can still be served, copied or
/// closed unread. Gives its head if that is there whole; `Ok(None)` if it is not.
///
/// # Errors
/// If the connection has ended before.
pub async fn peek_request(stream: &TcpStream) -> std::io::Result<Option<Parts>> {
    let mut buffer = vec![0; PEEKED];
    let length = stream.peek(&mut buffer).await?;
    if length == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(parse_head(&buffer[..length]))
}

/// The head of the request that `bytes` begin with, if it is whole and well formed.
pub fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    if !parsed.parse(bytes).ok()?.is_complete() {
        return None;
    }
    let mut head = Request::new(()).into_parts().0;
    head.method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    head.uri = parsed.path?.parse::<Uri>().ok()?;
    head.headers = headers(parsed.headers)?;
    Some(head)
}

fn headers(lines: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    Some(headers)
}

/// The host that a head names, empty if none.
pub fn host(head: &Parts) -> &str {
    head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}
