//! Faults of processes and of the network between them.

use mastbay_types::Timestamp;
use std::time::Duration;

/// A fault of a process or of the network.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A machine's scheduler is killed and restarts with empty state.
    KillScheduler {
        /// Index of the machine.
        machine: usize,
        /// Time until it restarts.
        down: Duration,
    },
    /// A machine's scheduler freezes and resumes.
    FreezeScheduler {
        /// Index of the machine.
        machine: usize,
        /// Duration of the fault.
        span: Duration,
    },
    /// A machine's gateway freezes and resumes; its running requests continue.
    FreezeGateway {
        /// Index of the machine.
        machine: usize,
        /// Duration of the fault.
        span: Duration,
    },
    /// Some machines are partitioned: their messages to the others are lost.
    Cut {
        /// Indices of the partitioned machines.
        machines: Vec<usize>,
        /// Whether messages to them are lost as well.
        both_ways: bool,
        /// Duration of the fault.
        span: Duration,
    },
    /// A fraction of all messages is lost.
    Loss {
        /// Probability that a message is lost, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        span: Duration,
    },
}

/// A fault scheduled at a time.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedFault {
    /// Start of the fault.
    pub at: Timestamp,
    /// The fault.
    pub fault: Fault,
}

/// Returns faults at regular intervals from `first` until `end`, on each machine in rotation.
pub fn rotating_faults(
    machines: usize,
    first: Duration,
    period: Duration,
    end: Duration,
    fault: impl Fn(usize) -> Fault,
) -> Vec<TimedFault> {
    let mut faults = Vec::new();
    let mut at = first;
    while at < end {
        let machine = faults.len() % machines;
        faults.push(TimedFault { at: Timestamp::ZERO + at, fault: fault(machine) });
        at += period;
    }
    faults
}
