//! The fleet in seeded virtual time: the same decision code as in production, driven by an event
//! queue instead of sockets and clocks, with delay, loss, cuts, freezes and restarts. The same
//! scenario and seed give the same figures to the last digit.
//!
//! - [`scenario`] reads scenario files; [`workload`] turns them into arrivals.
//! - [`engines`] models back ends; [`world`] runs a dispatcher against them and measures.
//! - [`fleet`] is our own dispatcher: gateways and schedulers that exchange messages over
//!   [`network`]; [`baselines`] are the ways it is compared with.
//! - [`router_fleet`] holds routers that decide alone against one that knows everything at once.
//! - [`safety`] runs single requests through every fault at every step.

pub mod baselines;
pub mod engines;
pub mod event_queue;
pub mod faults;
pub mod fleet;
pub mod measure;
pub mod network;
pub mod report;
pub mod router_fleet;
pub mod safety;
pub mod scenario;
pub mod workload;
pub mod world;
