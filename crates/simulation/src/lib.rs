//! Simulation of the fleet in seeded virtual time: the production decision code, driven by an event
//! queue instead of sockets and clocks, with delays, loss, partitions, freezes and restarts. Runs
//! with the same scenario and seed give identical results.
//!
//! - [`scenario`] reads scenario files; [`workload`] generates their arrivals.
//! - [`engines`] models back ends; [`world`] runs a dispatcher against them and collects metrics.
//! - [`fleet`] is the production dispatcher: gateways and schedulers that exchange messages over
//!   [`network`]; [`baselines`] are the dispatchers that it is compared with.
//! - [`router_fleet`] compares routers that decide independently with one that has complete state.
//! - [`safety`] runs single requests with every fault at every step.

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
