//! One-way messages between the processes of a fleet, batched, encoded as MessagePack, signed with
//! the shared secret and sent in HTTP POST requests. Delivery is best effort: protocols on top
//! retransmit what must arrive.

mod envelope;
mod outbox;
mod secret;

pub use envelope::{Envelope, Message, PROTOCOL_VERSION};
pub use outbox::{Outbox, OutboxConfig, OutboxCounts};
pub use secret::{PeerSecret, ReceiveError, receive};

#[cfg(test)]
mod tests;
