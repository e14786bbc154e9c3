//! Incremental parser of server-sent event streams. It measures the service, detects the end of the
//! stream and splits it at event boundaries, where a broken stream can be resumed.

use mastbay_types::Cost;
use serde::Deserialize;

/// Data of the event that ends a complete stream.
const END_MARKER: &[u8] = b"[DONE]";
/// Maximum size of a buffered incomplete event, in bytes.
const MAX_EVENT_SIZE: usize = 1 << 20;

/// Parses a stream from chunks cut at any position.
#[derive(Debug, Default)]
pub struct StreamMeter {
    partial: Vec<u8>,
    events: u64,
    complete_stream: bool,
    usage: Option<u64>,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl StreamMeter {
    /// Adds a chunk and returns the bytes of the events that it completes, unchanged.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(chunk);
        let rest = self.partial.split_off(end_of_last_event(&self.partial));
        let complete = std::mem::replace(&mut self.partial, rest);
        for line in complete.split(|byte| *byte == b'\n') {
            self.read_line(line.trim_ascii_end());
        }
        complete
    }

    /// Returns the number of data lines so far, without the one that ends the stream.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the event that ends the stream has arrived.
    pub fn is_complete(&self) -> bool {
        self.complete_stream
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_SIZE
    }

    /// Discards the buffered incomplete event.
    pub fn drop_partial_event(&mut self) {
        self.partial.clear();
    }

    /// Returns the service of the stream so far in tokens: the usage that the server reported, or
    /// one token per event.
    pub fn service(&self) -> Cost {
        let tokens = self.usage.unwrap_or(self.events);
        Cost(i64::try_from(tokens).unwrap_or(i64::MAX))
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == END_MARKER {
            self.complete_stream = true;
            return;
        }
        self.events += 1;
        if contains(data, b"\"usage\"")
            && let Ok(UsageEvent { usage: Some(usage) }) = serde_json::from_slice(data)
        {
            self.usage = Some(usage.total_tokens);
        }
    }
}

/// Returns the offset after the empty line that ends the last complete event, 0 if there is none.
fn end_of_last_event(text: &[u8]) -> usize {
    let ends_at = |end: usize| {
        let before = &text[..end];
        before.ends_with(b"\n\n") || before.ends_with(b"\r\n\r\n")
    };
    (1..=text.len()).rev().find(|end| ends_at(*end)).unwrap_or(0)
}

fn contains(text: &[u8], pattern: &[u8]) -> bool {
    text.windows(pattern.len()).any(|window| window == pattern)
}

/// Returns the service of an answer that is not streamed, if its body reports the usage.
pub fn reported_usage(body: &[u8]) -> Option<Cost> {
    let event: UsageEvent = serde_json::from_slice(body).ok()?;
    event.usage.map(|usage| Cost(i64::try_from(usage.total_tokens).unwrap_or(i64::MAX)))
}
