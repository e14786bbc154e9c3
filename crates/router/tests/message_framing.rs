//! The ends of messages that are copied without being parsed further.

use mastbay_router::message_framing::MessageProgress::{Ended, NotBegun, UnderWay, UntilClose};
use mastbay_router::message_framing::{MessageFraming, MessageProgress, RequestKind};
use quickcheck::{QuickCheck, TestResult};

const POST: &str = "POST /x HTTP/1.1\r\nhost: a\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\n";

fn request(text: &str) -> (MessageProgress, usize) {
    advance(MessageFraming::request(), text)
}

fn answer(text: &str) -> (MessageProgress, usize) {
    answer_to(RequestKind::Plain, text)
}

fn answer_to(kind: RequestKind, text: &str) -> (MessageProgress, usize) {
    advance(MessageFraming::answer_to(kind), text)
}

fn advance(mut framing: MessageFraming, text: &str) -> (MessageProgress, usize) {
    let read = framing.advance(text.as_bytes());
    (framing.progress(), read)
}

/// Messages with their kinds of framing, each with the start of another message after it.
fn messages() -> Vec<(MessageFraming, String, usize)> {
    let chunks = "5\r\nfirst\r\n1a;name=value\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n";
    let trailers = "a\r\n0123456789\r\n00\r\nname: value\r\nother: \r\n\r\n";
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nname: value\r\n\r\n";
    let plain = RequestKind::Plain;
    let request = MessageFraming::request;
    let answer = || MessageFraming::answer_to(plain);
    let whole = [
        (request(), format!("{POST}\r\n")),
        (request(), format!("\r\n\r\n{POST}\r\n")),
        (request(), "GET / HTTP/1.1\nhost: a\n\n".to_owned()),
        (request(), format!("{POST}content-length: 12\r\n\r\n\r\n\r\nquestion")),
        (request(), format!("{POST}Transfer-Encoding: gzip, Chunked\r\n\r\n{chunks}")),
        (request(), format!("{POST}transfer-encoding: chunked\r\n\r\n{trailers}")),
        (answer(), format!("{OK}content-length: 5\r\n\r\nwhole")),
        (answer(), format!("{OK}transfer-encoding: chunked\r\n\r\n{chunks}")),
        (answer(), format!("{interim}{OK}transfer-encoding: chunked\r\n\r\n{trailers}")),
        (answer(), "HTTP/1.1 204 No Content\r\ncontent-length: 9\r\n\r\n".to_owned()),
        (answer(), "HTTP/1.1 304 Not Modified\r\ntransfer-encoding: chunked\r\n\r\n".to_owned()),
        (
            MessageFraming::answer_to(RequestKind::Head),
            format!("{interim}{OK}content-length: 9\r\n\r\n"),
        ),
    ];
    let with_next = |(framing, text): (MessageFraming, String)| {
        let length = text.len();
        (framing, text + "HTTP/1.1 200 OK\r\n5\r\nnext", length)
    };
    whole.map(with_next).into()
}

#[test]
fn the_end_of_each_kind_of_message_is_found() {
    for (mut framing, text, length) in messages() {
        assert_eq!(framing.advance(text.as_bytes()), length, "{text}");
        assert_eq!(framing.progress(), Ended, "{text}");
    }
}

#[test]
fn a_message_without_its_last_byte_has_not_ended() {
    for (mut framing, text, length) in messages() {
        assert_eq!(framing.progress(), NotBegun);
        assert_eq!(framing.advance(&text.as_bytes()[..length - 1]), length - 1, "{text}");
        assert_eq!(framing.progress(), UnderWay, "{text}");
    }
}

#[test]
fn any_split_gives_the_result_of_one_piece() {
    fn property(splits: Vec<usize>, kind: usize) -> TestResult {
        let mut all = messages();
        let (mut framing, text, length) = all.swap_remove(kind % all.len());
        let mut splits: Vec<usize> = splits.iter().map(|split| split % length).collect();
        splits.extend([0, text.len()]);
        splits.sort_unstable();
        let read =
            splits.windows(2).map(|ends| framing.advance(&text.as_bytes()[ends[0]..ends[1]]));
        let read: usize = read.sum();
        TestResult::from_bool(read == length && framing.progress() == Ended)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<usize>, usize) -> TestResult);
}

