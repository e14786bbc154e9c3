//! Newtypes for names and identifiers.

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
            /// Returns the name as text.
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
    /// Name of a tenant, as declared by the operators.
    TenantName
);
name!(
    /// Name of a service, as declared by the operators.
    ServiceName
);
name!(
    /// Name of a back end, as declared by the operators.
    BackendName
);
name!(
    /// A process of the fleet, identified by its peer address (`ip:port`).
    ProcessId
);

/// Incarnation number of a process: increases with every restart.
///
/// In production it is the wall-clock time at startup, in microseconds.
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

/// A group of back ends of one service that are assigned by one scheduler.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{service}/{index}")]
pub struct CellId {
    /// The service of the back ends.
    pub service: ServiceName,
    /// Zero-based position among the cells of that service.
    pub index: u16,
}

/// An unguessable identifier of one request, 128 random bits, written as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(u128);

impl RequestId {
    /// Generates an identifier from `random`.
    pub fn generate(random: &mut impl Rng) -> Self {
        let high = u128::from(random.next_u64());
        let low = u128::from(random.next_u64());
        Self((high << 64) | low)
    }

    /// Creates the identifier with this number. For simulations and tests only, as it is guessable.
    pub const fn from_number(number: u128) -> Self {
        Self(number)
    }

    /// Returns the identifier as a number.
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

/// Error for text that is not a request identifier.
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
