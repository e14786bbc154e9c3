//! Cold engines: which of them this router may send to.

use super::Dispatcher;
use crate::back_end::BackEndId;
use crate::engine::Engine;
use crate::warmup::Holders;
use mastbay_types::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// Time for which the list of cold engines at which this router holds a part of the allowance is used.
const HELD_COLD_TTL: Duration = Duration::from_millis(50);

/// Cold engines at which this router holds a part of the allowance, at one moment.
#[derive(Debug, Clone, Default)]
pub struct HeldColdEngines {
    listed: Timestamp,
    engines: Rc<[BackEndId]>,
}

impl Dispatcher {
    /// Whether an engine may get one more request of this router: it is warm, or this router holds a part of the
    /// allowance of a cold one and has not used it up.
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

    /// Cold engines at which this router holds a part of the allowance. Few routers may send there, so these serve
    /// requests whose prefix belongs elsewhere too, or most of the allowance would go unused.
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

    /// How the allowance of an engine is held while it is cold; nothing if it needs none.
    fn holders(&self, engine: &Engine) -> Option<Holders> {
        let rate = self.cold_rates.get(&engine.back_end.service)?;
        let allowance = self.limits.warmup.allowance(*rate);
        Some(Holders::of(allowance, self.fleet.roster_size()))
    }

    fn is_holder(&self, now: Timestamp, engine: &Engine, holders: Holders) -> bool {
        self.fleet.is_among_first(now, engine.key, holders.routers)
    }
}
