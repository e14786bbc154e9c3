//! Reads the configuration from the platform.

use crate::node::{Duty, Node};
use mastbay_configuration::{Part, PartHash, Root};
use mastbay_object_store::{Object, ReadError};
use mastbay_types::by_rendezvous;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Object key of the configuration root.
pub const ROOT_KEY: &str = "configuration/root";

/// Returns the object key of a configuration part.
pub fn part_key(hash: &PartHash) -> String {
    format!("configuration/parts/{hash}")
}

/// Number of processes of a zone and role that watch the root; the others receive changes from
/// peers.
const WATCHERS_PER_ZONE: usize = 2;
/// Long-poll duration of one watch request.
const WATCH_DURATION: Duration = Duration::from_secs(10);
/// Initial and maximum backoff after a failed request to the platform, in milliseconds.
const BACKOFF_MILLIS: (u64, u64) = (200, 2_000);
/// Interval at which a process that is not a watcher checks whether it has become one.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Reads the root, with retries, until the platform has answered once or the process is ready
    /// with a configuration from its peers.
    pub async fn read_root_at_start(self: Arc<Self>, duty: Arc<dyn Duty>) {
        let mut backoff = BACKOFF_MILLIS.0;
        loop {
            match self.platform().read(ROOT_KEY).await {
                Ok(object) => return self.handle_root(&duty, object),
                Err(error) => self.note_failure(&error),
            }
            if self.ready().is_ok() {
                return;
            }
            backoff = self.back_off(backoff).await;
        }
    }

    /// Watches the root whenever this process is one of its zone's watchers. Never returns.
    pub async fn watch_root(self: Arc<Self>, duty: Arc<dyn Duty>) {
        let mut version = 0;
        let mut backoff = BACKOFF_MILLIS.0;
        loop {
            if !self.is_watcher() {
                smol::Timer::after(WATCHER_CHECK_INTERVAL).await;
                continue;
            }
            match self.platform().watch(ROOT_KEY, version, WATCH_DURATION).await {
                Ok(object) => {
                    backoff = BACKOFF_MILLIS.0;
                    version = object.as_ref().map_or(version, |object| object.version);
                    self.handle_root(&duty, object);
                }
                Err(error) => {
                    self.note_failure(&error);
                    backoff = self.back_off(backoff).await;
                }
            }
        }
    }

    /// Returns whether this process is one of those of its zone and role that watch the platform.
    pub fn is_watcher(&self) -> bool {
        let live = self.live_in_zone();
        let key = format!("watch/{}", self.zone());
        by_rendezvous(&key, &live).into_iter().take(WATCHERS_PER_ZONE).any(|one| one == self.me())
    }

    fn handle_root(self: &Arc<Self>, duty: &Arc<dyn Duty>, object: Option<Object>) {
        let root = match object.map(|object| serde_json::from_slice::<Root>(&object.value)) {
            None => None,
            Some(Ok(root)) => Some(root),
            Some(Err(error)) => {
                tracing::error!(event = "configuration_root_unreadable", %error);
                return;
            }
        };
        let now = self.now();
        let actions = self
            .with_spread(|spread, mut choose| spread.handle_platform_root(now, root, &mut choose));
        self.act(duty, actions);
    }

    /// Counts and logs a failed call to the platform.
    pub fn note_failure(&self, error: &ReadError) {
        self.metrics().platform_failures.inc();
        tracing::warn!(event = "platform_read_failed", %error);
    }

    /// Sleeps for a random time of up to `millis`, at least half of it, and returns the next
    /// backoff.
    async fn back_off(&self, millis: u64) -> u64 {
        let jittered = self.random().random_range(millis / 2..=millis);
        smol::Timer::after(Duration::from_millis(jittered)).await;
        (millis * 2).min(BACKOFF_MILLIS.1)
    }
}

/// Reads parts from the platform. Parts that cannot be read are requested elsewhere later.
pub(crate) async fn read_parts(node: Arc<Node>, duty: Arc<dyn Duty>, parts: Vec<PartHash>) {
    let mut found = Vec::new();
    for hash in parts {
        match node.platform().read(&part_key(&hash)).await {
            Ok(Some(object)) => found.push(Part { bytes: object.value.to_vec() }),
            Ok(None) => tracing::warn!(event = "configuration_part_missing", part = %hash),
            Err(error) => node.note_failure(&error),
        }
    }
    let now = node.now();
    let actions =
        node.with_spread(|spread, mut choose| spread.handle_parts(now, found, &mut choose));
    node.act(&duty, actions);
}
