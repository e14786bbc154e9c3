//! HTTP/1.1 on `hyper` and `smol`: a server with graceful shutdown, a connection that reports
//! whether it wrote any bytes, and a small pooled client for calls between processes.

mod body;
mod client;
mod connection;
mod counted;
mod delegated_reads;
mod delegated_writes;
mod handshakes;
mod http_stream;
mod idle;
mod metered;
mod server;
mod wait;
mod waking_writer;

pub use body::{Body, BodyError, ReadBodyError, empty, full, json, read_limited, streamed};
pub use client::{CallError, Client, ClientConfig, Reply};
pub use connection::{ConnectError, Connection, ExchangeError};
pub use counted::{Counted, WriteCount};
pub use http_stream::{HttpStream, http_stream};
pub use idle::IdleConnections;
pub use metered::{ExcessBytes, MeteredBody, MeteredStream, ReadMeter};
pub use server::{BindError, Server, ServerConfig, Stopper};
pub use wait::{TimedOut, within};
pub use waking_writer::WakingWriter;

#[cfg(test)]
mod pending_write_tests;
#[cfg(test)]
mod tests;
