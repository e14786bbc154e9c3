//! Object API used to apply configurations, behind a trait for fault injection in tests.

use bytes::Bytes;
use mastbay_object_store::{Object, Platform, Precondition, ReadError, WriteError};
use std::future::Future;

/// An object store with conditional writes.
pub trait ObjectStore {
    /// Reads an object.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Object>, ReadError>>;

    /// Writes an object if `precondition` holds.
    fn write(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> impl Future<Output = Result<u64, WriteError>>;

    /// Waits before a retry. Returns `false` if the time for retries is over.
    fn pause(&self) -> impl Future<Output = bool>;
}

/// The platform's object API with a deadline for retries.
#[derive(Debug)]
pub struct PlatformStore {
    platform: Platform,
    deadline: std::time::Instant,
}

/// Delay between attempts.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(200);

impl PlatformStore {
    /// Creates a store that retries for `timeout`.
    pub fn new(platform: Platform, timeout: std::time::Duration) -> Self {
        Self { platform, deadline: std::time::Instant::now() + timeout }
    }
}

impl ObjectStore for PlatformStore {
    async fn read(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.platform.read(key).await
    }

    async fn write(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<u64, WriteError> {
        self.platform.write(key, value, precondition).await
    }

    async fn pause(&self) -> bool {
        if std::time::Instant::now() >= self.deadline {
            return false;
        }
        smol::Timer::after(RETRY_DELAY).await;
        true
    }
}
