//! HTTP/1.1 over `smol` by `hyper`: a server that stops gracefully, a connection that knows whether
//! it wrote anything, and a small pooled client for calls between processes.

mod body;
mod client;
mod connection;
mod counted;
mod handshakes;
mod idle;
mod server;
mod wait;

pub use body::{Body, BodyError, ReadBodyError, empty, full, json, read_limited, streamed};
pub use client::{CallError, Client, ClientConfig, Reply};
pub use connection::{ConnectError, Connection, ExchangeError};
pub use counted::{Counted, WriteCount};
pub use idle::IdleConnections;
pub use server::{BindError, Server, ServerConfig, Stopper};
pub use wait::{TimedOut, within};

#[cfg(test)]
mod tests;
