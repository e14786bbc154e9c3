//! Loads and validates a directory of INI files.

use crate::fleet::{
    Backend, ClaimPolicy, FleetConfiguration, KeyDigest, Service, ServiceKind, Tenant,
};
use derive_more::{Display, Error};
use mastbay_settings::{
    Bounded, Document, Expected, Faults, LoadError, Name, Problem, SectionReader, Span, Value,
};
use mastbay_types::{BackendName, ServiceName, TenantName, Weight};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Error of loading a configuration.
#[derive(Debug, Display, Error)]
pub enum DirectoryError {
    /// The directory could not be listed.
    #[display("{}: cannot be listed: {source}", path.display())]
    Unlistable {
        /// The directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The directory contains no `.ini` file.
    #[display("{}: holds no .ini file", path.display())]
    Empty {
        /// The directory.
        path: PathBuf,
    },
    /// A file could not be read.
    #[display("{_0}")]
    File(LoadError),
    /// The files have faults.
    #[display("{_0}")]
    Faults(Faults),
}

const DEFAULT_MAX_WAITING: u64 = 10_000;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Loads all `.ini` files of a directory, sorted by name, as one configuration.
pub fn load_directory(path: &Path) -> Result<FleetConfiguration, DirectoryError> {
    let unlistable = |source| DirectoryError::Unlistable { path: path.to_path_buf(), source };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(unlistable)? {
        let file = entry.map_err(unlistable)?.path();
        if file.extension().is_some_and(|extension| extension == "ini") {
            files.push(file);
        }
    }
    if files.is_empty() {
        return Err(DirectoryError::Empty { path: path.to_path_buf() });
    }
    files.sort();
    let documents = files
        .iter()
        .map(|file| Document::load(file))
        .collect::<Result<Vec<_>, _>>()
        .map_err(DirectoryError::File)?;
    load_documents(&documents).map_err(DirectoryError::Faults)
}

/// Loads documents as one configuration.
pub fn load_documents(documents: &[Document]) -> Result<FleetConfiguration, Faults> {
    let mut loader = Loader::default();
    for document in documents {
        loader.read(document);
    }
    loader.check_references();
    loader.faults.into_result(Some(loader.configuration))
}

/// Location of a declaration, for faults detected after reading.
#[derive(Debug, Clone)]
struct Declaration<'a> {
    document: &'a Document,
    section: String,
}

#[derive(Default)]
struct Loader<'a> {
    configuration: FleetConfiguration,
    faults: Faults,
    sections: BTreeMap<String, Declaration<'a>>,
    /// Section of each value that must be unique, by key and value.
    unique_values: BTreeMap<(&'static str, String), String>,
}

impl<'a> Loader<'a> {
    fn read(&mut self, document: &'a Document) {
        for section in document.section_names() {
            if self.sections.contains_key(section) {
                document.note(&mut self.faults, section, Problem::Duplicate);
                continue;
            }
            let declaration = Declaration { document, section: section.to_owned() };
            self.sections.insert(section.to_owned(), declaration);
            self.read_section(document, section);
        }
    }

    fn read_section(&mut self, document: &Document, section: &str) {
        let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
        if !matches!(kind, "tenant" | "service" | "backend") {
            let known = "tenant NAME, service NAME, backend NAME".to_owned();
            document.note(&mut self.faults, section, Problem::UnknownSection { known });
            return;
        }
        let name = match Name::read(name.trim()) {
            Ok(Name(name)) => name,
            Err(Expected(expected)) => {
                let found = name.trim().to_owned();
                document.note(&mut self.faults, section, Problem::Invalid { expected, found });
                return;
            }
        };
        match kind {
            "tenant" => self.read_tenant(document, section, &name),
            "service" => self.read_service(document, section, &name),
            _ => self.read_backend(document, section, &name),
        }
    }

    fn read_tenant(&mut self, document: &Document, section: &str, name: &str) {
        let mut reader = document.section(section, &mut self.faults);
        let weight = reader.or("weight", Bounded::<1, 10_000>(1));
        let keys: Vec<DigestValue> = reader.list("key-sha256");
        let most_waiting = reader.or("most-waiting", Bounded::<1, 1_000_000>(DEFAULT_MAX_WAITING));
        for key in &keys {
            check_unique(
                &mut self.unique_values,
                &mut reader,
                section,
                "key-sha256",
                key.0.to_string(),
            );
        }
        if keys.is_empty() {
            reader.fault("key-sha256", Problem::Missing { expected: DigestValue::EXPECTED });
        }
        reader.finish();
        let tenant = Tenant {
            weight: Weight::new(weight.0 as u32).unwrap_or(Weight::ONE),
            keys: keys.into_iter().map(|key| key.0).collect(),
            most_waiting: most_waiting.0 as u32,
        };
        self.configuration.tenants.insert(TenantName::from(name), tenant);
    }

