//! What a request tells of its prompt.

use crate::first_event::PrefillWork;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The shape of a model request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// The prompt's parts in order; the last belongs to the request or its session.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Most tokens that come out.
    pub max_output_tokens: u32,
    /// The caller's guess of the tokens that come out.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// Tokens that are expected to come out.
    pub fn expected_output(&self) -> u32 {
        self.output_hint.map_or(self.max_output_tokens, |hint| hint.min(self.max_output_tokens))
    }

    /// Service that the request is charged with: a token read counts once, one made twice.
    pub fn cost(&self) -> u64 {
        u64::from(self.input_tokens) + 2 * u64::from(self.expected_output())
    }

    /// The prefill of its last `uncached` tokens after those that are cached.
    pub fn prefill(&self, uncached: u64) -> PrefillWork {
        let cached = u64::from(self.input_tokens).saturating_sub(uncached);
        PrefillWork::of_prompt(cached, uncached)
    }

    /// Memory that the request takes at its end, in tokens.
    pub fn memory(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.expected_output())
    }

    /// Tokens of the parts that it shares with others.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared].iter().map(|part| u64::from(part.tokens)).sum()
    }

    /// Tokens of the part that belongs to the request or its session alone.
    pub fn own_tokens(&self) -> u64 {
        u64::from(self.input_tokens).saturating_sub(self.shared_tokens())
    }

    /// The key by which requests with the same shared prefix are brought together: the last part that is
    /// shared with others, or the only part.
    pub fn prefix_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts.get(shared - 1).map(|part| part.id)
    }
}
