//! A decentralized request router: it serves callers, keeps connections to back ends, exchanges
//! load reports with its peers, and distributes configuration to peers that lack it.
//!
//! The protocols of callers and back ends and the sources of configuration and back ends are
//! pluggable; see [`dialect`], [`catalogue`], [`quarantine_archive`], [`version_archive`],
//! [`archive_confirmations`] and [`record_archive`]. All tasks of a router run on one thread.

mod answer_end;
mod answer_writes;
pub mod archive_confirmations;
mod archive_reads;
mod availability;
mod back_end_notices;
pub mod body_budget;
mod broken_connections;
mod buffered_answer;
mod call;
mod callers;
pub mod catalogue;
mod chunked_body;
pub mod chunked_framing;
pub mod client;
mod clock;
mod connect_gate;
pub mod containment;
mod continuation;
pub mod dialect;
mod event_splitter;
pub mod events;
mod exchange;
mod forwarding;
mod headers;
mod lingering_close;
mod listener;
mod local_body;
mod log_rate_limiter;
pub mod message_framing;
mod metrics;
pub mod native_dialect;
mod offers;
pub mod offload;
mod operations;
mod outcome;
pub mod overflow;
mod own_answers;
mod peers;
mod pool;
mod quarantine;
pub mod quarantine_archive;
pub mod record_archive;
mod relay;
pub mod request_arrivals;
mod request_body;
pub mod request_head;
mod reserved_buffer;
mod resumption_headers;
mod retries;
mod retry_after;
mod router;
mod run_progress;
mod runtime;
mod send;
mod serve;
mod settings;
pub mod shutdown;
mod snapshot_serving;
mod snapshots;
mod stop;
mod stream_body;
mod stream_origins;
mod stream_source;
mod takeover;
mod throttled_reader;
mod ticket;
mod ticks;
mod try_failure;
mod update_signal;
pub mod version_archive;
mod watched_task;
mod write_timeout;

pub use listener::{ListenerLimits, StopSignal};
pub use metrics::RouterMetrics;
pub use router::{Dialects, Router};
pub use runtime::Runtime;
pub use settings::{RouterSettings, SECTIONS, read_router_settings};
pub use snapshots::SNAPSHOT_PATH;
pub use stop::{RunError, run};
pub use update_signal::Origin;
