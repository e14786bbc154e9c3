//! Which tenant a caller's key belongs to.

use hyper::header::{AUTHORIZATION, HeaderMap};
use mastbay_configuration::{FleetConfiguration, KeyDigest};
use mastbay_types::TenantName;
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// Scheme of the authorization header.
const SCHEME: &str = "Bearer ";

/// Tenants by the digests of their keys.
#[derive(Debug, Default)]
pub struct AccessTable {
    tenants: HashMap<KeyDigest, TenantName>,
}

impl AccessTable {
    /// The table for a configuration.
    pub fn new(configuration: &FleetConfiguration) -> Self {
        let mut tenants = HashMap::new();
        for (name, tenant) in &configuration.tenants {
            for key in &tenant.keys {
                tenants.insert(*key, name.clone());
            }
        }
        Self { tenants }
    }

    /// The tenant whose key the headers show.
    pub fn tenant(&self, headers: &HeaderMap) -> Option<TenantName> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let shown = KeyDigest::of(value.strip_prefix(SCHEME)?.trim());
        // Keys are compared by their digests, so the look-up's timing tells nothing of a key; the
        // digests themselves are compared in constant time.
        let (known, tenant) = self.tenants.get_key_value(&shown)?;
        bool::from(known.as_bytes().ct_eq(shown.as_bytes())).then(|| tenant.clone())
    }
}
