//! Compact identifiers of engines in messages between routers.

use crate::back_end::BackEndId;
use derive_more::{Display, Error};
use mastbay_types::short_hash;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Identifies an incarnation of an engine in messages between routers: a 32-bit hash of its id,
/// which is smaller and faster to compare. The loads of engines with colliding hashes are added up.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display,
)]
#[display("{_0:08x}")]
pub struct EngineKey(u32);

/// Error for a string that is not a number of up to eight hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an engine key is a number of up to eight hexadecimal digits")]
pub struct ParseEngineKeyError;

impl FromStr for EngineKey {
    type Err = ParseEngineKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u32::from_str_radix(text, 16).map(Self).map_err(|_| ParseEngineKeyError)
    }
}

impl From<&BackEndId> for EngineKey {
    fn from(id: &BackEndId) -> Self {
        Self(match id.incarnation {
            0 => short_hash(&[id.name.as_bytes()]),
            incarnation => short_hash(&[id.name.as_bytes(), &incarnation.to_be_bytes()]),
        })
    }
}

impl EngineKey {
    /// Returns the hash in big-endian order, as input to further hashing.
    pub fn to_bytes(self) -> [u8; 4] {
        self.0.to_be_bytes()
    }

    /// Returns the partition that the engine belongs to when engines are split into `parts`.
    pub fn part(self, parts: u32) -> u32 {
        self.0 % parts.max(1)
    }
}
