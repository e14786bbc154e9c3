//! Versions of back ends that may resume a stream.

use super::Dispatcher;
use crate::back_end::BackEnd;

impl Dispatcher {
    /// Returns whether a back end changed its version since it was placed as `placed`.
    pub fn has_other_version(&self, placed: &BackEnd) -> bool {
        self.back_end(&placed.id).is_some_and(|listed| listed.version != placed.version)
    }
}
