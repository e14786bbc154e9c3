//! The stream under every HTTP connection, of callers and to other processes.

use crate::metered::{MeteredStream, ReadMeter};
use crate::waking_writer::WakingWriter;
use smol_hyper::rt::FuturesIo;

/// A stream that the HTTP library reads from and writes to.
pub type HttpStream<S> = FuturesIo<MeteredStream<WakingWriter<S>>>;

/// Prepares `stream` for the HTTP library. What is read is counted by `meter`.
pub fn http_stream<S>(stream: S, meter: ReadMeter) -> HttpStream<S> {
    FuturesIo::new(MeteredStream::new(WakingWriter::new(stream), meter))
}
