//! Heads of requests.

use crate::headers::copy_values;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};

/// A head with more header lines is not parsed.
const MAX_HEADERS: usize = 64;

/// Parses the head at the beginning of `bytes`, which another router will serve. Returns `None` if it is incomplete or
/// malformed.
pub fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
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

/// Copies what refers to the buffer that the head was read into, which is several times as large and
/// would be kept for as long as the request.
pub fn detach_from_read_buffer(head: &mut Parts) {
    copy_values(&mut head.headers);
    if let Ok(uri) = head.uri.to_string().parse() {
        head.uri = uri;
    }
}

/// Returns the value of the `Host` header, or an empty string if it is absent or not text.
pub fn host(head: &Parts) -> &str {
    head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}
