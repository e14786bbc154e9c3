//! Validated INI files. All faults of a file are reported together, each with its file, section,
//! key and the expected value.
//!
//! ```
//! use mastbay_settings::{Document, Faults};
//!
//! let document = Document::parse("gateway.ini", "[peer]\naddress = 127.0.0.1:70000\n").unwrap();
//! let mut faults = Faults::default();
//! let mut section = document.section("peer", &mut faults);
//! let address: Option<std::net::SocketAddr> = section.required("address");
//! section.finish();
//! assert!(address.is_none());
//! assert_eq!(
//!     faults.to_string(),
//!     "gateway.ini: [peer] address: expected an address such as 127.0.0.1:8080, \
//!      found '127.0.0.1:70000'\n"
//! );
//! ```

mod document;
mod fault;
mod value;

pub use document::{Document, LoadError, SectionReader};
pub use fault::{Fault, Faults, Problem};
pub use value::{Bounded, Expected, Name, Span, Value};

#[cfg(test)]
mod tests;
