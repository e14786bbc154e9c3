//! Splits the bytes of an event stream into complete events.
//!
//! Each byte is looked at once, however small the events or however large a single one is.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The longest end of an event is four bytes long, so that many less one may have arrived before.
const MAX_PARTIAL_END: usize = 3;

/// Splits a byte stream after complete events, which end with an empty line.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns all complete events in one buffer, if there are any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(MAX_PARTIAL_END);
        self.partial.extend_from_slice(bytes);
        let end = end_of_last_event(&self.partial[searched..])?;
        Some(self.partial.split_to(searched + end).freeze())
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

/// Returns whether an event has data. One without, such as a comment, only keeps a stream alive.
pub fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|at| end_at(bytes, at))
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|at| end_at(bytes, at))
}

/// Returns the end of the event whose last line ends with the line feed at `at`.
fn end_at(bytes: &[u8], at: usize) -> Option<usize> {
    let rest = bytes[at..].strip_prefix(b"\n")?;
    if rest.starts_with(b"\n") {
        return Some(at + 2);
    }
    let ends_with_return = bytes[..at].ends_with(b"\r");
    (ends_with_return && rest.starts_with(b"\r\n")).then_some(at + 3)
}
