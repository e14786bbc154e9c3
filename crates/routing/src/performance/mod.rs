//! Performance of engines as observed by the whole fleet.
//!
//! In a large fleet a router and an engine meet too seldom for the router to learn the engine's
//! speed alone, so routers add up what they observe.

mod counts;
mod estimate;

pub use counts::{EnginePerformanceReport, PerformanceCounts};
pub use estimate::PerformanceEstimate;
