//! Performance of engines as observed by the whole fleet.
//!
//! In a large fleet a router and an engine meet too seldom for the router to learn the engine's
//! speed alone, so routers add up what they observe.

mod counts;
mod engine;
mod estimate;
mod own;
mod service;
mod speed;
mod stream;

pub use counts::{EnginePerformanceReport, PerformanceCounts};
pub use engine::EnginePerformance;
pub use estimate::PerformanceEstimate;
pub use service::ServiceMeans;
pub use speed::SpeedStep;
pub use stream::StreamProgress;
