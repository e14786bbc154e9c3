//! A router that decides alone: it serves callers, keeps connections to back ends, tells its peers what
//! it has under way, and passes configuration on to those that miss it.
//!
//! What callers and back ends speak, and where configuration and back ends come from, plugs in at the
//! seams in [`dialect`], [`catalogue`] and [`quarantine_archive`]. Everything runs on one thread.

mod back_end_notices;
pub mod body_budget;
mod broken_connections;
mod call;
mod callers;
pub mod catalogue;
pub mod client;
mod clock;
pub mod dialect;
mod ending;
pub mod events;
mod exchange;
mod forwarding;
mod headers;
mod line_budget;
mod listener;
mod metrics;
pub mod offload;
mod operations;
mod outcome;
pub mod overflow;
pub mod own_dialect;
mod paced;
mod peers;
mod pool;
mod quarantine;
pub mod quarantine_archive;
mod relay;
pub mod request_head;
mod retry_after;
mod router;
mod runtime;
mod send;
mod serve;
mod settings;
mod snapshot_serving;
mod snapshots;
mod stop;
mod ticket;
mod unread;
mod update_signal;
mod whole_answer;

pub use listener::{ListenerLimits, StopSignal};
pub use metrics::RouterMetrics;
pub use router::{Dialects, Router};
pub use runtime::Runtime;
pub use settings::{RouterSettings, SECTIONS, read_router_settings};
pub use snapshots::SNAPSHOT_PATH;
pub use stop::{RunError, run};
pub use update_signal::Origin;
