//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream after complete events, which end with an empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events in one buffer, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = end_of_last_event(&self.partial)?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Returns the size of the buffered part of an incomplete event.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns whether an incomplete event is larger than allowed.
    pub fn exceeds_limit(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Drops an incomplete event.
    pub fn clear(&mut self) {
        self.partial.clear();
    }
}

/// Iterates over the single events in a buffer of complete events.
pub fn events_of(bytes: &Bytes) -> impl Iterator<Item = Bytes> {
    let mut rest = bytes.clone();
    std::iter::from_fn(move || {
        let end = end_of_first_event(&rest)?;
        Some(rest.split_to(end))
    })
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    let feeds = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    feeds.into_iter().chain(returns).min()
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let feeds = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    feeds.into_iter().chain(returns).max()
}