#[test]
fn each_byte_alone_gives_the_result_of_one_piece() {
    for (mut framing, text, length) in messages() {
        let read: usize = text.as_bytes().chunks(1).map(|byte| framing.advance(byte)).sum();
        assert_eq!((read, framing.progress()), (length, Ended), "{text}");
    }
}

#[test]
fn arbitrary_bytes_neither_panic_nor_read_beyond_their_length() {
    fn property(bytes: Vec<u8>, is_request: bool) -> bool {
        let framing = || match is_request {
            true => MessageFraming::request(),
            false => MessageFraming::answer_to(RequestKind::Plain),
        };
        let heads = [Vec::new(), format!("{POST}transfer-encoding: chunked\r\n\r\n").into_bytes()];
        heads.into_iter().all(|mut text| {
            text.extend_from_slice(&bytes);
            let (mut whole, mut split) = (framing(), framing());
            let read = whole.advance(&text);
            let read_split: usize = text.chunks(1).map(|byte| split.advance(byte)).sum();
            read <= text.len() && read == read_split && whole.progress() == split.progress()
        })
    }
    QuickCheck::new().tests(5_000).quickcheck(property as fn(Vec<u8>, bool) -> bool);
}

#[test]
fn messages_of_unknown_framing_last_until_their_connection_closes() {
    let requests = [
        "no request\r\n\r\n".to_owned(),
        format!("{POST}transfer-encoding: gzip\r\n\r\n"),
        format!("{POST}content-length: -1\r\n\r\n"),
        format!("{POST}content-length: 1\r\ncontent-length: 2\r\n\r\n"),
        format!("{POST}transfer-encoding: chunked\r\n\r\nx\r\n"),
        format!("{POST}transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n"),
        format!("{POST}{}\r\n", "name: value\r\n".repeat(200)),
        format!("{POST}name: {}", "x".repeat(70_000)),
    ];
    for text in requests {
        assert_eq!(request(&text), (UntilClose, text.len()), "{text}");
    }
    let answers = [
        format!("{OK}\r\nbody"),
        format!("{OK}content-length: some\r\n\r\nbody"),
        "HTTP/1.1 101 Switching Protocols\r\n\r\nbytes".to_owned(),
        "no answer\r\n\r\n".to_owned(),
    ];
    for text in answers {
        assert_eq!(answer(&text), (UntilClose, text.len()), "{text}");
    }
    let text = format!("{OK}content-length: 0\r\n\r\nbytes");
    assert_eq!(answer_to(RequestKind::Connect, &text), (UntilClose, text.len()));
}

#[test]
fn an_equal_length_may_be_repeated() {
    let text = format!("{POST}content-length: 2\r\ncontent-length: 2\r\n\r\n{{}}");
    assert_eq!(request(&text), (Ended, text.len()));
}

#[test]
fn the_method_of_a_request_is_known_after_its_head() {
    for (method, kind) in [
        ("HEAD", RequestKind::Head),
        ("CONNECT", RequestKind::Connect),
        ("GET", RequestKind::Plain),
    ] {
        let mut framing = MessageFraming::request();
        framing.advance(format!("{method} /x HTTP/1.1\r\nhost: a\r\n\r\n").as_bytes());
        assert_eq!(framing.request_kind(), kind);
    }
}

#[test]
fn an_answer_tells_whether_its_connection_closes() {
    let cases = [
        ("HTTP/1.1", "", false),
        ("HTTP/1.1", "Connection: Close\r\n", true),
        ("HTTP/1.1", "connection: x-name, close\r\n", true),
        ("HTTP/1.1", "connection: keep-alive\r\n", false),
        ("HTTP/1.0", "", true),
        ("HTTP/1.0", "connection: keep-alive\r\n", false),
    ];
    for (version, line, closes) in cases {
        let mut framing = MessageFraming::answer_to(RequestKind::Plain);
        framing.advance(format!("{version} 200 OK\r\n{line}content-length: 0\r\n\r\n").as_bytes());
        assert_eq!(framing.closes_connection(), closes, "{version} {line}");
    }
}
