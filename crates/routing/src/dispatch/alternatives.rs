//! Whether another back end can take over a request whose back end is slow.

use super::Dispatcher;
use super::candidate::SelectionCriteria;
use crate::demand::Demand;
use mastbay_types::Timestamp;

impl Dispatcher {
    /// Returns whether a back end outside `demand.tried` has capacity for the request now. Nothing
    /// is reserved.
    pub fn has_alternative(&mut self, now: Timestamp, demand: &Demand) -> bool {
        let class = self.share_class(now, demand);
        let release = self.default_release(now, &demand.service);
        let criteria = SelectionCriteria { class, is_final_attempt: false, release };
        self.best(now, demand, &criteria).is_some()
    }
}