    fn read_service(&mut self, document: &Document, section: &str, name: &str) {
        let mut reader = document.section(section, &mut self.faults);
        let kind = read_kind(&mut reader);
        if let Some(kind) = &kind {
            let (key, value) = match kind {
                ServiceKind::Model { model } => ("model", model),
                ServiceKind::Plain { prefix } => ("path-prefix", prefix),
            };
            check_unique(&mut self.unique_values, &mut reader, section, key, value.clone());
        }
        let repeatable = reader.or("repeatable", false);
        let claims: ClaimPolicyValue = reader.or("claims", ClaimPolicyValue(ClaimPolicy::Required));
        let deadline = reader.or("deadline", Span::<1, 3_600_000>(DEFAULT_DEADLINE));
        let ahead = reader.or("grants-ahead", AheadValue(None));
        reader.finish();
        let Some(kind) = kind else { return };
        let service =
            Service { kind, repeatable, claims: claims.0, deadline: deadline.0, ahead: ahead.0 };
        self.configuration.services.insert(ServiceName::from(name), service);
    }

    fn read_backend(&mut self, document: &Document, section: &str, name: &str) {
        let mut reader = document.section(section, &mut self.faults);
        let service: Option<Name> = reader.required("service");
        let address: Option<SocketAddr> = reader.required("address");
        let zone: Option<Name> = reader.required("zone");
        let slots: Option<Bounded<1, 100_000>> = reader.required("slots");
        let checks_fences = reader.or("checks-fences", false);
        let leaving = reader.or("leaving", false);
        if let Some(address) = address {
            check_unique(
                &mut self.unique_values,
                &mut reader,
                section,
                "address",
                address.to_string(),
            );
        }
        reader.finish();
        let (Some(service), Some(address), Some(zone), Some(slots)) =
            (service, address, zone, slots)
        else {
            return;
        };
        let backend = Backend {
            service: ServiceName::from(&*service.0),
            address,
            zone: zone.0,
            slots: slots.0 as u32,
            checks_fences,
            leaving,
        };
        self.configuration.backends.insert(BackendName::from(name), backend);
    }

    fn check_references(&mut self) {
        for (name, backend) in &self.configuration.backends {
            let service = format!("service {}", backend.service);
            if self.sections.contains_key(&service) {
                continue;
            }
            let Some(declaration) = self.sections.get(&format!("backend {name}")) else {
                continue;
            };
            let problem = Problem::Dangling { kind: "service", name: backend.service.to_string() };
            declaration
                .document
                .section(&declaration.section, &mut self.faults)
                .fault("service", problem);
        }
    }
}

/// Records a fault if another section has the same value for `key`.
fn check_unique(
    unique_values: &mut BTreeMap<(&'static str, String), String>,
    reader: &mut SectionReader<'_>,
    section: &str,
    key: &'static str,
    value: String,
) {
    if let Some(other) = unique_values.get(&(key, value.clone())) {
        reader.fault(key, Problem::Taken { value, other: other.clone() });
        return;
    }
    unique_values.insert((key, value), section.to_owned());
}

fn read_kind(reader: &mut SectionReader<'_>) -> Option<ServiceKind> {
    match reader.required::<KindValue>("kind")? {
        KindValue::Model => {
            reader.required("model").map(|Name(model)| ServiceKind::Model { model })
        }
        KindValue::Plain => {
            reader.required("path-prefix").map(|PrefixValue(prefix)| ServiceKind::Plain { prefix })
        }
    }
}

struct DigestValue(KeyDigest);

impl Value for DigestValue {
    const EXPECTED: &'static str = "the SHA-256 of a key in 64 hexadecimal digits";

    fn read(text: &str) -> Result<Self, Expected> {
        text.parse().map(DigestValue).map_err(|_| Self::EXPECTED.into())
    }
}

enum KindValue {
    Model,
    Plain,
}

impl Value for KindValue {
    const EXPECTED: &'static str = "model or plain";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "model" => Ok(KindValue::Model),
            "plain" => Ok(KindValue::Plain),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

struct ClaimPolicyValue(ClaimPolicy);

impl Value for ClaimPolicyValue {
    const EXPECTED: &'static str = "required or when-available";

    fn read(text: &str) -> Result<Self, Expected> {
        match text {
            "required" => Ok(ClaimPolicyValue(ClaimPolicy::Required)),
            "when-available" => Ok(ClaimPolicyValue(ClaimPolicy::WhenAvailable)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A number of grants ahead; `None` for `auto`.
struct AheadValue(Option<u32>);

/// Maximum number of grants ahead.
const MAX_AHEAD: u32 = 64;

impl Value for AheadValue {
    const EXPECTED: &'static str = "auto or a whole number from 0 to 64";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse() {
            Ok(number) if number <= MAX_AHEAD => Ok(AheadValue(Some(number))),
            _ if text == "auto" => Ok(AheadValue(None)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

struct PrefixValue(String);

/// Path prefix of the interface to model services.
const RESERVED_PREFIX: &str = "/v1";

impl Value for PrefixValue {
    const EXPECTED: &'static str =
        "a path such as /permits, without a slash at its end and not below /v1";

    fn read(text: &str) -> Result<Self, Expected> {
        let is_reserved = text == RESERVED_PREFIX || text.starts_with("/v1/");
        let is_allowed = |symbol: char| symbol.is_ascii_alphanumeric() || "-_./".contains(symbol);
        let is_well_formed = text.len() > 1 && text.starts_with('/') && !text.ends_with('/');
        if is_reserved || !is_well_formed || !text.chars().all(is_allowed) {
            return Err(Self::EXPECTED.into());
        }
        Ok(PrefixValue(text.to_owned()))
    }
}
