//! Prompt parts that back ends are known to bear.
//!
//! A fatal part crashes each back end that begins to run it, so one that a back end has borne is not
//! the cause of crashes. Its requests may still be in flight at many back ends that end, the more
//! so the more popular it is.

use crate::engine_key::EngineKey;
use crate::suspect::Suspect;
use std::collections::{BTreeSet, HashMap};

/// Number of terminations since a part was last borne that are not held against it. More without a
/// single run that was borne show that it has become fatal, for instance with a new version of the
/// back ends' software.
const MAX_EXCUSED: usize = 6;
/// Number of parts in each of the two generations.
const GENERATION_SIZE: usize = 4_096;

/// The back ends that terminated since a part was last borne, as far as they are excused.
type ExcusedTerminations = BTreeSet<EngineKey>;

/// The parts that were borne last. Bounded: the parts that were borne least recently are forgotten
/// a generation at a time.
#[derive(Debug, Default)]
pub struct Survivals {
    latest: HashMap<Suspect, ExcusedTerminations>,
    earlier: HashMap<Suspect, ExcusedTerminations>,
}

impl Survivals {
    /// Records that a back end has borne a request with a part.
    pub fn record(&mut self, part: Suspect) {
        self.earlier.remove(&part);
        if let Some(excused) = self.latest.get_mut(&part) {
            excused.clear();
            return;
        }
        if self.latest.len() >= GENERATION_SIZE {
            self.earlier = std::mem::take(&mut self.latest);
        }
        self.latest.insert(part, ExcusedTerminations::new());
    }

    /// Returns whether a part was borne and few back ends have terminated under it since.
    pub fn contains(&self, part: Suspect) -> bool {
        let known = self.latest.get(&part).or_else(|| self.earlier.get(&part));
        known.is_some_and(|excused| excused.len() < MAX_EXCUSED)
    }

    /// Returns whether the termination of a back end is not held against a suspect.
    pub fn excuse(&mut self, suspect: Suspect, back_end: EngineKey) -> bool {
        let known = self.latest.get_mut(&suspect).or_else(|| self.earlier.get_mut(&suspect));
        let Some(excused) = known else { return false };
        if excused.len() < MAX_EXCUSED {
            excused.insert(back_end);
        }
        excused.contains(&back_end)
    }
}
