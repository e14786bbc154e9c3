//! Connections to back ends. Only one whose last exchange ended cleanly is used again.

use mastbay_web::{ConnectError, Connection};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Idle connections kept for each back end.
const MOST_IDLE: usize = 64;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct BackendConnections {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl BackendConnections {
    /// An idle connection, or a new one.
    pub async fn get(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, limit).await,
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
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
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to addresses that `in_use` does not hold.
    pub fn retain(&self, in_use: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|address, _| in_use(address));
    }
}
