//! Blocks of loopback ports, each reserved for one test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

/// Blocks lie outside the range of ephemeral ports.
const FIRST_BLOCK: u16 = 12_000;
const LAST_BLOCK: u16 = 31_000;
/// Ports in a block. A listener on the first one reserves the block.
const BLOCK_SIZE: u16 = 100;

/// Block of ports, reserved until this value is dropped.
#[derive(Debug)]
pub struct PortBlock {
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Reserves a block on whose ports no process listens.
    ///
    /// # Panics
    /// Panics if every block is taken.
    pub fn take() -> Self {
        let blocks = usize::from((LAST_BLOCK - FIRST_BLOCK) / BLOCK_SIZE);
        let start = std::process::id() as usize % blocks;
        for offset in 0..blocks {
            let block = ((start + offset) % blocks) as u16;
            let first = FIRST_BLOCK + block * BLOCK_SIZE;
            let Ok(guard) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) else { continue };
            let (next, end) = (first + 1, first + BLOCK_SIZE);
            if (next..end).all(is_unused) {
                return Self { _guard: guard, next, end };
            }
        }
        panic!("every block of ports is taken");
    }

    /// Returns the next address of the block without binding it. A child process that another
    /// thread is starting could inherit a listener bound here and keep the address in use.
    ///
    /// # Panics
    /// Panics if the block is used up.
    pub fn next_address(&mut self) -> SocketAddr {
        assert!(self.next < self.end, "the block of ports is used up");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
        self.next += 1;
        address
    }
}

/// Returns whether no process listens on a port: one of a test that was killed may outlive it.
fn is_unused(port: u16) -> bool {
    TcpStream::connect((Ipv4Addr::LOCALHOST, port)).is_err()
}
