//! Authentication of callers by their bearer keys.

use hyper::header::{AUTHORIZATION, HeaderMap};
use mastbay_configuration::{FleetConfiguration, KeyDigest};
use mastbay_types::TenantName;
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// Scheme of the authorization header, with the space before the key.
const SCHEME: &str = "Bearer ";

/// Maps the digests of keys to tenants.
#[derive(Debug, Default)]
pub struct AccessTable {
    tenants: HashMap<KeyDigest, TenantName>,
}

impl AccessTable {
    /// Builds the table from the keys of all tenants of a configuration.
    pub fn new(configuration: &FleetConfiguration) -> Self {
        let mut tenants = HashMap::new();
        for (name, tenant) in &configuration.tenants {
            for key in &tenant.keys {
                tenants.insert(*key, name.clone());
            }
        }
        Self { tenants }
    }

    /// Returns the tenant of the bearer key in `headers`; `None` if it is missing or unknown.
    pub fn tenant(&self, headers: &HeaderMap) -> Option<TenantName> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let presented = KeyDigest::of(value.strip_prefix(SCHEME)?.trim());
        // The lookup uses digests, so its timing reveals nothing about a key. The digests
        // themselves are compared in constant time.
        let (known, tenant) = self.tenants.get_key_value(&presented)?;
        bool::from(known.as_bytes().ct_eq(presented.as_bytes())).then(|| tenant.clone())
    }
}
