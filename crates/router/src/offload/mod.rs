//! Connection offload: an overloaded router forwards new connections of callers to a peer.
//!
//! Of the bytes that are copied only the framing of messages is read, which costs a fraction of
//! serving the requests, and answers are copied at intervals. The peer sends a hello before any byte
//! of the caller is forwarded, so a connection that no peer accepts can still be served or closed
//! here. Peers never forward a connection again.
//!
//! Before each request this router sends its age: how long ago the request began to arrive here. A
//! router forwards connections because it is late, and the caller's deadline goes on meanwhile.
//!
//! Both routers must have the same configuration in force. The peer serves the connection by it,
//! and requests are copied only while it is in force here: callers of one address see one
//! configuration at a time. The peer does not know when this router stops, so none is copied from
//! then on.

mod answers;
mod copy;
mod exchange_state;
mod requests;

pub use copy::{
    AcceptedCaller, CopyOutcome, EndReason, ForwardedConnection, Interruption, Stage, StopPhases,
};

use crate::runtime::Runtime;
use derive_more::{Display, Error};
use smol::io::{AsyncReadExt, AsyncWrite};
use smol::net::TcpStream;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Length of a hello, in bytes.
pub const HELLO_LENGTH: usize = 9;
/// First byte of a hello of a peer that reads ages. Those of earlier versions send another one and
/// take no connections of this version.
const HELLO_MARKER: u8 = b'*';
/// Timeout for a peer to accept a connection: several round trips between machines of a zone.
const HELLO_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of bytes copied at a time.
const BUFFER_SIZE: usize = 32 << 10;

/// Returns the first bytes that a peer sends on a connection that it accepts: an asterisk and the
/// version of the configuration that it serves, in eight bytes, big endian.
pub fn hello(version: u64) -> [u8; HELLO_LENGTH] {
    let mut bytes = [HELLO_MARKER; HELLO_LENGTH];
    bytes[1..].copy_from_slice(&version.to_be_bytes());
    bytes
}

/// Returns the configuration version in a hello; `None` if the bytes are not a hello.
fn hello_version(hello: [u8; HELLO_LENGTH]) -> Option<u64> {
    let (first, version) = hello.split_first()?;
    let version = version.try_into().ok().map(u64::from_be_bytes);
    version.filter(|_| *first == HELLO_MARKER)
}

/// The reason why a peer did not accept a connection.
#[derive(Debug, Display, Error)]
pub enum OffloadError {
    /// The peer cannot be reached.
    #[display("unreachable")]
    Unreachable(std::io::Error),
    /// The peer closed the connection without a valid hello: it has no capacity.
    #[display("no_room")]
    NoCapacity,
    /// The peer sent no hello in time.
    #[display("silent")]
    TimedOut,
    /// The peer has another version of the configuration in force.
    #[display("other_configuration")]
    OtherConfiguration {
        /// The version that the peer has in force.
        peer: u64,
    },
}

/// A connection to a peer that has accepted a caller of this router.
pub struct PeerConnection(TcpStream);

/// Connects to a peer and waits for its hello, which must name version `version` of the
/// configuration.
///
/// # Errors
/// If the peer is unreachable, accepts no connection in time, or has another version in force.
pub async fn connect(
    runtime: Runtime,
    peer: SocketAddr,
    version: u64,
) -> Result<PeerConnection, OffloadError> {
    let accepted = async {
        let mut stream = TcpStream::connect(peer).await.map_err(OffloadError::Unreachable)?;
        // The connection works without TCP_NODELAY, too.
        let _ = stream.set_nodelay(true);
        let mut hello = [0; HELLO_LENGTH];
        stream.read_exact(&mut hello).await.map_err(|_| OffloadError::NoCapacity)?;
        // A change reaches routers up to a second apart. Without this check, callers of one address
        // could be served by a newer version and then by an older one.
        match hello_version(hello) {
            Some(peer) if peer == version => Ok(PeerConnection(stream)),
            Some(peer) => Err(OffloadError::OtherConfiguration { peer }),
            None => Err(OffloadError::NoCapacity),
        }
    };
    runtime.within(HELLO_TIMEOUT, accepted).await.unwrap_or(Err(OffloadError::TimedOut))
}

thread_local! {
    /// One buffer for all connections: bytes are written as soon as they are read.
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; BUFFER_SIZE].into_boxed_slice());
}

/// Writes what the connection accepts without blocking and returns the rest.
fn write_some(
    to: &mut TcpStream,
    context: &mut Context<'_>,
    bytes: &[u8],
) -> std::io::Result<Vec<u8>> {
    if bytes.is_empty() {
        return Ok(Vec::new());
    }
    match Pin::new(to).poll_write(context, bytes)? {
        Poll::Ready(written) => Ok(bytes[written..].to_vec()),
        Poll::Pending => Ok(bytes.to_vec()),
    }
}
