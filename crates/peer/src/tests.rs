//! Tests that requests with an invalid version, signature, body or receiver are rejected.

use crate::secret::{PROTOCOL_HEADER, SIGNATURE_HEADER};
use crate::{Envelope, Message, PeerSecret, ReceiveError, receive};
use hyper::header::{HeaderMap, HeaderValue};
use mastbay_configuration::Generation;
use mastbay_spread::SpreadMessage;
use mastbay_types::ProcessId;

fn envelope() -> (ProcessId, Vec<u8>, Envelope) {
    let me = ProcessId::from("127.0.0.1:1");
    let envelope = Envelope {
        from: ProcessId::from("127.0.0.1:2"),
        to: me.clone(),
        generation: Generation(3),
        messages: vec![Message::Spread(SpreadMessage::RootRequest { have: Generation(2) })],
    };
    let body = rmp_serde::to_vec(&envelope).expect("an envelope can be encoded");
    (me, body, envelope)
}

fn headers(protocol: &'static str, secret: &PeerSecret, body: &[u8]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(PROTOCOL_HEADER, HeaderValue::from_static(protocol));
    headers.insert(SIGNATURE_HEADER, secret.sign(body));
    headers
}

#[test]
fn only_a_signed_request_with_the_right_version_and_receiver_is_accepted() {
    let secret = PeerSecret::new("harbour");
    let (me, body, sent) = envelope();
    let valid = headers("1", &secret, &body);
    assert_eq!(receive(&secret, &me, &valid, &body), Ok(sent));

    let other_version = headers("2", &secret, &body);
    assert_eq!(receive(&secret, &me, &other_version, &body), Err(ReceiveError::WrongProtocol));

    let other_secret = headers("1", &PeerSecret::new("river"), &body);
    assert_eq!(receive(&secret, &me, &other_secret, &body), Err(ReceiveError::BadSignature));

    let mut unsigned = valid.clone();
    unsigned.remove(SIGNATURE_HEADER);
    assert_eq!(receive(&secret, &me, &unsigned, &body), Err(ReceiveError::BadSignature));

    let malformed = b"noise";
    let signed_malformed = headers("1", &secret, malformed);
    assert_eq!(receive(&secret, &me, &signed_malformed, malformed), Err(ReceiveError::Malformed));

    let another = ProcessId::from("127.0.0.1:9");
    assert_eq!(receive(&secret, &another, &valid, &body), Err(ReceiveError::WrongReceiver));
}
