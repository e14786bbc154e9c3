//! The properties of a model request's prompt that routing depends on.

use crate::first_event::PrefillWork;
use mastbay_types::stable_hash;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Reads a list of parts, as `ID:TOKENS` joined by commas, with hexadecimal ids. An id of
    /// another form is hashed, and a length that is no number counts as 0, so that each part keeps
    /// its position: the last one belongs to the request.
    pub fn read_list(text: &str) -> Vec<Self> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(Self::read).collect()
    }

    fn read(text: &str) -> Self {
        let (id, tokens) = text.split_once(':').unwrap_or((text, ""));
        Self {
            id: u64::from_str_radix(id, 16).unwrap_or_else(|_| stable_hash(&[id.as_bytes()])),
            tokens: tokens.parse().unwrap_or(0),
        }
    }
}

/// Size and parts of a model request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub input_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of output tokens.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// Returns the expected number of output tokens.
    pub fn expected_output(&self) -> u32 {
        self.output_hint.map_or(self.max_output_tokens, |hint| hint.min(self.max_output_tokens))
    }

    /// Returns the service charged for the request: an input token counts once, an output token
    /// twice.
    pub fn cost(&self) -> u64 {
        u64::from(self.input_tokens) + 2 * u64::from(self.expected_output())
    }

    /// Returns the prefill work for the last `uncached` tokens.
    pub fn prefill(&self, uncached: u64) -> PrefillWork {
        let cached = u64::from(self.input_tokens).saturating_sub(uncached);
        PrefillWork::of_prompt(cached, uncached)
    }

    /// Returns the memory that the request takes at its end, in tokens.
    pub fn memory(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.expected_output())
    }

    /// Returns the parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens of the parts shared with other requests.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Returns the number of tokens that belong to the request or its session alone.
    pub fn own_tokens(&self) -> u64 {
        u64::from(self.input_tokens).saturating_sub(self.shared_tokens())
    }

    /// Returns the key that routes requests with a common prefix to the same engines: the id of the
    /// last shared part, or of the only part.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts.get(shared - 1).map(|part| part.id)
    }
}
