//! Admission under load: waiting requests over the whole fleet.

mod backlog;

pub use backlog::BacklogReport;
