//! Parsed INI files and the readers of their sections.

use crate::fault::{Fault, Faults, Problem};
use crate::value::Value;
use derive_more::{Display, Error};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;
use std::path::Path;

/// Error of reading or parsing a file.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file could not be opened or is not UTF-8 text.
    #[display("{file}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[display("{file}: not in INI form: {source}")]
    Syntax {
        /// The file.
        file: String,
        /// The cause, with line and column.
        source: ini::ParseError,
    },
}

#[derive(Debug, Clone)]
struct Section {
    name: String,
    entries: BTreeMap<String, Vec<String>>,
}

/// An INI file in memory.
#[derive(Debug, Clone)]
pub struct Document {
    file: String,
    sections: Vec<Section>,
}

impl Document {
    /// Reads and parses a file.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(LoadError::Unreadable { file, source }),
        }
    }

    /// Parses INI text; `file` is named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, LoadError> {
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|source| LoadError::Syntax { file: file.to_owned(), source })?;
        let mut sections: Vec<Section> = Vec::new();
        for (name, properties) in &ini {
            let mut entries: BTreeMap<String, Vec<String>> = BTreeMap::new();
            for (key, value) in properties.iter() {
                entries.entry(key.to_owned()).or_default().push(value.trim().to_owned());
            }
            let is_empty_general = name.is_none() && entries.is_empty();
            if !is_empty_general {
                sections.push(Section { name: name.unwrap_or_default().to_owned(), entries });
            }
        }
        Ok(Self { file: file.to_owned(), sections })
    }

    /// Returns the name of the file as shown in errors.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the names of the sections in file order, including duplicates.
    pub fn section_names(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().map(|section| section.name.as_str())
    }

    /// Records a fault for each unknown and each duplicate section.
    pub fn check_sections(&self, known: &[&str], faults: &mut Faults) {
        let mut seen: Vec<&str> = Vec::new();
        for name in self.section_names() {
            if !known.contains(&name) {
                let known = known.join(", ");
                self.note(faults, name, Problem::UnknownSection { known });
            } else if seen.contains(&name) {
                self.note(faults, name, Problem::Duplicate);
            }
            seen.push(name);
        }
    }

    /// Records a fault of a whole section.
    pub fn note(&self, faults: &mut Faults, section: &str, problem: Problem) {
        let fault =
            Fault { file: self.file.clone(), section: section.to_owned(), key: None, problem };
        faults.list.push(fault);
    }

    /// Returns a reader of the section `name`. A missing section reads as an empty one.
    pub fn section<'a>(&'a self, name: &'a str, faults: &'a mut Faults) -> SectionReader<'a> {
        let entries =
            self.sections.iter().find(|section| section.name == name).map(|found| &found.entries);
        SectionReader { file: &self.file, name, entries, known: Vec::new(), faults }
    }
}

/// Reads the keys of one section and collects their faults.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    entries: Option<&'a BTreeMap<String, Vec<String>>>,
    known: Vec<&'static str>,
    faults: &'a mut Faults,
}

impl SectionReader<'_> {
    /// Reads a required key. Returns `None` and records a fault if it is missing or invalid.
    pub fn required<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let before = self.faults.list.len();
        let value = self.optional(key);
        if value.is_none() && self.faults.list.len() == before {
            self.fault(key, Problem::Missing { expected: T::EXPECTED });
        }
        value
    }

    /// Reads an optional key. Returns `None` if it is missing, or if it is invalid, with a fault.
    pub fn optional<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let text = self.text(key)?.to_owned();
        match T::read(&text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(key, Problem::Invalid { expected: expected.0, found: text });
                None
            }
        }
    }

    /// Reads a key with a default, which is also returned for an invalid value, with a fault.
    pub fn or<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// Reads a comma-separated list, which is empty if the key is missing. Invalid items are left
    /// out, with a fault for each.
    pub fn list<T: Value>(&mut self, key: &'static str) -> Vec<T> {
        let Some(text) = self.text(key).map(str::to_owned) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in text.split(',').map(str::trim) {
            match T::read(item) {
                Ok(value) => values.push(value),
                Err(expected) => {
                    let found = item.to_owned();
                    self.fault(key, Problem::Invalid { expected: expected.0, found });
                }
            }
        }
        values
    }

    /// Records a fault of one key.
    pub fn fault(&mut self, key: &str, problem: Problem) {
        self.faults.list.push(Fault {
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: Some(key.to_owned()),
            problem,
        });
    }

    /// Records a fault for each key of the section that was never read.
    pub fn finish(mut self) {
        let Some(entries) = self.entries else { return };
        let known = self.known.join(", ");
        for key in entries.keys().filter(|key| !self.known.contains(&key.as_str())) {
            let problem = Problem::UnknownKey { known: known.clone() };
            let (file, section) = (self.file.to_owned(), self.name.to_owned());
            self.faults.list.push(Fault { file, section, key: Some(key.clone()), problem });
        }
        self.known.clear();
    }

    fn text(&mut self, key: &'static str) -> Option<&str> {
        self.known.push(key);
        let values = self.entries?.get(key)?;
        if values.len() > 1 {
            self.fault(key, Problem::Duplicate);
        }
        values.first().map(String::as_str)
    }
}
