//! Choice of the source of a transfer, and its time compared to that of prefilling again.

use super::limits::TransferLimits;
use crate::back_end::BackEnd;
use crate::engine_key::EngineKey;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Transfers take place only if they take at most this fraction of the prefill time, since the
/// source may no longer hold the prefix.
const MAX_FRACTION_OF_PREFILL: f64 = 0.7;

/// An engine that is assumed to hold the beginning of a prompt and can be reached.
#[derive(Debug, Clone)]
pub struct Source<'a> {
    /// The engine.
    pub back_end: &'a BackEnd,
    /// Its identifier.
    pub key: EngineKey,
    /// Number of the prompt's tokens that it is assumed to hold.
    pub tokens: u64,
    /// Whether this router sent the prompt's prefix there recently. Otherwise it is only the first
    /// engine in the prefix's order.
    pub is_recent: bool,
    /// Transfers from it that this router has started and that may still run.
    pub in_progress: u32,
}

/// A transfer that is faster than prefilling its tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedTransfer {
    /// The engine that holds the tokens.
    pub source: EngineKey,
    /// Its address.
    pub address: SocketAddr,
    /// Number of transferred tokens.
    pub tokens: u64,
    /// Expected time of the transfer.
    pub time: Duration,
    /// Tokens that remain to be prefilled, plus as many as would be prefilled in the time of the
    /// transfer.
    pub uncached: u64,
    /// Tokens to be prefilled without the transfer.
    pub uncached_without: u64,
}

/// A request's prompt at the engine that was selected for it.
pub struct Target<'a, F> {
    /// The engine.
    pub back_end: &'a BackEnd,
    /// Length of the whole prompt.
    pub input_tokens: u64,
    /// Number of tokens at its end that the engine is not assumed to hold.
    pub uncached: u64,
    /// Returns the time in milliseconds to prefill the last tokens of the prompt on the idle engine.
    pub prefill_time: F,
}

/// Plans a transfer to `target`. Returns `None` if no transfer is well faster than the prefill.
/// Among equal sources, the first one is chosen.
pub fn plan<F: Fn(u64) -> f64>(
    limits: TransferLimits,
    target: &Target<'_, F>,
    sources: &[Source<'_>],
) -> Option<PlannedTransfer> {
    let planned = sources.iter().filter_map(|source| {
        let transfer = plan_from(limits, target, source)?;
        Some(((Reverse(transfer.tokens), Reverse(source.is_recent), transfer.time), transfer))
    });
    planned.min_by_key(|(preference, _)| *preference).map(|(_, transfer)| transfer)
}

fn plan_from<F: Fn(u64) -> f64>(
    limits: TransferLimits,
    target: &Target<'_, F>,
    source: &Source<'_>,
) -> Option<PlannedTransfer> {
    let (to, from) = (target.back_end, source.back_end);
    let held = target.input_tokens.saturating_sub(target.uncached);
    let tokens = source.tokens.saturating_sub(held).min(target.uncached);
    // Engines of different versions may store tokens in different formats.
    if tokens == 0 || from.address == to.address || from.version != to.version {
        return None;
    }
    let time = limits.time(tokens, from.zone == to.zone, source.in_progress);
    let remaining = target.uncached - tokens;
    let saved = (target.prefill_time)(target.uncached) - (target.prefill_time)(remaining);
    let fraction = time.as_secs_f64() * 1e3 / saved.max(f64::MIN_POSITIVE);
    (fraction <= MAX_FRACTION_OF_PREFILL).then(|| PlannedTransfer {
        source: source.key,
        address: from.address,
        tokens,
        time,
        uncached: remaining + (tokens as f64 * fraction).ceil() as u64,
        uncached_without: target.uncached,
    })
}
