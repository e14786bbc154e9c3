//! What travels in one post.

use mastbay_claims::ClaimMessage;
use mastbay_configuration::Generation;
use mastbay_grants::{Grants, Report};
use mastbay_machines::MachineMessage;
use mastbay_membership::Packet;
use mastbay_spread::SpreadMessage;
use mastbay_types::ProcessId;
use serde::{Deserialize, Serialize};

/// Version of the messages below. Another version is refused with a clear error, not guessed at.
pub const PROTOCOL_VERSION: u16 = 1;

/// A message of any duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Who is there.
    Membership(Packet),
    /// Which configuration is in force.
    Spread(SpreadMessage),
    /// Which machines are leaving.
    Machines(MachineMessage),
    /// A gateway's demand.
    Report(Report),
    /// A scheduler's grants.
    Grants(Grants),
    /// Claims for idempotency keys.
    Claim(ClaimMessage),
}

/// Messages from one process to another, with what every post tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ProcessId,
    /// The receiver meant: an address taken over by another process must not act on it.
    pub to: ProcessId,
    /// The configuration in force at the sender.
    pub generation: Generation,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}
