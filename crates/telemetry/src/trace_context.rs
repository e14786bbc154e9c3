//! W3C trace context: the `traceparent` header, version 00.

use derive_more::{Display, Error};
use rand::Rng;
use std::fmt;
use std::str::FromStr;

/// A span's identity and sampling flag, as sent between hops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// Trace id, never zero.
    pub trace: u128,
    /// Span id, never zero.
    pub span: u64,
    /// Whether the sender records the trace.
    pub sampled: bool,
}

impl TraceContext {
    /// Creates the root span's context of a new trace, which is sampled.
    pub fn new_root(random: &mut impl Rng) -> Self {
        let trace = (u128::from(random.next_u64()) << 64) | u128::from(random.next_u64() | 1);
        Self { trace, span: random.next_u64() | 1, sampled: true }
    }

    /// Creates the context of a new span within the same trace.
    pub fn child(self, random: &mut impl Rng) -> Self {
        Self { span: random.next_u64() | 1, ..self }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(formatter, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

/// The text is not a valid `traceparent` of version 00.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("not a traceparent of version 00")]
pub struct ParseTraceContextError;

impl FromStr for TraceContext {
    type Err = ParseTraceContextError;

    fn from_str(text: &str) -> Result<Self, ParseTraceContextError> {
        let mut fields = text.split('-');
        let version = fields.next().ok_or(ParseTraceContextError)?;
        let trace = hexadecimal(fields.next(), 32)?;
        let span = hexadecimal(fields.next(), 16)?;
        let flags = hexadecimal(fields.next(), 2)?;
        let supported = version == "00" && fields.next().is_none();
        let span = u64::try_from(span).map_err(|_| ParseTraceContextError)?;
        if !supported || trace == 0 || span == 0 {
            return Err(ParseTraceContextError);
        }
        Ok(Self { trace, span, sampled: flags & 1 == 1 })
    }
}

fn hexadecimal(field: Option<&str>, digits: usize) -> Result<u128, ParseTraceContextError> {
    let field = field.filter(|field| field.len() == digits).ok_or(ParseTraceContextError)?;
    let is_lower_hex = |symbol: char| symbol.is_ascii_digit() || ('a'..='f').contains(&symbol);
    if !field.chars().all(is_lower_hex) {
        return Err(ParseTraceContextError);
    }
    u128::from_str_radix(field, 16).map_err(|_| ParseTraceContextError)
}
