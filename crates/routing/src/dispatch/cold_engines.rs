//! Cold engines and the routers that may send to them.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::engine::Engine;
use crate::warmup::Holders;
use mastbay_types::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Time for which the list of held cold engines is reused.
const HELD_COLD_TTL: Duration = Duration::from_millis(50);

/// Cold engines for which this router holds part of the allowance, at the time `listed`.
#[derive(Debug, Clone, Default)]
pub struct HeldColdEngines {
    listed: Timestamp,
    engines: Rc<[BackEndId]>,
}

impl Dispatcher {
    /// Returns whether this router may send one more request to an engine: it is warm, or this
    /// router holds unused allowance for it.
    pub(super) fn accepts_more(&self, now: Timestamp, engine: &Engine) -> bool {
        if !engine.warmup.is_cold(now) {
            return true;
        }
        match self.holders(engine) {
            None => true,
            Some(holders) => {
                self.is_holder(now, engine, holders) && engine.warmup.has_capacity(now, holders)
            }
        }
    }

    /// Returns the cold engines for which this router holds part of the allowance. They also serve
    /// requests whose prefix is preferred elsewhere; otherwise most of the allowance would go
    /// unused.
    pub(super) fn held_cold_engines(&mut self, now: Timestamp, service: &str) -> Rc<[BackEndId]> {
        if !self.cold_rates.contains_key(service) {
            return Rc::default();
        }
        if now.since(self.held_cold.listed) >= HELD_COLD_TTL {
            let held = self.engines.all().filter(|engine| {
                let holders = self.holders(engine).filter(|_| engine.warmup.is_cold(now));
                holders.is_some_and(|holders| self.is_holder(now, engine, holders))
            });
            let engines = held.map(|engine| engine.back_end.id.clone()).collect();
            self.held_cold = HeldColdEngines { listed: now, engines };
        }
        self.held_cold.engines.clone()
    }

    /// Returns how the allowance of an engine is divided while it is cold; `None` if the service
    /// has no bound.
    fn holders(&self, engine: &Engine) -> Option<Holders> {
        let rate = self.cold_rates.get(&engine.back_end.service)?;
        let allowance = self.limits.warmup.allowance(*rate);
        Some(Holders::of(allowance, self.fleet.roster_size()))
    }

    fn is_holder(&self, now: Timestamp, engine: &Engine, holders: Holders) -> bool {
        self.fleet.is_among_first(now, engine.key, holders.routers)
    }
}
