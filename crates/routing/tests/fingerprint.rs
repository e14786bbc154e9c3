//! Fingerprints identify requests by their content and are parsed back from their text form.

use mastbay_routing::{RequestFingerprint, RequestIdentity};
use quickcheck::quickcheck;

const REQUEST: RequestIdentity<'static> = RequestIdentity {
    tenant: Some("a"),
    method: "POST",
    host: "h",
    target: "/p/1?q=2",
    body: b"body",
};

#[test]
fn each_part_of_the_identity_distinguishes_requests() {
    let others = [
        RequestIdentity { tenant: None, ..REQUEST },
        RequestIdentity { tenant: Some("b"), ..REQUEST },
        RequestIdentity { method: "GET", ..REQUEST },
        RequestIdentity { host: "i", ..REQUEST },
        RequestIdentity { target: "/p/1?q=3", ..REQUEST },
        RequestIdentity { body: b"", ..REQUEST },
        RequestIdentity { method: "POSTh", host: "", ..REQUEST },
    ];
    let fingerprint = RequestFingerprint::of(&REQUEST);
    assert_eq!(fingerprint, RequestFingerprint::of(&REQUEST.clone()));
    for other in &others {
        assert_ne!(fingerprint, RequestFingerprint::of(other), "{other:?}");
    }
}

quickcheck! {
    fn a_fingerprint_round_trips_through_its_text(body: Vec<u8>) -> bool {
        let fingerprint = RequestFingerprint::of(&RequestIdentity { body: &body, ..REQUEST });
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn no_other_text_is_a_fingerprint(text: String) -> bool {
        let is_one = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        text.parse::<RequestFingerprint>().is_ok() == is_one
    }
}
