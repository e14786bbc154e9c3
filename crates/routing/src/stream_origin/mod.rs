//! Which back ends began a stream, so that it is only resumed at back ends of the same software
//! version.
//!
//! What two software versions write does not fit together, and back ends do not check it. A caller
//! may resume a stream at any router. The router that relays a stream's first event records its
//! origin and reports it to a few other routers, which are selected by rendezvous hashing of the
//! request's ID. A router that is asked to resume a stream asks them. Reports are not acknowledged:
//! if a record is lost, the stream cannot be resumed, but it never continues at another version.
//! Records and the versions that were in service can be archived outside the routers, so that they
//! outlive a loss of all of them. Versions are archived before streams begin there, and a router reads
//! the archive before it takes a version for the only one: what it and its peers know may be old.

mod history;
mod lookup;
mod messages;
mod owners;
mod records;
mod withheld;

pub use history::{ListView, MAX_STREAM_AGE, OriginHistory};
pub use lookup::{LookupState, OriginLookup, OriginSource};
pub use messages::{
    KnownOrigin, OriginAnswer, OriginMessage, OriginQuery, OriginReply, OriginReport, StreamKey,
    StreamOrigin, StreamRecord,
};
pub use owners::{ASKED_OWNERS, Member, OWNERS, owners};
pub use records::{MAX_ARCHIVED, MAX_RECORDS, OriginRecords};
pub use withheld::WithheldVersions;
