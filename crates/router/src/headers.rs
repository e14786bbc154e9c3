//! Hop-by-hop headers and message framing.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};

/// Removes the hop-by-hop headers, those named by `Connection`, and `Content-Length`.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, CONTENT_LENGTH] {
        headers.remove(name);
    }
    for name in
        ["keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "expect"]
    {
        headers.remove(name);
    }
}

/// Returns whether the message is framed by a length or by chunks. A message that ends when its
/// connection closes may have been truncated.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Copies the values of headers, so that they no longer refer to the buffer they were read into.
pub fn copy_values(headers: &mut HeaderMap) {
    for value in headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
}
