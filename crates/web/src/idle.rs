//! A pool of idle connections. Only connections whose last exchange ended cleanly are reused.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Idle connections by address.
#[derive(Debug)]
pub struct IdleConnections {
    max_per_address: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl IdleConnections {
    /// Creates an empty pool that keeps at most `max_per_address` connections to each address.
    pub fn new(max_per_address: usize) -> Self {
        Self { max_per_address, idle: Mutex::default() }
    }

    /// Takes a connection that is ready for an exchange, and closes those that no longer are.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose exchange ended cleanly to the pool, or closes it if the address
    /// has its maximum.
    pub fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.max_per_address {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to addresses for which `in_use` returns false.
    pub fn retain(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|address, _| in_use(address));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
