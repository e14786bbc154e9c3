//! Which processes of the fleet are there: direct and indirect probes at a constant rate, suspicion
//! before death, refutation by incarnation, and news carried on the probes themselves (the SWIM
//! family of protocols).
//!
//! The state machine is pure: it is told the time, incoming packets and a source of randomness, and
//! returns packets to send.

mod member;
mod news;
mod view;

pub use member::{Epoch, Member, MemberState, Role};
pub use news::NewsBuffer;
pub use view::{Membership, MembershipConfig, Packet, Transmit};

#[cfg(test)]
mod tests;
