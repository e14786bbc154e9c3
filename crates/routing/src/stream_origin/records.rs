//! The bounded store of stream origins at one router.

use super::messages::{KnownOrigin, OriginReport, StreamKey, StreamOrigin, StreamRecord};
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Maximum number of records kept; beyond it those that expire first are evicted.
pub const MAX_RECORDS: usize = 65_536;
/// Maximum number of records of one router in an archive.
pub const MAX_ARCHIVED: usize = 8_192;
/// Maximum number of streams in one message, about 15 bytes each.
const MAX_PER_MESSAGE: usize = 1_024;

#[derive(Debug)]
struct Entry {
    /// `None` after reports with different origins.
    origin: Option<StreamOrigin>,
    recorded: Timestamp,
    expires: Timestamp,
    /// Whether this router relays the stream, and reports its origin.
    is_own: bool,
}

/// The origins of streams that this router began to relay or keeps for others.
#[derive(Debug, Default)]
pub struct OriginRecords {
    entries: HashMap<StreamKey, Entry>,
    by_expiry: BTreeSet<(Timestamp, StreamKey)>,
    /// Records of this router that are still to be reported to their owners.
    unreported: Vec<(StreamOrigin, StreamRecord)>,
    /// Whether any stream of this router was recorded since its records were taken for an archive.
    has_unarchived: bool,
    evicted: u64,
}

impl OriginRecords {
    /// Records the origin of a stream that this router relays. It is reported in the next round.
    pub fn record(&mut self, now: Timestamp, origin: &StreamOrigin, record: StreamRecord) {
        self.insert(now, origin, record, true);
        self.unreported.push((origin.clone(), record));
        self.has_unarchived = true;
    }

    /// Stores records of streams that this router relayed in an earlier life.
    pub fn restore_own(&mut self, now: Timestamp, reports: &[OriginReport]) {
        for report in reports {
            for record in &report.streams {
                self.insert(now, &report.origin, *record, true);
            }
        }
    }

    /// Returns all records of this router, for an archive; `None` if there is no new one. The
    /// longest-lived ones are kept if there are more than [`MAX_ARCHIVED`].
    pub fn records_to_archive(&mut self, now: Timestamp) -> Option<Vec<OriginReport>> {
        if !std::mem::take(&mut self.has_unarchived) {
            return None;
        }
        let mut batch = Batches::default();
        let latest = self.by_expiry.iter().rev().take_while(|(expires, _)| *expires > now);
        let own = latest.filter_map(|(expires, stream)| {
            let entry = self.entries.get(stream).filter(|entry| entry.is_own)?;
            Some((entry.origin.as_ref()?, StreamRecord::new(*stream, expires.since(now))))
        });
        own.take(MAX_ARCHIVED).for_each(|(origin, record)| batch.add((), origin, record));
        Some(batch.into_reports())
    }

    /// Has the records taken once more, since they could not be written.
    pub fn on_archive_failure(&mut self) {
        self.has_unarchived = true;
    }

    /// Stores the records that another router reported.
    pub fn on_reports(&mut self, now: Timestamp, reports: &[OriginReport]) {
        for report in reports {
            for record in &report.streams {
                self.insert(now, &report.origin, *record, false);
            }
        }
    }

    fn insert(
        &mut self,
        now: Timestamp,
        origin: &StreamOrigin,
        record: StreamRecord,
        is_own: bool,
    ) {
        let kept_for = Duration::from_millis(u64::from(record.kept_for_ms));
        let earlier = self.remove(record.stream);
        let is_same = earlier.as_ref().is_none_or(|earlier| {
            earlier.expires <= now || earlier.origin.as_ref() == Some(origin)
        });
        let is_own = is_own || earlier.as_ref().is_some_and(|earlier| earlier.is_own);
        let known_until = earlier.map_or(Timestamp::ZERO, |earlier| earlier.expires);
        let expires = known_until.max(now + kept_for);
        let origin = is_same.then(|| origin.clone());
        self.by_expiry.insert((expires, record.stream));
        self.entries.insert(record.stream, Entry { origin, recorded: now, expires, is_own });
        self.evict();
    }

    fn remove(&mut self, stream: StreamKey) -> Option<Entry> {
        let entry = self.entries.remove(&stream)?;
        self.by_expiry.remove(&(entry.expires, stream));
        Some(entry)
    }

