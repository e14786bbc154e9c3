//! What the gateway needs to know of a server-sent event stream: how much service it carried,
//! whether it is whole, and where one event ends, so that a broken stream can be gone on with.

use mastbay_types::Cost;
use serde::Deserialize;

/// The data of the event that ends a whole stream.
const END: &[u8] = b"[DONE]";
/// Largest event held while its end has not come, in bytes.
const LARGEST_EVENT: usize = 1 << 20;

/// Follows a stream through its chunks, however they are cut.
#[derive(Debug, Default)]
pub struct StreamMeter {
    partial: Vec<u8>,
    events: u64,
    whole: bool,
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
    /// Takes a chunk and returns the events that it completes, byte for byte.
    pub fn take(&mut self, chunk: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(chunk);
        let rest = self.partial.split_off(end_of_last_event(&self.partial));
        let complete = std::mem::replace(&mut self.partial, rest);
        for line in complete.split(|byte| *byte == b'\n') {
            self.read_line(line.trim_ascii_end());
        }
        complete
    }

    /// Events that carried data, without the one that ends the stream.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the event that ends a stream has come.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Whether an event is larger than the gateway holds.
    pub fn is_overfull(&self) -> bool {
        self.partial.len() > LARGEST_EVENT
    }

    /// Drops the beginning of an event whose rest did not come.
    pub fn drop_partial_event(&mut self) {
        self.partial.clear();
    }

    /// The service of the stream so far: as the server told it, or a token for each event.
    pub fn service(&self) -> Cost {
        let tokens = self.usage.unwrap_or(self.events);
        Cost(i64::try_from(tokens).unwrap_or(i64::MAX))
    }

    fn read_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == END {
            self.whole = true;
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

/// Where the last whole event of `text` ends: after an empty line.
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

/// The service of an answer that is not a stream, if it tells its usage.
pub fn usage_of(body: &[u8]) -> Option<Cost> {
    let event: UsageEvent = serde_json::from_slice(body).ok()?;
    event.usage.map(|usage| Cost(i64::try_from(usage.total_tokens).unwrap_or(i64::MAX)))
}
