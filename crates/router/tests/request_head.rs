//! Heads of requests on connections that are copied.

use mastbay_router::request_head::{host, parse_head};
use quickcheck::quickcheck;

#[test]
fn a_whole_head_tells_its_target_and_host() {
    let head = parse_head(b"POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nA: 1\r\n\r\nbody");
    let head = head.expect("whole");
    assert_eq!((head.uri.path(), host(&head)), ("/a/b", "x.example"));
    assert_eq!(head.headers["a"], "1");
}

#[test]
fn what_is_no_whole_head_tells_nothing() {
    for bytes in [
        "",
        "POST /a HT",
        "POST /a HTTP/1.1\r\nHost: x\r\n",
        "\u{1}\r\n\r\n",
        "GET  HTTP/1.1\r\n\r\n",
    ] {
        assert!(parse_head(bytes.as_bytes()).is_none(), "{bytes:?}");
    }
}

quickcheck! {
    fn no_bytes_are_too_odd(bytes: Vec<u8>) -> bool {
        parse_head(&bytes);
        true
    }
}
