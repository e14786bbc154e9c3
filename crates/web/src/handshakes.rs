//! Ends new handshakes at a listener that is about to close.
//!
//! A connection that the operating system completes between the last accept and the close of the listener is reset,
//! with whatever its caller has sent. While the opening packets of new connections are dropped, those that had begun can be
//! taken to the last one; a caller whose opening packet was dropped sends it again a second later and is refused then.

use smol::net::TcpListener;
use socket2::{SockFilter, SockRef};
use std::io;
use std::time::Duration;

/// Time for the last step of handshakes that have begun: several round trips between zones.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(100);

/// Loads one byte of the packet; in a filter on a TCP socket it begins with the TCP header.
const LOAD_BYTE: u16 = 0x30;
/// Goes on by whether any bit of a mask is set.
const JUMP_IF_SET: u16 = 0x45;
/// Ends the filter with the number of bytes that are kept.
const KEEP: u16 = 0x06;
/// Offset of the flags in a TCP header.
const FLAGS_OFFSET: u32 = 13;
/// The flag of a packet that opens a connection.
const SYN: u32 = 0x02;

/// Drops the opening packets of new connections to a listener from now on.
///
/// # Errors
/// If the operating system takes no filter.
pub fn refuse_handshakes(listener: &TcpListener) -> io::Result<()> {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(KEEP, 0, 0, 0),
        SockFilter::new(KEEP, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}
