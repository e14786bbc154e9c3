//! Stops new TCP handshakes at a listener that is about to close.
//!
//! A connection that the operating system establishes between the last accept and the close of the
//! listener is reset. Dropping SYN packets first lets all handshakes in progress complete and be
//! accepted; a client whose SYN was dropped retransmits it and is refused by the closed port.

use smol::net::TcpListener;
use socket2::{SockFilter, SockRef};
use std::io;
use std::time::Duration;

/// Time for handshakes in progress to complete: several round trips between zones.
pub const HANDSHAKE_GRACE: Duration = Duration::from_millis(100);

/// BPF opcode: loads one byte at an offset from the TCP header.
const LOAD_BYTE: u16 = 0x30;
/// BPF opcode: jumps depending on whether any bit of a mask is set.
const JUMP_IF_SET: u16 = 0x45;
/// BPF opcode: returns the number of bytes to keep; 0 drops the packet.
const RETURN: u16 = 0x06;
/// Offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
/// The SYN flag, set on packets that open a connection.
const SYN: u32 = 0x02;

/// Drops all further SYN packets to `listener`.
///
/// # Errors
/// Returns an error if the operating system rejects the packet filter.
pub fn refuse_handshakes(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}
