//! The shared secret and the verification of received requests.

use crate::envelope::{Envelope, PROTOCOL_VERSION};
use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use sha2::Sha256;
use std::fmt;

/// HTTP header with the sender's protocol version.
pub const PROTOCOL_HEADER: HeaderName = HeaderName::from_static("mastbay-protocol");
/// HTTP header with the hex-encoded HMAC-SHA256 of the body under the shared secret.
pub const SIGNATURE_HEADER: HeaderName = HeaderName::from_static("mastbay-signature");

/// The secret shared by all processes of a fleet. Its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct PeerSecret(Hmac<Sha256>);

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret")
    }
}

/// The reason for which a received request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Error)]
pub enum ReceiveError {
    /// The protocol version is missing or differs from [`PROTOCOL_VERSION`].
    #[display("this process speaks peer protocol {PROTOCOL_VERSION} only")]
    WrongProtocol,
    /// The signature is missing or was made with another secret or for another body.
    #[display("the signature is missing or does not match")]
    BadSignature,
    /// The body cannot be decoded as an envelope.
    #[display("the message cannot be read")]
    Malformed,
    /// The envelope is addressed to another process.
    #[display("the message is meant for another process")]
    WrongReceiver,
}

impl ReceiveError {
    /// Returns the stable error code sent to the peer.
    pub fn code(self) -> &'static str {
        match self {
            ReceiveError::WrongProtocol => "wrong_protocol",
            ReceiveError::BadSignature => "bad_signature",
            ReceiveError::Malformed => "malformed_message",
            ReceiveError::WrongReceiver => "wrong_receiver",
        }
    }
}

impl PeerSecret {
    /// Creates the signing key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        // Cannot fail: HMAC accepts keys of any length.
        let keyed = Hmac::new_from_slice(secret.as_bytes());
        Self(keyed.unwrap_or_else(|_| Hmac::new(&Default::default())))
    }

    pub(crate) fn sign(&self, body: &[u8]) -> HeaderValue {
        let mut mac = self.0.clone();
        mac.update(body);
        let digits = hex::encode(mac.finalize().into_bytes());
        HeaderValue::from_str(&digits).unwrap_or_else(|_| HeaderValue::from_static(""))
    }

    fn verify(&self, body: &[u8], signature: &HeaderValue) -> bool {
        let Ok(signature) = hex::decode(signature.as_bytes()) else {
            return false;
        };
        let mut mac = self.0.clone();
        mac.update(body);
        mac.verify_slice(&signature).is_ok()
    }
}

/// Verifies the version and signature of a request, and decodes its envelope, which must be
/// addressed to `me`.
pub fn receive(
    secret: &PeerSecret,
    me: &mastbay_types::ProcessId,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Envelope, ReceiveError> {
    let protocol = headers.get(&PROTOCOL_HEADER).and_then(|value| value.to_str().ok());
    if protocol != Some(&*PROTOCOL_VERSION.to_string()) {
        return Err(ReceiveError::WrongProtocol);
    }
    let signature = headers.get(&SIGNATURE_HEADER).ok_or(ReceiveError::BadSignature)?;
    if !secret.verify(body, signature) {
        return Err(ReceiveError::BadSignature);
    }
    let envelope: Envelope = rmp_serde::from_slice(body).map_err(|_| ReceiveError::Malformed)?;
    if envelope.to != *me {
        return Err(ReceiveError::WrongReceiver);
    }
    Ok(envelope)
}
