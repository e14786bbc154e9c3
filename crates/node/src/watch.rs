//! Reading the configuration from the platform.

use crate::node::{Duty, Node};
use mastbay_configuration::{Part, PartHash, Root};
use mastbay_object_store::{Object, ReadError};
use mastbay_types::by_rendezvous;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

/// Key of the root object.
pub const ROOT_KEY: &str = "configuration/root";

/// Key of a part.
pub fn part_key(hash: &PartHash) -> String {
    format!("configuration/parts/{hash}")
}

/// Schedulers of a zone that watch the root; the others hear of changes from peers.
const WATCHERS_PER_ZONE: usize = 2;
/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Shortest and longest pause after the platform failed, in milliseconds.
const PAUSE_MILLIS: (u64, u64) = (200, 2_000);
/// How often a process that does not watch looks whether it should.
const TURN_CHECK: Duration = Duration::from_secs(1);

impl Node {
    /// Reads the root until the platform has answered once, or peers made the process ready.
    pub async fn read_root_at_start(self: Arc<Self>, duty: Arc<dyn Duty>) {
        let mut pause = PAUSE_MILLIS.0;
        loop {
            match self.platform().read(ROOT_KEY).await {
                Ok(object) => return self.take_root(&duty, object),
                Err(error) => self.note_failure(&error),
            }
            if self.ready().is_ok() {
                return;
            }
            pause = self.pause(pause).await;
        }
    }

    /// Watches the root for ever, while this process is among its zone's watchers.
    pub async fn watch_root(self: Arc<Self>, duty: Arc<dyn Duty>) {
        let mut version = 0;
        let mut pause = PAUSE_MILLIS.0;
        loop {
            if !self.is_watcher() {
                smol::Timer::after(TURN_CHECK).await;
                continue;
            }
            match self.platform().watch(ROOT_KEY, version, WATCH_WAIT).await {
                Ok(object) => {
                    pause = PAUSE_MILLIS.0;
                    version = object.as_ref().map_or(version, |object| object.version);
                    self.take_root(&duty, object);
                }
                Err(error) => {
                    self.note_failure(&error);
                    pause = self.pause(pause).await;
                }
            }
        }
    }

    /// Whether this process is among the few of its zone that watch the platform for the others.
    pub fn is_watcher(&self) -> bool {
        let live = self.live_in_zone();
        let key = format!("watch/{}", self.zone());
        by_rendezvous(&key, &live).into_iter().take(WATCHERS_PER_ZONE).any(|one| one == self.me())
    }

    fn take_root(self: &Arc<Self>, duty: &Arc<dyn Duty>, object: Option<Object>) {
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

    /// Sleeps about `millis` and returns the next, longer pause.
    async fn pause(&self, millis: u64) -> u64 {
        let jittered = self.random().random_range(millis / 2..=millis);
        smol::Timer::after(Duration::from_millis(jittered)).await;
        (millis * 2).min(PAUSE_MILLIS.1)
    }
}

/// Reads parts from the platform. Parts that cannot be read are asked for elsewhere in time.
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
