//! A model of an engine that batches continuously: prefill in order of arrival by chunks, decoding
//! steps that take longer with more requests and more prefill, slots, and a prefix cache.
#![allow(dead_code, missing_docs)]

use mastbay_routing::{Prompt, TicketId};
use mastbay_types::Timestamp;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// Speeds and sizes of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    pub slots: usize,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds per million pairs of a prefilled token and one before it.
    pub pairs_ms_per_million: f64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub chunk: u64,
    /// Duration of a decoding step without requests, in milliseconds.
    pub step_ms: f64,
    /// Additional duration for each decoding request, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time from placement until the engine has read the request.
    pub setup: Duration,
    /// Tokens of one event.
    pub tokens_per_event: u32,
}

/// The engines of licpat-mastbay-now-grown.
pub const GROWN_ENGINE: EngineSpeed = EngineSpeed {
    slots: 32,
    prefill_tokens_per_ms: 157.0,
    pairs_ms_per_million: 0.109,
    chunk: 2_048,
    step_ms: 3.55,
    step_ms_per_request: 0.0462,
    setup: Duration::from_millis(26),
    tokens_per_event: 9,
};

/// Names a request: the router that placed it, and its ticket there.
pub type RequestKey = (usize, TicketId);

/// What an engine does to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine begins its work.
    Begun(RequestKey),
    /// The first event of the stream.
    FirstEvent(RequestKey),
    /// A later event of the stream.
    Event(RequestKey),
    /// The end of the stream.
    End(RequestKey),
}

#[derive(Debug)]
struct EngineRequest {
    key: RequestKey,
    prompt: Prompt,
    arrives: Timestamp,
    /// Tokens of the prompt before those that are still to be prefilled.
    position: u64,
    prefill_left: u64,
    output_left: u32,
    tokens_in_event: u32,
    has_first_event: bool,
}

/// A simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    speed: EngineSpeed,
    queue: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
    cached_parts: HashSet<u64>,
    /// End of the step under way and the prompt tokens that it prefills for each running request.
    step: Option<(Timestamp, Vec<u64>)>,
}

impl EngineModel {
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            queue: VecDeque::new(),
            running: Vec::new(),
            cached_parts: HashSet::new(),
            step: None,
        }
    }

    /// Accepts a request, which generates `output` tokens.
    pub fn send(&mut self, now: Timestamp, key: RequestKey, prompt: Prompt, output: u32) {
        self.queue.push_back(EngineRequest {
            key,
            prompt,
            arrives: now + self.speed.setup,
            position: 0,
            prefill_left: 0,
            output_left: output.max(1),
            tokens_in_event: 0,
            has_first_event: false,
        });
    }

    /// Returns the number of requests that have a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Runs all steps that end until `now`.
    pub fn run_until(&mut self, now: Timestamp, events: &mut Vec<(Timestamp, EngineEvent)>) {
        // A step starts when the one before it ends, or when the first request of an idle engine
        // arrives.
        let mut at = match &self.step {
            Some((end, _)) if *end > now => return,
            Some((end, _)) => *end,
            None => now,
        };
        loop {
            self.end_step(events);
            let has_started = self.start_step(at, events);
            match &self.step {
                Some((end, _)) if has_started && *end <= now => at = *end,
                _ => return,
            }
        }
    }

    fn start_step(&mut self, at: Timestamp, events: &mut Vec<(Timestamp, EngineEvent)>) -> bool {
        while self.running.len() < self.speed.slots
            && self.queue.front().is_some_and(|next| next.arrives <= at)
        {
            let Some(mut request) = self.queue.pop_front() else { break };
            let uncached = self.uncached(&request.prompt);
            request.prefill_left = uncached;
            request.position = u64::from(request.prompt.input_tokens) - uncached;
            events.push((at, EngineEvent::Begun(request.key)));
            self.running.push(request);
        }
        if self.running.is_empty() {
            return false;
        }
        let mut budget = self.speed.chunk;
        let mut pairs = 0.0;
        let mut prefilled = Vec::with_capacity(self.running.len());
        for request in &self.running {
            let tokens = request.prefill_left.min(budget);
            budget -= tokens;
            pairs += tokens as f64 * (request.position + tokens / 2) as f64;
            prefilled.push(tokens);
        }
        let speed = &self.speed;
        let prefill_ms = (speed.chunk - budget) as f64 / speed.prefill_tokens_per_ms
            + pairs / 1e6 * speed.pairs_ms_per_million;
        let decoding = self.running.iter().filter(|request| request.prefill_left == 0).count();
        let decode_ms = speed.step_ms + speed.step_ms_per_request * decoding as f64;
        let end = at + Duration::from_secs_f64((prefill_ms + decode_ms) / 1e3);
        self.step = Some((end, prefilled));
        true
    }

    fn end_step(&mut self, events: &mut Vec<(Timestamp, EngineEvent)>) {
        let Some((end, prefilled)) = self.step.take() else { return };
        let mut completed_prompts = Vec::new();
        for (request, tokens) in self.running.iter_mut().zip(prefilled) {
            let was_pending = request.prefill_left > 0;
            request.prefill_left -= tokens;
            request.position += tokens;
            if request.prefill_left > 0 {
                continue;
            }
            if was_pending || !request.has_first_event {
                completed_prompts.push(request.prompt.clone());
            }
            request.output_left -= 1;
            request.tokens_in_event += 1;
            if !request.has_first_event {
                request.has_first_event = true;
                request.tokens_in_event = 0;
                events.push((end, EngineEvent::FirstEvent(request.key)));
            } else if request.tokens_in_event >= self.speed.tokens_per_event {
                request.tokens_in_event = 0;
                events.push((end, EngineEvent::Event(request.key)));
            }
            if request.output_left == 0 {
                events.push((end, EngineEvent::End(request.key)));
            }
        }
        self.running.retain(|request| request.output_left > 0);
        for prompt in completed_prompts {
            self.cached_parts.extend(prompt.shared_parts().iter().map(|part| part.id));
        }
    }

    fn uncached(&self, prompt: &Prompt) -> u64 {
        let shared = prompt.shared_parts().iter();
        let cached: u64 = shared
            .take_while(|part| self.cached_parts.contains(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum();
        u64::from(prompt.input_tokens).saturating_sub(cached).max(1)
    }
}
