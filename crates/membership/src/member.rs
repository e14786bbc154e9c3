//! One member as others know it.

use mastbay_types::{Incarnation, ProcessId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Holds callers' connections.
    Gateway,
    /// Hands out back-end slots, watches the configuration, keeps claims.
    Scheduler,
}

impl Role {
    /// The role's name in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::Scheduler => "scheduler",
        }
    }
}

/// How far a member is believed to be there. The order is that of precedence within one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe, directly and through others.
    Suspect,
    /// Said that it stops; still answers.
    Leaving,
    /// Suspected for too long, or gone.
    Dead,
}

/// Version of what is said about a member: its life, then how often it refuted a suspicion.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epoch {
    /// The life of the process.
    pub incarnation: Incarnation,
    /// Refutations within that life. Only the member itself raises it.
    pub refutation: u32,
}

/// One member, as carried in packets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process, by its peer address.
    pub process: ProcessId,
    /// Its role.
    pub role: Role,
    /// Its zone.
    pub zone: Arc<str>,
    /// Version of this statement.
    pub epoch: Epoch,
    /// The state believed.
    pub state: MemberState,
}

impl Member {
    /// Whether this statement replaces `known`.
    pub fn supersedes(&self, known: &Member) -> bool {
        (self.epoch, self.state) > (known.epoch, known.state)
    }
}
