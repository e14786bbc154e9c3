//! Test bed for the demo, tests and measurements: starts a fleet of real processes on loopback with
//! stand-ins of its dependencies, and sends load, signals and faults to single processes.

mod bed;
mod call;
mod check;
mod configuration;
mod ending_back_ends;
mod fatal_parts;
mod load;
mod ports;
mod process;
mod raw;
mod relay;
mod runs;

pub use bed::{Bed, BedOptions, Machine};
pub use call::{Answer, CallError, Caller, chat_body, event_data};
pub use check::{expected_answer, wait_until};
pub use configuration::{TenantDeclaration, key_of};
pub use ending_back_ends::{Behaviour, EndingBackEnds, FATAL, THRICE};
pub use fatal_parts::{CrashRecord, Crashes, FatalParts, Framing, PartialEvent};
pub use load::{CallOutcome, Load, LoadOptions, Observed};
pub use ports::PortBlock;
pub use process::{Process, StartError, binary};
pub use raw::{header, read_request, read_whole_request};
pub use relay::Relay;
pub use runs::Runs;
