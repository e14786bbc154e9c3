//! Fingerprints that recognize repetitions of a request, which differ only in the request id.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// The parts of a request that repetitions have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// Tenant; `None` for a request without a key.
    pub tenant: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Hash of a request's identity: the first 128 bits of SHA-256, as two numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u64, u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let RequestIdentity { tenant, method, host, target, body } = identity;
        let mut hash = Sha256::new();
        hash.update([u8::from(tenant.is_some())]);
        for part in [tenant.unwrap_or_default(), method, host, target] {
            // The length prefix keeps different identities from yielding the same bytes.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let hash = hash.finalize();
        let half = |from: usize| {
            hash[from..from + 8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Self(half(0), half(8))
    }

    /// Returns both halves.
    pub(crate) fn halves(self) -> (u64, u64) {
        (self.0, self.1)
    }

    pub(crate) fn from_halves(first: u64, second: u64) -> Self {
        Self(first, second)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.0, self.1)
    }
}

/// Error for a string that is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a fingerprint is 32 hexadecimal digits")]
pub struct ParseFingerprintError;

impl FromStr for RequestFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        let half = |part: &str| {
            u64::from_str_radix(part, 16)
                .map_err(|_: std::num::ParseIntError| ParseFingerprintError)
        };
        Ok(Self(half(&text[..16])?, half(&text[16..])?))
    }
}