    fn evict(&mut self) {
        while self.entries.len() > MAX_RECORDS {
            let Some((_, stream)) = self.by_expiry.pop_first() else { return };
            self.entries.remove(&stream);
            self.evicted += 1;
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((expires, stream)) = self.by_expiry.first().copied() {
            if expires > now {
                return;
            }
            self.by_expiry.pop_first();
            self.entries.remove(&stream);
        }
    }

    /// Returns what is recorded about a stream.
    pub fn known(&self, now: Timestamp, stream: StreamKey) -> KnownOrigin {
        let entry = self.entries.get(&stream).filter(|entry| entry.expires > now);
        match entry {
            None => KnownOrigin::NotRecorded,
            Some(Entry { origin: None, .. }) => KnownOrigin::Conflicting,
            Some(Entry { origin: Some(origin), recorded, .. }) => {
                KnownOrigin::Recorded { origin: origin.clone(), age: now.since(*recorded) }
            }
        }
    }

    /// Returns the reports that are due, with their recipients. `owners` returns the routers that
    /// keep a stream's record.
    pub fn take_reports<Owner: Ord + Copy>(
        &mut self,
        owners: impl Fn(StreamKey) -> Vec<Owner>,
    ) -> Vec<(Owner, Vec<OriginReport>)> {
        let mut batches = Batches::default();
        for (origin, record) in self.unreported.drain(..) {
            for owner in owners(record.stream) {
                batches.add(owner, &origin, record);
            }
        }
        batches.into_messages()
    }

    /// Returns reports of the streams that this router relays, for those of their owners that are
    /// `new` and do not have them.
    pub fn reports_for_new<Owner: Ord + Copy>(
        &self,
        now: Timestamp,
        new: &[Owner],
        owners: impl Fn(StreamKey) -> Vec<Owner>,
    ) -> Vec<(Owner, Vec<OriginReport>)> {
        let mut batches = Batches::default();
        if new.is_empty() {
            return Vec::new();
        }
        for (stream, entry) in &self.entries {
            let is_reported = entry.is_own && entry.expires > now;
            let Some(origin) = entry.origin.as_ref().filter(|_| is_reported) else { continue };
            let record = StreamRecord::new(*stream, entry.expires.since(now));
            for owner in owners(*stream).into_iter().filter(|owner| new.contains(owner)) {
                batches.add(owner, origin, record);
            }
        }
        batches.into_messages()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of records evicted so far because there were too many.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}

/// Records grouped by recipient and origin.
#[derive(Debug)]
struct Batches<Owner>(BTreeMap<Owner, BTreeMap<StreamOrigin, Vec<StreamRecord>>>);

impl<Owner> Default for Batches<Owner> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<Owner: Ord + Copy> Batches<Owner> {
    fn add(&mut self, owner: Owner, origin: &StreamOrigin, record: StreamRecord) {
        let by_origin = self.0.entry(owner).or_default();
        match by_origin.get_mut(origin) {
            Some(streams) => streams.push(record),
            None => {
                by_origin.insert(origin.clone(), vec![record]);
            }
        }
    }

    /// Returns all records, one report for each origin.
    fn into_reports(self) -> Vec<OriginReport> {
        let by_origin = self.0.into_values().flatten();
        by_origin.map(|(origin, streams)| OriginReport { origin, streams }).collect()
    }

    /// Returns messages of at most [`MAX_PER_MESSAGE`] streams.
    fn into_messages(self) -> Vec<(Owner, Vec<OriginReport>)> {
        let mut messages = Vec::new();
        for (owner, by_origin) in self.0 {
            let mut message = Vec::new();
            let mut streams_in_message = 0;
            for (origin, streams) in by_origin {
                for chunk in streams.chunks(MAX_PER_MESSAGE) {
                    if streams_in_message + chunk.len() > MAX_PER_MESSAGE && !message.is_empty() {
                        messages.push((owner, std::mem::take(&mut message)));
                        streams_in_message = 0;
                    }
                    let report = OriginReport { origin: origin.clone(), streams: chunk.to_vec() };
                    streams_in_message += chunk.len();
                    message.push(report);
                }
            }
            messages.push((owner, message));
        }
        messages
    }
}
