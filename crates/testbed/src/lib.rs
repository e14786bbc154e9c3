//! A fleet of real processes on loopback, for tests, the demo and measurements: stand-ins, gateways
//! and schedulers are started, watched, hurt and stopped here, each by its own process id.

mod bed;
mod call;
mod check;
mod configuration;
mod ending_back_ends;
mod load;
mod ports;
mod process;
mod raw;
mod relay;
mod runs;

pub use bed::{Bed, BedOptions, Machine};
pub use call::{Answer, CallFailed, Caller, chat_body, event_data};
pub use check::{expected_words, wait_until};
pub use configuration::{TenantDeclaration, key_of};
pub use ending_back_ends::{Behaviour, EndingBackEnds, FATAL, THRICE};
pub use load::{Load, LoadOptions, Observed, Told};
pub use ports::PortBlock;
pub use process::{Process, StartFailed, binary};
pub use raw::{header, read_request, read_whole_request};
pub use relay::Relay;
pub use runs::Runs;
