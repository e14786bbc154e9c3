//! Revisions of a source that may be restored from a backup.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A revision of a source. A restored source reuses revision numbers, so revisions are ordered by
/// era first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of times the source was restored; compared first.
    pub era: u64,
    /// Revision number within the era; 0 if nothing is known.
    pub number: u64,
}

impl Revision {
    /// Creates a revision of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// Creates a revision of a source that was never restored.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}.{}", self.number),
        }
    }
}

/// Error for a string that is neither `number` nor `era.number`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a revision is a number, or an era and a number joined by a dot")]
pub struct ParseRevisionError;

impl FromStr for Revision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let parse = |part: &str| part.parse().map_err(|_| ParseRevisionError);
        Ok(Self { era: parse(era)?, number: parse(number)? })
    }
}
