//! Which back ends began a stream, so that it is only resumed at back ends of the same software
//! version: what two versions write does not fit together, and back ends do not check it.

mod messages;

pub use messages::StreamOrigin;
