//! Closes a connection whose caller may still be sending.

use crate::runtime::Runtime;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use std::net::Shutdown;
use std::time::Duration;

/// Time for the caller to close the connection.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes read at a time.
const BUFFER_SIZE: usize = 4 << 10;
/// Number of reads after which the connection is closed.
const MAX_READS: usize = 256;

/// Closes a connection after an answer. What the caller still sends is read and dropped for a short
/// time: the operating system resets a connection that is closed with unread bytes, and drops the
/// part of the answer that is still on its way.
pub(crate) async fn close_after_answer(runtime: Runtime, mut caller: TcpStream) {
    // The connection may be closed already.
    let _ = caller.shutdown(Shutdown::Write);
    let read = async {
        // On the heap, since the size of the future counts for each connection.
        let mut buffer = vec![0; BUFFER_SIZE];
        for _ in 0..MAX_READS {
            if !matches!(caller.read(&mut buffer).await, Ok(1..)) {
                break;
            }
        }
    };
    // A caller that goes on is cut off.
    let _ = runtime.within(TIMEOUT, read).await;
}
