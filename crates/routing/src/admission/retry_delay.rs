//! The delay after which refused callers return.
//!
//! Each refused caller is told to return when the requests ahead of it will have been placed.
//! Callers that were told so before count as ahead too, so that many refused at once return one
//! after another at the rate at which they can be placed.

use super::backlog::OrderClass;
use crate::decaying_counter::DecayingCounter;
use mastbay_types::Timestamp;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Longest delay as a fraction of the time left to the deadline; callers do not honor longer ones.
pub const MAX_DELAY_FRACTION: f64 = 0.3;
/// Interval over which callers with the same delay return, as a fraction of the delay.
const SPREAD_FRACTION: f64 = 0.5;
/// Part of the longest delay over which callers return that cannot be placed by then.
const MIN_SPREAD_FRACTION: f64 = 0.25;
/// Shortest delay: a round of messages, before which the figures do not change.
const MIN_DELAY: Duration = Duration::from_millis(80);
/// Time in which refusals are not yet known to the other routers: two rounds.
const REPORT_TIME: Duration = Duration::from_millis(160);
/// Returning callers that are kept; more count as none, which shortens the delays after them.
const MAX_RETURNING: usize = 4_096;

/// What determines the delay of one refused request.
#[derive(Debug, Clone, Copy)]
pub struct DelayFigures {
    /// Time until the requests ahead are placed.
    pub drain_time: Duration,
    /// Time until a slot frees up at its preferred engine.
    pub engine_time: Duration,
    /// Time until the rate of its tenant admits another request; zero for tenants within their
    /// share.
    pub tenant_time: Duration,
    /// Time left to the deadline.
    pub remaining: Duration,
}

impl DelayFigures {
    /// Returns the delay, randomized by `draw`, which is uniform in 0..1. It is never longer than
    /// callers honor.
    pub fn delay(&self, draw: f64) -> Duration {
        let longest = self.remaining.mul_f64(MAX_DELAY_FRACTION);
        let wait = (self.drain_time + self.engine_time).max(self.tenant_time).max(MIN_DELAY);
        let earliest = wait.min(longest.mul_f64(1.0 - MIN_SPREAD_FRACTION));
        let spread = earliest.mul_f64(SPREAD_FRACTION).min(longest.saturating_sub(earliest));
        earliest + spread.mul_f64(draw)
    }
}

/// A caller that was told to return.
#[derive(Debug)]
struct Returning {
    class: OrderClass,
    tenant: Option<Arc<str>>,
    tokens: u64,
}

/// The callers that this router told to return.
#[derive(Debug, Default)]
pub struct RetryDelay {
    /// By the time of the return and a number that makes keys unique.
    returning: BTreeMap<(Timestamp, u64), Returning>,
    next: u64,
    callers: HashMap<OrderClass, u32>,
    /// Service of the returning requests by tenant.
    tokens: HashMap<Arc<str>, u64>,
    recent: HashMap<OrderClass, DecayingCounter>,
}

impl RetryDelay {
    /// Records that the caller of a request with `tokens` of service was told to return at `due`.
    pub fn on_refused(
        &mut self,
        now: Timestamp,
        due: Timestamp,
        class: OrderClass,
        tenant: Option<Arc<str>>,
        tokens: u64,
    ) {
        if self.returning.len() >= MAX_RETURNING {
            return;
        }
        *self.callers.entry(class).or_default() += 1;
        let recent = self.recent.entry(class);
        recent.or_insert_with(|| DecayingCounter::new(REPORT_TIME)).add(now, 1.0);
        if let Some(tenant) = &tenant {
            *self.tokens.entry(tenant.clone()).or_default() += tokens;
        }
        self.next += 1;
        self.returning.insert((due, self.next), Returning { class, tenant, tokens });
    }

    /// Forgets the callers whose time of return has come, and returns their classes.
    pub fn expire(&mut self, now: Timestamp) -> Vec<OrderClass> {
        let mut returned = Vec::new();
        while let Some(first) = self.returning.first_entry()
            && first.key().0 <= now
        {
            let Returning { class, tenant, tokens } = first.remove();
            returned.push(class);
            if let Some(callers) = self.callers.get_mut(&class) {
                *callers = callers.saturating_sub(1);
            }
            let Some(tenant) = tenant else { continue };
            if let Some(held) = self.tokens.get_mut(&tenant) {
                *held = held.saturating_sub(tokens);
                if *held == 0 {
                    self.tokens.remove(&tenant);
                }
            }
        }
        returned
    }

    /// Returns the number of returning callers of each class.
    pub fn callers(&self) -> impl Iterator<Item = (OrderClass, u32)> {
        self.callers.iter().map(|(class, callers)| (*class, *callers))
    }

    /// Returns the service of a tenant's returning requests, in tokens.
    pub fn tokens(&self, tenant: &str) -> u64 {
        self.tokens.get(tenant).copied().unwrap_or(0)
    }

    /// Returns the number of callers of a class told to return that other routers do not know yet.
    /// Refusals at other routers are as recent, so each is assumed to have as many that this one
    /// does not know.
    pub fn unreported(&self, now: Timestamp, class: OrderClass) -> f64 {
        self.recent.get(&class).map_or(0.0, |recent| recent.at(now))
    }
}
