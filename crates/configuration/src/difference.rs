//! Differences between two configurations.

use crate::fleet::FleetConfiguration;
use derive_more::Display;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Display as TextForm;

/// Kind of entry that changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A tenant.
    #[display("tenant")]
    Tenant,
    /// A service.
    #[display("service")]
    Service,
    /// A back end.
    #[display("backend")]
    Backend,
}

/// Kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The entry is new.
    #[display("added")]
    Added,
    /// The entry no longer exists.
    #[display("removed")]
    Removed,
    /// Some values of the entry differ.
    #[display("changed")]
    Changed,
}

/// A change of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[display("{kind} {subject} {name}{}", detail.as_ref().map(|detail| format!(": {detail}")).unwrap_or_default())]
pub struct Difference {
    /// Kind of the entry.
    pub subject: Subject,
    /// Name of the entry.
    pub name: String,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// The changed values before and after, in JSON; `None` for added and removed entries.
    pub detail: Option<String>,
}

/// Returns all changes from `before` to `after`.
pub fn differences(before: &FleetConfiguration, after: &FleetConfiguration) -> Vec<Difference> {
    let mut changes = Vec::new();
    compare(Subject::Tenant, &before.tenants, &after.tenants, &mut changes);
    compare(Subject::Service, &before.services, &after.services, &mut changes);
    compare(Subject::Backend, &before.backends, &after.backends, &mut changes);
    changes
}

fn compare<N: Ord + TextForm, E: PartialEq + Serialize>(
    subject: Subject,
    before: &BTreeMap<N, E>,
    after: &BTreeMap<N, E>,
    changes: &mut Vec<Difference>,
) {
    for (name, entry) in after {
        let (kind, detail) = match before.get(name) {
            None => (ChangeKind::Added, None),
            Some(previous) if previous == entry => continue,
            Some(previous) => (ChangeKind::Changed, Some(changed_values(previous, entry))),
        };
        changes.push(Difference { subject, name: name.to_string(), kind, detail });
    }
    for name in before.keys().filter(|name| !after.contains_key(name)) {
        let (name, kind) = (name.to_string(), ChangeKind::Removed);
        changes.push(Difference { subject, name, kind, detail: None });
    }
}

fn changed_values<E: Serialize>(before: &E, after: &E) -> String {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return String::new();
    };
    let changed: Vec<String> = after
        .iter()
        .filter(|(key, value)| before.get(*key) != Some(value))
        .map(|(key, value)| {
            let previous = before.get(key).map(ToString::to_string).unwrap_or_default();
            format!("{key} {previous} -> {value}")
        })
        .collect();
    changed.join(", ")
}
