//! Headers that concern one connection or one message only.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Removes what concerns one connection only.
pub fn keep_end_to_end(headers: &mut HeaderMap) {
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

/// Whether an answer tells its own end. One that ends with its connection may have been cut.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
