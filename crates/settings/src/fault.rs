//! Faults of settings files.

use derive_more::{Display, Error};
use std::fmt;

/// Kind of a fault.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// The key is not known in this section.
    #[display("unknown key; known here: {known}")]
    UnknownKey {
        /// The valid keys.
        known: String,
    },
    /// The section is not known in this file.
    #[display("unknown section; known here: {known}")]
    UnknownSection {
        /// The valid sections.
        known: String,
    },
    /// A required key or section is missing.
    #[display("missing; expected {expected}")]
    Missing {
        /// Description of valid values.
        expected: &'static str,
    },
    /// The value is malformed or out of range.
    #[display("expected {expected}, found '{found}'")]
    Invalid {
        /// Description of valid values.
        expected: String,
        /// The value found.
        found: String,
    },
    /// The key or section appears more than once.
    #[display("appears more than once")]
    Duplicate,
    /// A reference to something that is not declared.
    #[display("no {kind} '{name}' is declared")]
    Dangling {
        /// Kind of the referenced item.
        kind: &'static str,
        /// Name of the referenced item.
        name: String,
    },
    /// The value must be unique but another section has it too.
    #[display("'{value}' is already taken by [{other}]")]
    Taken {
        /// The duplicate value.
        value: String,
        /// The other section.
        other: String,
    },
}

/// A problem and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Path of the file as given by the user.
    pub file: String,
    /// Name of the section; empty for keys before the first section.
    pub section: String,
    /// The key; `None` if the fault concerns the whole section.
    pub key: Option<String>,
    /// Kind and details of the fault.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: [{}] ", self.file, self.section)?;
        if let Some(key) = &self.key {
            write!(formatter, "{key}: ")?;
        }
        write!(formatter, "{}", self.problem)
    }
}

/// All faults found, displayed as one line each.
#[derive(Debug, Clone, PartialEq, Eq, Default, Error)]
pub struct Faults {
    /// The faults in the order of detection.
    pub list: Vec<Fault>,
}

impl Faults {
    /// Returns `value` if it is present and there are no faults, otherwise the faults.
    pub fn into_result<T>(self, value: Option<T>) -> Result<T, Faults> {
        match value {
            Some(value) if self.list.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.list {
            writeln!(formatter, "{fault}")?;
        }
        Ok(())
    }
}
