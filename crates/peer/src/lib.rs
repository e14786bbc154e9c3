//! Messages between the fleet's own processes: one-way, batched, signed with the shared secret and
//! carried as MessagePack in HTTP posts. A message may be lost; every protocol above repeats what
//! matters.

mod envelope;
mod outbox;
mod secret;

pub use envelope::{Envelope, Message, PROTOCOL_VERSION};
pub use outbox::{Outbox, OutboxConfig, OutboxCounts};
pub use secret::{PeerSecret, ReceiveError, receive};

#[cfg(test)]
mod tests;
