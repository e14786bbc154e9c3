//! SWIM group membership: direct and indirect probes at a constant rate, suspicion before death,
//! refutation by incarnation, and membership updates piggybacked on probes.
//!
//! The state machine performs no I/O: callers pass in the time, received packets and a source of
//! randomness, and send the packets it returns.

mod member;
mod update_buffer;
mod view;

pub use member::{Epoch, Member, MemberState, Role};
pub use update_buffer::UpdateBuffer;
pub use view::{Membership, MembershipConfig, Packet, Transmit};

#[cfg(test)]
mod tests;
