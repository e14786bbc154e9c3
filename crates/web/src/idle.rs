//! Connections kept open between exchanges. Only one whose last exchange ended cleanly is used again.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Idle connections by address.
#[derive(Debug)]
pub struct IdleConnections {
    most_per_address: usize,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl IdleConnections {
    /// None yet, and at most `most_per_address` later.
    pub fn new(most_per_address: usize) -> Self {
        Self { most_per_address, idle: Mutex::default() }
    }

    /// Takes a connection that is ready for an exchange.
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

    /// Keeps a connection whose exchange ended cleanly.
    pub fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < self.most_per_address {
            connections.push(connection);
        }
    }

    /// Closes the connections to addresses that `in_use` does not hold.
    pub fn retain(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        self.lock().retain(|address, _| in_use(address));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
