//! Parsing of request heads on forwarded connections.

use mastbay_router::request_head::{host, parse_head};
use quickcheck::quickcheck;

#[test]
fn a_complete_head_has_its_target_and_host() {
    let head = parse_head(b"POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nA: 1\r\n\r\nbody");
    let head = head.expect("complete");
    assert_eq!((head.uri.path(), host(&head)), ("/a/b", "x.example"));
    assert_eq!(head.headers["a"], "1");
}

#[test]
fn an_incomplete_or_malformed_head_is_not_parsed() {
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
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        parse_head(&bytes);
        true
    }
}
