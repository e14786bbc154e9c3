//! Functions common to all processes of the fleet: membership, configuration, messages between
//! peers, settings and startup. Gateways and schedulers add their own behaviour through [`Duty`].

mod clock;
mod metrics;
mod node;
mod settings;
mod signals;
mod startup;
mod wake;
mod watch;

pub use clock::Clock;
pub use metrics::{NodeMetrics, PeerRefusal};
pub use node::{Duty, Node};
pub use settings::{NodeSettings, read_node_settings};
pub use signals::wait_for_stop;
pub use startup::{ExitReason, StartError, load_settings, report_and_exit_code};
pub use wake::Wake;
pub use watch::{ROOT_KEY, part_key};

#[cfg(test)]
mod tests;
