//! Which scheduler a gateway reports to.

use crate::messages::Grants;
use mastbay_types::{Incarnation, ProcessId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ContactConfig {
    /// Silence after which a scheduler counts as unreachable.
    pub answer_timeout: Duration,
    /// How long an unreachable scheduler is passed over at first; doubled each time, up to
    /// `longest_pause`.
    pub unreachable_pause: Duration,
    /// Longest time that a scheduler is passed over.
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

/// The scheduler reported to.
#[derive(Debug)]
pub(crate) struct Contact {
    pub(crate) scheduler: ProcessId,
    /// Its life that `seen` counts grants of; zero if it was not heard yet.
    pub(crate) incarnation: Incarnation,
    /// Highest sequence of a grant received.
    pub(crate) seen: u64,
    pub(crate) last_heard: Timestamp,
    asked_since: Option<Timestamp>,
}

impl Contact {
    fn new(scheduler: ProcessId) -> Self {
        Self {
            scheduler,
            incarnation: Incarnation::default(),
            seen: 0,
            last_heard: Timestamp::ZERO,
            asked_since: None,
        }
    }

    /// Notes that an answer was asked for.
    pub(crate) fn note_asked(&mut self, now: Timestamp) {
        self.asked_since.get_or_insert(now);
    }
}

/// A scheduler that did not answer.
#[derive(Debug)]
struct Avoided {
    until: Timestamp,
    pause: Duration,
}

/// The schedulers of a cell as one gateway sees them.
#[derive(Debug)]
pub(crate) struct SchedulerChoice {
    config: ContactConfig,
    /// Live ones, in the cell's rendezvous order.
    schedulers: Vec<ProcessId>,
    avoided: BTreeMap<ProcessId, Avoided>,
    /// The scheduler that the last one handed the cell to, and until when its word counts more than
    /// the list.
    handed_to: Option<(ProcessId, Timestamp)>,
    contact: Option<Contact>,
    /// The scheduler left for another, which is to be told so.
    left: Option<Contact>,
}

impl SchedulerChoice {
    pub(crate) fn new(config: ContactConfig) -> Self {
        Self {
            config,
            schedulers: Vec::new(),
            avoided: BTreeMap::new(),
            handed_to: None,
            contact: None,
            left: None,
        }
    }

    pub(crate) fn set_schedulers(&mut self, schedulers: Vec<ProcessId>) {
        self.schedulers = schedulers;
    }

    /// Whether any scheduler is known.
    pub(crate) fn has_any(&self) -> bool {
        !self.schedulers.is_empty()
    }

    /// The scheduler reported to.
    pub(crate) fn contact(&self) -> Option<&Contact> {
        self.contact.as_ref()
    }

    pub(crate) fn contact_mut(&mut self) -> Option<&mut Contact> {
        self.contact.as_mut()
    }

    /// The scheduler left, once after each change.
    pub(crate) fn take_left(&mut self) -> Option<Contact> {
        self.left.take()
    }

    /// Takes a message. Returns whether it comes from the scheduler reported to, in its latest
    /// life; any other's is to be passed over.
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
        contact.asked_since = None;
        if let Some(last) = message.grants.last() {
            contact.seen = contact.seen.max(last.sequence);
        }
        self.avoided.remove(from);
        if let Some(successor) = &message.moved_to {
            self.handed_to = Some((successor.clone(), now + self.config.unreachable_pause));
        }
        true
    }

    /// Another scheduler has taken the cell over. If the one reported to owes an answer, it is not
    /// waited for any longer.
    fn consider_solicitation(&mut self, now: Timestamp, message: &Grants) {
        let owes_answer = self.contact.as_ref().is_some_and(|one| one.asked_since.is_some());
        if message.needs_full && owes_answer {
            self.avoid_contact(now);
        }
    }

    /// Keeps to the first scheduler in order that is not known to be unreachable. Returns whether
    /// another one is reported to from now on.
    pub(crate) fn choose(&mut self, now: Timestamp) -> bool {
        self.give_up_silent(now);
        let best = self.best(now).cloned();
        if best.as_ref() == self.contact.as_ref().map(|contact| &contact.scheduler) {
            return false;
        }
        self.left = self.contact.take();
        self.contact = best.map(Contact::new);
        true
    }

    fn best(&self, now: Timestamp) -> Option<&ProcessId> {
        let usable =
            |name: &ProcessId| self.avoided.get(name).is_none_or(|avoided| now >= avoided.until);
        if let Some((successor, until)) = &self.handed_to
            && now < *until
            && usable(successor)
        {
            return Some(successor);
        }
        // With every scheduler avoided, the first is as good as any.
        self.schedulers.iter().find(|name| usable(name)).or(self.schedulers.first())
    }

    fn give_up_silent(&mut self, now: Timestamp) {
        let asked = self.contact.as_ref().and_then(|contact| contact.asked_since);
        if asked.is_some_and(|asked| now.since(asked) >= self.config.answer_timeout) {
            self.avoid_contact(now);
        }
    }

    fn avoid_contact(&mut self, now: Timestamp) {
        let Some(contact) = self.contact.take() else { return };
        let known = self.avoided.get(&contact.scheduler);
        let pause = known.map_or(self.config.unreachable_pause, |avoided| avoided.pause * 2);
        let pause = pause.min(self.config.longest_pause);
        self.avoided.insert(contact.scheduler, Avoided { until: now + pause, pause });
    }
}
