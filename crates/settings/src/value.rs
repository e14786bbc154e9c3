//! Value types of settings.

use derive_more::{Display, Error};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Description of the valid values of a setting.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("expected {_0}")]
pub struct Expected(#[error(not(source))] pub String);

impl From<&str> for Expected {
    fn from(text: &str) -> Self {
        Expected(text.to_owned())
    }
}

/// A type that can be read from the text of a setting.
pub trait Value: Sized {
    /// Description of valid values for the error of a missing key.
    const EXPECTED: &'static str;

    /// Parses the value. Fails with a description of valid values.
    fn read(text: &str) -> Result<Self, Expected>;
}

impl Value for String {
    const EXPECTED: &'static str = "a text that is not empty";

    fn read(text: &str) -> Result<Self, Expected> {
        if text.is_empty() { Err(Self::EXPECTED.into()) } else { Ok(text.to_owned()) }
    }
}

impl Value for PathBuf {
    const EXPECTED: &'static str = "a path";

    fn read(text: &str) -> Result<Self, Expected> {
        if text.is_empty() { Err(Self::EXPECTED.into()) } else { Ok(PathBuf::from(text)) }
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an address such as 127.0.0.1:8080";

    fn read(text: &str) -> Result<Self, Expected> {
        text.parse().map_err(|_| Self::EXPECTED.into())
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "yes or no";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A whole number from `MIN` to `MAX`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bounded<const MIN: u64, const MAX: u64>(pub u64);

impl<const MIN: u64, const MAX: u64> Value for Bounded<MIN, MAX> {
    const EXPECTED: &'static str = "a whole number";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse() {
            Ok(number) if (MIN..=MAX).contains(&number) => Ok(Bounded(number)),
            _ => Err(Expected(format!("a whole number from {MIN} to {MAX}"))),
        }
    }
}

/// A duration from `MIN` to `MAX` milliseconds, written with its unit: `250ms`, `3s` or `2m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span<const MIN: u64, const MAX: u64>(pub Duration);

impl<const MIN: u64, const MAX: u64> Value for Span<MIN, MAX> {
    const EXPECTED: &'static str = "a time such as 250ms, 3s or 2m";

    fn read(text: &str) -> Result<Self, Expected> {
        let expected = || Expected(format!("a time from {MIN}ms to {MAX}ms, such as 250ms or 3s"));
        let millis = milliseconds(text).ok_or_else(expected)?;
        if !(MIN..=MAX).contains(&millis) {
            return Err(expected());
        }
        Ok(Span(Duration::from_millis(millis)))
    }
}

/// Parses a duration with unit. Returns milliseconds.
fn milliseconds(text: &str) -> Option<u64> {
    let unit_start = text.find(|symbol: char| !symbol.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let factor = match unit.trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor)
}

/// A name of a tenant, service, back end or zone: 1 to 63 letters, digits, `-`, `_` or `.`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name(pub String);

/// Maximum length of a name, in bytes.
const MAX_NAME_LEN: usize = 63;

impl Value for Name {
    const EXPECTED: &'static str = "a name of 1 to 63 letters, digits, '-', '_' or '.'";

    fn read(text: &str) -> Result<Self, Expected> {
        let is_allowed = |symbol: char| symbol.is_ascii_alphanumeric() || "-_.".contains(symbol);
        if text.is_empty() || text.len() > MAX_NAME_LEN || !text.chars().all(is_allowed) {
            return Err(Self::EXPECTED.into());
        }
        Ok(Name(text.to_owned()))
    }
}
