//! The platform's machine list, which announces machines that are about to stop.
//!
//! Schedulers poll the list, which may lag, and send newer revisions to each other. Therefore a
//! scheduler that starts while the platform is down still learns of announced stops.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// A machine's state in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// Accepts work.
    Live,
    /// About to be stopped; must receive no new work.
    Leaving,
}

/// An entry of the platform's machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Listening address of the process on the machine. Port 0 stands for all ports.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// State reported by the platform.
    pub state: MachineState,
}

/// The platform's machine list at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Increases with every change of the list.
    pub revision: u64,
    /// All machines in the list.
    pub machines: Vec<Machine>,
}

/// A message between schedulers about the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineMessage {
    /// Requests the newest list known to the receiver.
    ListRequest,
    /// Carries the newest list known to the sender.
    List(MachineList),
}

/// The newest machine list known to a process.
#[derive(Debug, Default)]
pub struct MachineListCache {
    newest: MachineList,
}

impl MachineListCache {
    /// Replaces the known list if `list` has a higher revision. Returns whether it was replaced.
    pub fn update(&mut self, list: MachineList) -> bool {
        let newer = list.revision > self.newest.revision;
        if newer {
            self.newest = list;
        }
        newer
    }

    /// Returns the newest list, empty at revision 0 until one is known.
    pub fn newest(&self) -> &MachineList {
        &self.newest
    }

    /// Returns whether the process at `address` is on a leaving machine. An entry with port 0
    /// matches all ports of its IP address.
    pub fn is_leaving(&self, address: SocketAddr) -> bool {
        self.newest.machines.iter().any(|machine| {
            let matches_address = machine.address == address
                || machine.address.port() == 0 && machine.address.ip() == address.ip();
            matches_address && machine.state == MachineState::Leaving
        })
    }
}
