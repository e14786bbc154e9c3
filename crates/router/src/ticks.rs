//! The periodic work of a router: checks for stalls, outages and overload, and waiting requests.

use crate::events;
use crate::router::Router;
use crate::runtime::{ALIGNED_TICK_INTERVAL, MIN_TICK_INTERVAL};
use crate::update_signal::Origin;
use mastbay_routing::{RouterPhase, Tick, TickLag};
use mastbay_types::Timestamp;
use std::rc::Rc;
use std::time::Duration;

impl Router {
    /// Delivers the results of admission to waiting requests.
    pub(crate) fn poll_waiting(&self) {
        if !self.dispatcher.borrow().has_waiting() {
            return;
        }
        let results = self.dispatcher.borrow_mut().poll(self.now(), rand::random());
        for (ticket, result) in results {
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                // If the caller is gone, its dropped ticket releases the placement.
                let _ = sender.try_send(result);
            }
        }
    }

    /// Runs the periodic tick and polls waiting requests for as long as the router runs.
    pub(crate) async fn run_ticks(self: Rc<Self>) {
        loop {
            let period = self.tick_period();
            let lag = self.wait_for_tick(period).await;
            self.on_tick(self.now(), period, lag);
            self.poll_waiting();
        }
    }

    /// Waits for `period` and returns how much longer it took.
    async fn wait_for_tick(&self, period: Duration) -> TickLag {
        let due = self.runtime.now() + period;
        self.runtime.idle_time().count_from(due);
        self.runtime.sleep(period).await;
        let lag = self.runtime.now().since(due);
        let idle = self.runtime.idle_time().counted().min(lag);
        TickLag { busy: lag - idle, idle }
    }

    /// Returns the time until the next tick: short while requests wait or under pressure.
    fn tick_period(&self) -> Duration {
        let is_under_pressure =
            self.overload.borrow().is_under_pressure() || self.phase() == RouterPhase::Shedding;
        if is_under_pressure || self.dispatcher.borrow().has_waiting() {
            MIN_TICK_INTERVAL
        } else {
            self.runtime.until_aligned_tick(ALIGNED_TICK_INTERVAL)
        }
    }

    fn on_tick(&self, now: Timestamp, period: Duration, lag: TickLag) {
        self.check_stall(now);
        self.check_outage(now);
        let expired = self.catalogue.borrow_mut().expire_back_ends(now);
        if let Some(changes) = expired {
            self.apply_back_ends(&changes, Origin::Expiry);
        }
        let expired = self.catalogue.borrow_mut().expire_evacuations(now);
        if let Some(evacuated) = expired {
            self.apply_evacuations(&evacuated, Origin::Expiry);
        }
        self.dispatcher.borrow_mut().on_lag(now, lag.total());
        self.metrics.set_backing_off(self.dispatcher.borrow().backing_off(now));
        self.metrics.set_silent_back_ends(self.dispatcher.borrow().silent_back_ends(now));
        self.metrics.set_fleet_backlog(self.dispatcher.borrow_mut().fleet_backlog(now));
        let max = self.settings.max_connections() as f64;
        let tick = Tick {
            period,
            lag,
            connections: self.open.count() as f64 / max,
            peers: self.dispatcher.borrow().peer_capacity(),
        };
        let changed = self.overload.borrow_mut().on_tick(now, tick);
        if let Some(shedding) = changed {
            events::overload(shedding, self.overload.borrow().lateness(), tick);
        }
        self.metrics.set_lateness(self.overload.borrow().lateness());
        self.log_overflow(now);
        self.observe_memory();
    }

    fn observe_memory(&self) {
        let heap = self.memory.heap_bytes();
        if let Some(is_short) = self.memory.take_change() {
            events::memory(is_short, heap, &self.bodies, &self.replies);
        }
        self.metrics.set_memory(heap, &self.bodies, &self.replies);
    }

    fn check_stall(&self, now: Timestamp) {
        let stall = self.stall_detector.borrow_mut().on_tick(now);
        if let Some(lasted) = stall {
            events::stood_still(lasted);
        }
    }

    fn check_outage(&self, now: Timestamp) {
        let mut outage = self.outage.borrow_mut();
        outage.observe(now, self.dispatcher.borrow().source_availability(now));
        let condition = outage.condition(now);
        if self.source_condition.replace(condition) != condition {
            let contact = self.dispatcher.borrow().source_contact();
            events::source_condition(condition, contact);
            self.metrics.on_source_condition(condition);
        }
    }

    /// Updates the metrics of connections that were not served normally, and logs them with at most
    /// one line a second.
    fn log_overflow(&self, now: Timestamp) {
        let mut recorder = self.overflow.borrow_mut();
        let full = self.open.take_refused();
        self.metrics.on_full(full);
        self.metrics.on_write_timeouts(self.open.take_write_timeouts());
        let troubles = self.runtime.troubles();
        self.metrics.on_long_turns(troubles.take_long_turns());
        self.metrics.on_excessive(troubles.take_excessive());
        recorder.record_full(full);
        if let Some(counts) = recorder.take_due(now) {
            events::connections_overflowed(counts, self.overload.borrow().lateness());
        }
    }
}
