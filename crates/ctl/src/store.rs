//! What applying needs of the object API, so that it can be tested against every fault.

use bytes::Bytes;
use mastbay_object_store::{Object, Platform, Precondition, ReadError, WriteError};
use std::future::Future;

/// An object API.
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

    /// Waits a little before the next try. `false` when there is no time left for one.
    fn pause(&self) -> impl Future<Output = bool>;
}

/// The platform, with a limit on the time for tries.
#[derive(Debug)]
pub struct PlatformStore {
    platform: Platform,
    give_up: std::time::Instant,
}

/// Pause between tries.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(200);

impl PlatformStore {
    /// The platform, tried for `patience`.
    pub fn new(platform: Platform, patience: std::time::Duration) -> Self {
        Self { platform, give_up: std::time::Instant::now() + patience }
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
        if std::time::Instant::now() >= self.give_up {
            return false;
        }
        smol::Timer::after(PAUSE).await;
        true
    }
}
