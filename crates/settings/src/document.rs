//! An INI file and the readers of its sections.

use crate::fault::{Fault, Faults, Problem};
use crate::value::Value;
use derive_more::{Display, Error};
use ini::{Ini, ParseOption};
use std::collections::BTreeMap;
use std::path::Path;

/// Why a file could not be read at all.
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
    /// The file is not in INI form.
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
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(LoadError::Unreadable { file, source }),
        }
    }

    /// Reads INI text; `file` is used in errors.
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
            let general_and_empty = name.is_none() && entries.is_empty();
            if !general_and_empty {
                sections.push(Section { name: name.unwrap_or_default().to_owned(), entries });
            }
        }
        Ok(Self { file: file.to_owned(), sections })
    }

    /// The file's name as used in errors.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Names of the sections in the order of the file, repeated where they stand twice.
    pub fn section_names(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().map(|section| section.name.as_str())
    }

    /// Notes a fault for each section that `known` does not list and for each that stands twice.
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

    /// Notes a fault with a whole section.
    pub fn note(&self, faults: &mut Faults, section: &str, problem: Problem) {
        let fault =
            Fault { file: self.file.clone(), section: section.to_owned(), key: None, problem };
        faults.list.push(fault);
    }

    /// A reader of the section `name`, which is empty if it does not stand in the file.
    pub fn section<'a>(&'a self, name: &'a str, faults: &'a mut Faults) -> SectionReader<'a> {
        let entries =
            self.sections.iter().find(|section| section.name == name).map(|found| &found.entries);
        SectionReader { file: &self.file, name, entries, known: Vec::new(), faults }
    }
}

/// Reads the keys of one section and collects what is wrong with them.
#[derive(Debug)]
pub struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    entries: Option<&'a BTreeMap<String, Vec<String>>>,
    known: Vec<&'static str>,
    faults: &'a mut Faults,
}

impl SectionReader<'_> {
    /// A key that must be there.
    pub fn required<T: Value>(&mut self, key: &'static str) -> Option<T> {
        let before = self.faults.list.len();
        let value = self.optional(key);
        if value.is_none() && self.faults.list.len() == before {
            self.fault(key, Problem::Missing { expected: T::EXPECTED });
        }
        value
    }

    /// A key that may be left out.
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

    /// A key that has a default; also given where the value is faulty, so that reading goes on.
    pub fn or<T: Value>(&mut self, key: &'static str, default: T) -> T {
        self.optional(key).unwrap_or(default)
    }

    /// A comma-separated list; empty if the key is left out.
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

    /// Notes a fault with one key.
    pub fn fault(&mut self, key: &str, problem: Problem) {
        self.faults.list.push(Fault {
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: Some(key.to_owned()),
            problem,
        });
    }

    /// Notes a fault for each key that was never asked for.
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
