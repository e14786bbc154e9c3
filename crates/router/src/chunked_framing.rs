//! Finds the end of a chunked body. Data is skipped chunk by chunk.

use derive_more::{Display, Error};

/// Line end after the data of a chunk.
const LINE_END: u64 = 2;

/// Tracks a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkedFraming(State);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The digits of a chunk's size.
    Size {
        size: u64,
        has_digit: bool,
    },
    /// The rest of the line that begins with the size.
    Extension {
        size: u64,
    },
    /// Data that is left, with its line end.
    Data {
        left: u64,
    },
    /// Lines after the last chunk, with the length of the current one, line end not counted.
    Trailer {
        line_length: u64,
    },
    Ended,
}

/// The size of a chunk is malformed.
#[derive(Debug, Display, Error)]
#[display("the size of a chunk is malformed")]
pub struct MalformedChunk;

impl Default for ChunkedFraming {
    fn default() -> Self {
        Self(State::FIRST)
    }
}

impl ChunkedFraming {
    /// Returns whether the end of the body has come.
    pub fn has_ended(self) -> bool {
        self.0 == State::Ended
    }

    /// Reads further bytes and returns how many of them belong to the body.
    ///
    /// # Errors
    /// If the size of a chunk is malformed.
    pub fn advance(&mut self, bytes: &[u8]) -> Result<usize, MalformedChunk> {
        let mut read = 0;
        while read < bytes.len() && !self.has_ended() {
            if let State::Data { left } = self.0 {
                let rest = (bytes.len() - read) as u64;
                // Cannot truncate: at most the rest of the slice.
                read += left.min(rest) as usize;
                self.0 = State::after_data(left.saturating_sub(rest));
            } else {
                self.0 = self.0.after_byte(bytes[read])?;
                read += 1;
            }
        }
        Ok(read)
    }
}

impl State {
    const FIRST: Self = Self::Size { size: 0, has_digit: false };

    fn after_data(left: u64) -> Self {
        if left == 0 { Self::FIRST } else { Self::Data { left } }
    }

    /// Returns the state after a byte that is no data.
    fn after_byte(self, byte: u8) -> Result<Self, MalformedChunk> {
        match self {
            Self::Size { size, has_digit } => Self::after_size_byte(size, has_digit, byte),
            Self::Extension { size } if byte == b'\n' => Self::after_size_line(size),
            Self::Trailer { line_length: 0 } if byte == b'\n' => Ok(Self::Ended),
            Self::Trailer { .. } if byte == b'\n' => Ok(Self::Trailer { line_length: 0 }),
            Self::Trailer { line_length } if byte != b'\r' => {
                Ok(Self::Trailer { line_length: line_length.saturating_add(1) })
            }
            Self::Extension { .. } | Self::Trailer { .. } | Self::Data { .. } | Self::Ended => {
                Ok(self)
            }
        }
    }

    fn after_size_byte(size: u64, has_digit: bool, byte: u8) -> Result<Self, MalformedChunk> {
        match (char::from(byte).to_digit(16), byte) {
            (Some(digit), _) => {
                let size = size.checked_mul(16).ok_or(MalformedChunk)? + u64::from(digit);
                Ok(Self::Size { size, has_digit: true })
            }
            (None, b'\r' | b';' | b' ' | b'\t') if has_digit => Ok(Self::Extension { size }),
            _ => Err(MalformedChunk),
        }
    }

    fn after_size_line(size: u64) -> Result<Self, MalformedChunk> {
        if size == 0 {
            return Ok(Self::Trailer { line_length: 0 });
        }
        let left = size.checked_add(LINE_END).ok_or(MalformedChunk)?;
        Ok(Self::Data { left })
    }
}
