//! Whether a dependency answers, as far as this router's own calls tell.

use crate::events;
use std::fmt::Display;

/// Follows the results of calls to a dependency and logs each change.
#[derive(Debug)]
pub struct Availability {
    name: &'static str,
    is_available: bool,
}

impl Availability {
    /// Starts with a dependency that is expected to answer.
    pub fn new(name: &'static str) -> Self {
        Self { name, is_available: true }
    }

    /// Records the result of a call.
    pub fn observe<T, E: Display>(&mut self, result: &Result<T, E>) {
        if self.is_available != result.is_ok() {
            self.is_available = result.is_ok();
            let detail = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
            events::dependency(self.name, self.is_available, &detail);
        }
    }
}
