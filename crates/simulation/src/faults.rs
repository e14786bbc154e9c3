//! Faults of processes and of the network between them.

use mastbay_types::Timestamp;
use std::time::Duration;

/// A fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A machine's scheduler dies and starts anew, with empty state, after a while.
    KillScheduler {
        /// The machine.
        machine: usize,
        /// Time until it starts again.
        down: Duration,
    },
    /// A machine's scheduler stands still and wakes.
    FreezeScheduler {
        /// The machine.
        machine: usize,
        /// For how long.
        span: Duration,
    },
    /// A machine's gateway stands still and wakes; what runs for it goes on.
    FreezeGateway {
        /// The machine.
        machine: usize,
        /// For how long.
        span: Duration,
    },
    /// Messages from some machines to the others are lost.
    Cut {
        /// Machines cut off.
        machines: Vec<usize>,
        /// Whether messages to them are lost as well.
        both_ways: bool,
        /// For how long.
        span: Duration,
    },
    /// Some share of all messages is lost.
    Loss {
        /// The share.
        share: f64,
        /// For how long.
        span: Duration,
    },
}

/// A fault and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedFault {
    /// When it begins.
    pub at: Timestamp,
    /// What happens.
    pub fault: Fault,
}

/// The same kind of fault again and again, on one machine after another.
pub fn in_turn(
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
