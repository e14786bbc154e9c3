//! Selection of the scheduler that a gateway reports to.

use crate::messages::Grants;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of the selection of a scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContactConfig {
    /// Time without an answer after which a scheduler counts as unreachable.
    pub answer_timeout: Duration,
    /// Initial backoff for an unreachable scheduler; doubled after each failure, up to
    /// `longest_pause`.
    pub unreachable_pause: Duration,
    /// Maximum backoff for an unreachable scheduler.
    pub longest_pause: Duration,
}

impl Default for ContactConfig {
    fn default() -> Self {
        Self {
            answer_timeout: Duration::from_millis(250),
            unreachable_pause: Duration::from_secs(2),
            longest_pause: Duration::from_secs(30),
        }
    }
}

/// The scheduler that the gateway reports to.
#[derive(Debug)]
pub(crate) struct Contact {
    pub(crate) scheduler: ProcessId,
    /// Incarnation to which `seen` refers; zero before the first message.
    pub(crate) incarnation: Incarnation,
    /// Highest sequence number of a received grant.
    pub(crate) seen: u64,
    pub(crate) last_heard: Timestamp,
    answer_requested_at: Option<Timestamp>,
}

impl Contact {
    fn new(scheduler: ProcessId) -> Self {
        Self {
            scheduler,
            incarnation: Incarnation::default(),
            seen: 0,
            last_heard: Timestamp::ZERO,
            answer_requested_at: None,
        }
    }

    /// Records that an answer was requested.
    pub(crate) fn note_answer_requested(&mut self, now: Timestamp) {
        self.answer_requested_at.get_or_insert(now);
    }
}

/// A scheduler that did not answer.
#[derive(Debug)]
struct Backoff {
    until: Timestamp,
    pause: Duration,
}

/// The schedulers of a cell as one gateway sees them.
#[derive(Debug)]
pub(crate) struct SchedulerSelection {
    config: ContactConfig,
    /// Live schedulers in the cell's rendezvous order.
    schedulers: Vec<ProcessId>,
    backoffs: BTreeMap<ProcessId, Backoff>,
    /// The scheduler to which the previous one handed the cell over, and the time until which it
    /// takes precedence over the list.
    handed_over_to: Option<(ProcessId, Timestamp)>,
    contact: Option<Contact>,
    /// The previous scheduler, until the farewell to it is sent.
    previous: Option<Contact>,
}

impl SchedulerSelection {
    pub(crate) fn new(config: ContactConfig) -> Self {
        Self {
            config,
            schedulers: Vec::new(),
            backoffs: BTreeMap::new(),
            handed_over_to: None,
            contact: None,
            previous: None,
        }
    }

    pub(crate) fn set_schedulers(&mut self, schedulers: Vec<ProcessId>) {
        self.schedulers = schedulers;
    }

    /// Returns whether any scheduler is known.
    pub(crate) fn has_any(&self) -> bool {
        !self.schedulers.is_empty()
    }

    /// Returns the scheduler that the gateway reports to.
    pub(crate) fn contact(&self) -> Option<&Contact> {
        self.contact.as_ref()
    }

    pub(crate) fn contact_mut(&mut self) -> Option<&mut Contact> {
        self.contact.as_mut()
    }

    /// Returns the previous scheduler, once after each change.
    pub(crate) fn take_previous(&mut self) -> Option<Contact> {
        self.previous.take()
    }

    /// Handles a message. Returns whether it comes from the latest incarnation of the scheduler
    /// that the gateway reports to; messages of others are to be ignored.
    pub(crate) fn note_message(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        message: &Grants,
    ) -> bool {
        let Some(contact) = &mut self.contact else { return false };
        if contact.scheduler != *from {
            self.consider_solicitation(now, message);
            return false;
        }
        if message.scheduler < contact.incarnation {
            return false;
        }
        if message.scheduler > contact.incarnation {
            contact.incarnation = message.scheduler;
            contact.seen = 0;
        }
        contact.last_heard = now;
        contact.answer_requested_at = None;
        if let Some(last) = message.grants.last() {
            contact.seen = contact.seen.max(last.sequence);
        }
        self.backoffs.remove(from);
        if let Some(successor) = &message.moved_to {
            self.handed_over_to = Some((successor.clone(), now + self.config.unreachable_pause));
        }
        true
    }

    /// Handles a message of another scheduler that has taken over the cell. Stops waiting for the
    /// current scheduler if its answer is pending.
    fn consider_solicitation(&mut self, now: Timestamp, message: &Grants) {
        let answer_pending =
            self.contact.as_ref().is_some_and(|contact| contact.answer_requested_at.is_some());
        if message.needs_full && answer_pending {
            self.back_off_from_contact(now);
        }
    }

    /// Selects the first scheduler in order that is not in backoff. Returns whether the selection
    /// changed.
    pub(crate) fn select(&mut self, now: Timestamp) -> bool {
        self.check_answer_timeout(now);
        let preferred = self.preferred(now).cloned();
        if preferred.as_ref() == self.contact.as_ref().map(|contact| &contact.scheduler) {
            return false;
        }
        self.previous = self.contact.take();
        self.contact = preferred.map(Contact::new);
        true
    }

    fn preferred(&self, now: Timestamp) -> Option<&ProcessId> {
        let usable = |scheduler: &ProcessId| {
            self.backoffs.get(scheduler).is_none_or(|backoff| now >= backoff.until)
        };
        if let Some((successor, until)) = &self.handed_over_to
            && now < *until
            && usable(successor)
        {
            return Some(successor);
        }
        // With all schedulers in backoff, use the first.
        self.schedulers.iter().find(|scheduler| usable(scheduler)).or(self.schedulers.first())
    }

    fn check_answer_timeout(&mut self, now: Timestamp) {
        let requested_at = self.contact.as_ref().and_then(|contact| contact.answer_requested_at);
        if requested_at
            .is_some_and(|requested_at| now.since(requested_at) >= self.config.answer_timeout)
        {
            self.back_off_from_contact(now);
        }
    }

    fn back_off_from_contact(&mut self, now: Timestamp) {
        let Some(contact) = self.contact.take() else { return };
        let known = self.backoffs.get(&contact.scheduler);
        let pause = known.map_or(self.config.unreachable_pause, |backoff| backoff.pause * 2);
        let pause = pause.min(self.config.longest_pause);
        self.backoffs.insert(contact.scheduler, Backoff { until: now + pause, pause });
    }
}
