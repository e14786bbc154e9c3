//! A member of the fleet and the version of what is known about it.

use mastbay_types::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts callers' connections.
    Gateway,
    /// Grants back-end slots, watches the configuration and stores claims.
    Scheduler,
}

impl Role {
    /// Returns the role's name in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::Scheduler => "scheduler",
        }
    }
}

/// The believed state of a member. Within one epoch a later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Answered neither a direct probe nor the indirect ones.
    Suspect,
    /// Announced that it is shutting down; still answers probes.
    Leaving,
    /// Did not refute a suspicion in time.
    Dead,
}

/// Version of the state of a member, ordered by incarnation, then by refutation count.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Incarnation of the process, which changes when it restarts.
    pub incarnation: Incarnation,
    /// Number of refutations within the incarnation. Only the member itself increments it.
    pub refutation: u32,
}

/// A member's state at one epoch, as sent in packets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process, identified by its peer address.
    pub process: ProcessId,
    /// Role of the process.
    pub role: Role,
    /// Zone in which the process runs.
    pub zone: Arc<str>,
    /// Version of this update.
    pub epoch: Epoch,
    /// State at that version, as believed by the sender.
    pub state: MemberState,
}

impl Member {
    /// Returns whether this update is newer than `known`.
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.epoch, self.state) > (known.epoch, known.state)
    }
}
