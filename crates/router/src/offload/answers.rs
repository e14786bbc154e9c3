//! Copies answers from a peer to a caller.

use super::exchange_state::ExchangeState;
use super::{BUFFER, write_some};
use crate::runtime::Runtime;
use crate::write_timeout::WRITE_TIMEOUT;
use smol::io::{AsyncRead, AsyncWriteExt};
use smol::net::TcpStream;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

/// Reads of an answer that are not delayed, since its head may come before its first event.
const IMMEDIATE_READS: u32 = 2;

/// The side of a connection that failed while answers were copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BrokenSide {
    Peer,
    Caller,
}

/// Copies answers until the peer closes its connection. After the first reads of each, they are
/// copied at `interval`.
pub(super) async fn copy_answers(
    runtime: Runtime,
    mut peer: TcpStream,
    mut caller: TcpStream,
    interval: Duration,
    state: &ExchangeState,
) -> Result<(), BrokenSide> {
    let mut reads = 0;
    while copy_answers_once(runtime, &mut peer, &mut caller, state).await? {
        reads += 1;
        if state.on_answer_written(runtime.now()) {
            reads = 0;
        }
        if reads >= IMMEDIATE_READS {
            runtime.sleep(interval).await;
        }
    }
    Ok(())
}

/// Waits for bytes to read and copies them. Returns false at the end of the stream.
async fn copy_answers_once(
    runtime: Runtime,
    peer: &mut TcpStream,
    caller: &mut TcpStream,
    state: &ExchangeState,
) -> Result<bool, BrokenSide> {
    let (length, unwritten) = poll_fn(|context| {
        BUFFER.with_borrow_mut(|buffer| {
            let length = ready!(Pin::new(&mut *peer).poll_read(context, buffer));
            let length = length.map_err(|_| BrokenSide::Peer)?;
            state.on_answer(runtime.now(), &buffer[..length]);
            let unwritten = write_some(caller, context, &buffer[..length]);
            let unwritten = unwritten.map_err(|_| BrokenSide::Caller)?;
            Poll::Ready(Ok((length, unwritten)))
        })
    })
    .await?;
    let mut rest = &unwritten[..];
    while !rest.is_empty() {
        // A write that waits does not notice that the peer has given up such a caller.
        let written = runtime.within(WRITE_TIMEOUT, caller.write(rest)).await;
        match written {
            Ok(Ok(length @ 1..)) => rest = &rest[length..],
            Ok(_) | Err(_) => return Err(BrokenSide::Caller),
        }
    }
    Ok(length > 0)
}
