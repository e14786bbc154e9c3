//! What can be wrong with a settings file.

use derive_more::{Display, Error};
use std::fmt;

/// What is wrong in one place.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// The key is not known in this section.
    #[display("unknown key; known here: {known}")]
    UnknownKey {
        /// The keys that may stand here.
        known: String,
    },
    /// The section is not known in this file.
    #[display("unknown section; known here: {known}")]
    UnknownSection {
        /// The sections that may stand here.
        known: String,
    },
    /// A key or section that must be there is missing.
    #[display("missing; expected {expected}")]
    Missing {
        /// What should stand there.
        expected: &'static str,
    },
    /// The value has the wrong form or is out of range.
    #[display("expected {expected}, found '{found}'")]
    Invalid {
        /// What should stand there.
        expected: String,
        /// What stands there.
        found: String,
    },
    /// The key or section stands more than once.
    #[display("stands more than once")]
    Duplicate,
    /// Refers to something that is not declared.
    #[display("no {kind} '{name}' is declared")]
    Dangling {
        /// The kind of thing referred to.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// Clashes with another declaration.
    #[display("'{value}' is already taken by [{other}]")]
    Taken {
        /// The value that stands twice.
        value: String,
        /// The section that has it too.
        other: String,
    },
}

/// A problem and its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file as given by the user.
    pub file: String,
    /// The section; empty for the part above the first section.
    pub section: String,
    /// The key, if the problem is with one.
    pub key: Option<String>,
    /// What is wrong.
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

/// All faults found, one line each when shown.
#[derive(Debug, Clone, PartialEq, Eq, Default, Error)]
pub struct Faults {
    /// The faults in the order in which they were found.
    pub list: Vec<Fault>,
}

impl Faults {
    /// `value` if nothing was found wrong, otherwise the faults.
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
