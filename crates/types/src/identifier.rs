//! Names and identifiers, each with a type of its own.

use derive_more::{Display, Error};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

macro_rules! name {
    ($(#[$documentation:meta])* $type:ident) => {
        $(#[$documentation])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
        #[derive(Serialize, Deserialize)]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }
    };
}

name!(
    /// A tenant's name as declared by the operators.
    TenantName
);
name!(
    /// A service's name as declared by the operators.
    ServiceName
);
name!(
    /// A back end's name as declared by the operators.
    BackendName
);
name!(
    /// A process of the fleet, named by its peer address (`ip:port`).
    ProcessId
);

/// Distinguishes the lives of one process: a restarted process has a higher one.
///
/// Production takes it from the wall clock in microseconds at start.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(pub u64);

/// A group of one service's back ends that one scheduler hands out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{service}/{index}")]
pub struct CellId {
    /// The service whose back ends the cell holds.
    pub service: ServiceName,
    /// Position among the cells of that service, from zero.
    pub index: u16,
}

/// An unguessable identifier of one request, 128 random bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(u128);

impl RequestId {
    /// Draws an identifier from `random`.
    pub fn generate(random: &mut impl Rng) -> Self {
        let high = u128::from(random.next_u64());
        let low = u128::from(random.next_u64());
        Self((high << 64) | low)
    }

    /// The identifier with this number. For simulations and tests only: it is guessable.
    pub const fn from_number(number: u128) -> Self {
        Self(number)
    }

    /// The identifier as a number.
    pub const fn as_number(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestId({self})")
    }
}

/// Text that is no request identifier.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a request id is 32 hexadecimal digits")]
pub struct ParseRequestIdError;

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, ParseRequestIdError> {
        if text.len() != 32 {
            return Err(ParseRequestIdError);
        }
        u128::from_str_radix(text, 16).map(RequestId).map_err(|_| ParseRequestIdError)
    }
}
