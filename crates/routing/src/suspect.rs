//! What may be the cause of crashes of back ends.

use crate::fingerprint::{ParseFingerprintError, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// First half of the 128-bit form of a prompt part; the second half is its id. The hash of a request
/// begins with these bits with a probability of 2^-64.
const PROMPT_PART_MARK: u64 = 0x7072_6f6d_7074_0001;

/// Something that may crash each back end that runs it. Its 128-bit form, in messages and as the
/// name of an archived entry, is that of a request's fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "RequestFingerprint", into = "RequestFingerprint")]
pub enum Suspect {
    /// A request and its repetitions.
    Request(RequestFingerprint),
    /// A part of prompts, by its id, whatever else the requests hold.
    PromptPart(u64),
}

impl Suspect {
    /// Returns 64 bits for hashing and drawing.
    pub fn short(self) -> u64 {
        match self {
            Self::Request(fingerprint) => fingerprint.halves().0,
            Self::PromptPart(id) => id,
        }
    }

    /// Returns whether it is a part of prompts.
    pub fn is_prompt_part(self) -> bool {
        matches!(self, Self::PromptPart(_))
    }

    /// Returns the name of its kind in logs.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::PromptPart(_) => "prompt_part",
        }
    }
}

impl From<RequestFingerprint> for Suspect {
    fn from(fingerprint: RequestFingerprint) -> Self {
        match fingerprint.halves() {
            (PROMPT_PART_MARK, id) => Self::PromptPart(id),
            _ => Self::Request(fingerprint),
        }
    }
}

impl From<Suspect> for RequestFingerprint {
    fn from(suspect: Suspect) -> Self {
        match suspect {
            Suspect::Request(fingerprint) => fingerprint,
            Suspect::PromptPart(id) => Self::from_halves(PROMPT_PART_MARK, id),
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        RequestFingerprint::from(*self).fmt(formatter)
    }
}

impl FromStr for Suspect {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse::<RequestFingerprint>().map(Self::from)
    }
}
