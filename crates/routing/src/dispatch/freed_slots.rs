//! Slots that became free at full engines since the last round of messages. Requests may wait for
//! them at other routers, which do not know of them yet.

use super::Dispatcher;
use super::aggregation::Role;
use crate::back_end::BackEndId;
use crate::engine::Engine;
use std::collections::HashSet;

/// Engines that were full when a request of this router ended there.
#[derive(Debug, Default)]
pub struct FreedSlots(HashSet<BackEndId>);

impl FreedSlots {
    /// Records the end of a request at an engine, before its slot is released.
    pub fn on_end(&mut self, engine: &Engine) {
        if is_full(engine) {
            self.0.insert(engine.back_end.id.clone());
        }
    }

    /// Records that this router reports its load.
    pub fn on_report(&mut self) {
        self.0.clear();
    }
}

impl Dispatcher {
    /// Returns whether the next round of messages should be sent early: an engine that was full has
    /// a free slot that only this router knows of. In large fleets, aggregators determine when the
    /// others learn of it.
    pub fn has_unreported_slots(&self) -> bool {
        let freed = self.freed_slots.0.iter().filter_map(|id| self.engines.get(id));
        self.role() == Role::Mesh && freed.into_iter().any(|engine| !is_full(engine))
    }
}

fn is_full(engine: &Engine) -> bool {
    engine.load().running >= engine.back_end.slots.max(1)
}
