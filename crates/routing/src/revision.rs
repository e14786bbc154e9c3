//! Revisions of a source that may come back from an older copy of itself.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A revision of a source. A restored source gives its numbers out again, so a number alone says nothing: whatever a later era tells is
/// newer than all of an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the source was restored; compared first.
    pub era: u64,
    /// The source's number within the era; 0 where nothing is known.
    pub number: u64,
}

impl Revision {
    /// A revision of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

/// A revision of a source that was never restored.
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

/// A text that is no revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a revision")]
pub struct ParseRevisionError;

impl FromStr for Revision {
    type Err = ParseRevisionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let parse = |part: &str| part.parse().map_err(|_| ParseRevisionError);
        Ok(Self { era: parse(era)?, number: parse(number)? })
    }
}
