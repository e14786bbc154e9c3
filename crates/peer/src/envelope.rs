//! Body of a POST request between processes.

use mastbay_claims::ClaimMessage;
use mastbay_configuration::Generation;
use mastbay_grants::{Grants, Report};
use mastbay_machines::MachineMessage;
use mastbay_membership::Packet;
use mastbay_spread::SpreadMessage;
use mastbay_types::ProcessId;
use serde::{Deserialize, Serialize};

/// Version of the message format. Requests with any other version are rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// A message of any of the protocols between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Group membership.
    Membership(Packet),
    /// Propagation of configurations.
    Spread(SpreadMessage),
    /// The platform's machine list.
    Machines(MachineMessage),
    /// Demand reported by a gateway to a scheduler.
    Report(Report),
    /// Grants from a scheduler to a gateway.
    Grants(Grants),
    /// Claims for idempotency keys.
    Claim(ClaimMessage),
}

/// A batch of messages from one process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ProcessId,
    /// The intended receiver. A process that has taken over its address rejects the envelope.
    pub to: ProcessId,
    /// The configuration in force at the sender.
    pub generation: Generation,
    /// Messages in sending order.
    pub messages: Vec<Message>,
}
