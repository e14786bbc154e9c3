//! Which machines are leaving, from the platform's lagging machine list, kept through its outages.
//!
//! Schedulers poll the list and pass a newer one on to each other, so that a scheduler that starts
//! while the platform is down still learns of a notice that any of them has seen.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// A machine's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It takes work.
    Live,
    /// It is to be stopped and must get no new work.
    Leaving,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Where what runs there listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: MachineState,
}

/// The platform's list at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Rises with every change.
    pub revision: u64,
    /// The machines.
    pub machines: Vec<Machine>,
}

/// A message about machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineMessage {
    /// Asks for the newest list known.
    ListRequest,
    /// The newest list known to the sender.
    List(MachineList),
}

/// The newest list that one process knows.
#[derive(Debug, Default)]
pub struct MachineBoard {
    newest: MachineList,
}

impl MachineBoard {
    /// Takes a list. Returns whether it is newer than the one known.
    pub fn offer(&mut self, list: MachineList) -> bool {
        let newer = list.revision > self.newest.revision;
        if newer {
            self.newest = list;
        }
        newer
    }

    /// The newest list known.
    pub fn newest(&self) -> &MachineList {
        &self.newest
    }

    /// Whether what listens at `address` is leaving. An entry with port 0 speaks for the machine's
    /// every port.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        self.newest.machines.iter().any(|machine| {
            let same = machine.address == address
                || machine.address.port() == 0 && machine.address.ip() == address.ip();
            same && machine.state == MachineState::Leaving
        })
    }
}
