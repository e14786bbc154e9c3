//! Loopback ports that no other test takes.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Ports outside the range that the operating system gives to outgoing connections.
const FIRST_BLOCK: u16 = 12_000;
const LAST_BLOCK: u16 = 31_000;
/// Ports in a block. The first one is held open to keep the block.
const BLOCK_SIZE: u16 = 100;

/// A block of ports, kept as long as this value lives.
#[derive(Debug)]
pub struct PortBlock {
    _guard: TcpListener,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Takes a free block.
    ///
    /// # Panics
    /// When every block is taken.
    pub fn take() -> Self {
        let blocks = usize::from((LAST_BLOCK - FIRST_BLOCK) / BLOCK_SIZE);
        let start = std::process::id() as usize % blocks;
        for offset in 0..blocks {
            let block = ((start + offset) % blocks) as u16;
            let first = FIRST_BLOCK + block * BLOCK_SIZE;
            if let Ok(guard) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                return Self { _guard: guard, next: first + 1, end: first + BLOCK_SIZE };
            }
        }
        panic!("every block of ports is taken");
    }

    /// The next address of the block. It is not tried out: a listener opened for that would, for a
    /// moment, be held open by any child that another thread is just starting.
    ///
    /// # Panics
    /// When the block is used up.
    pub fn next_address(&mut self) -> SocketAddr {
        assert!(self.next < self.end, "the block of ports is used up");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
        self.next += 1;
        address
    }
}
