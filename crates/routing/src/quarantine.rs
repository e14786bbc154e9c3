//! Requests under which back ends ended, and those of them that are sent to no further one.
//!
//! Up to a whole back end's slots of requests are under way where one ends, and any of them may have ended it. A request is held to
//! have done so once several lives of back ends ended under it and it was never served to its end in between: one that only happened
//! to be there is served elsewhere, which clears it. Reports of ends are sets that merge in any order and name the life that ended, so
//! that no end counts twice, however often and by whomever it is told.

use crate::figures::EngineKey;
use crate::fingerprint::RequestFingerprint;
use mastbay_types::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// Settings of a [`Quarantine`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// Lives of back ends that end under a request before it is quarantined.
    pub ends: usize,
    /// Time for which an end counts.
    pub period: Duration,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { ends: 3, period: Duration::from_secs(3_600) }
    }
}

/// Requests that are remembered; past this, those with the fewest ends are forgotten first, then the oldest. A back end that ends adds
/// as many as it had slots.
const MOST_REQUESTS: usize = 4_096;
/// Time in which one router of the fleet may probe a quarantined request, one after the other in an order that all know. It is long
/// enough for all to hear what came of the probe before.
const PROBE_WINDOW: Duration = Duration::from_millis(1_200);
/// Time after the first end beyond those that quarantine a request in which it isn't probed; ten times as long after each further one. A probe may be
/// where a back end ends by another's doing: without a further one an innocent request stayed out for the whole period (soak, two of 17 seeds).
const PROBE_PAUSE: Duration = Duration::from_secs(30);
/// Part of the window in which a probe may begin: routers learn of a quarantine some tenths of a second apart.
const PROBE_OPEN: Range<Duration> = Duration::from_millis(300)..Duration::from_millis(700);
/// Rounds in which a report is told. With three targets a round and as many rounds, one router of a large fleet misses a report once in
/// 8,000 times, and hears the next end's all the same.
const TELLINGS: u32 = 3;
/// Reports in one message; each takes some 40 bytes.
const REPORTS_PER_MESSAGE: usize = 128;
/// Rounds between two messages that tell of quarantined requests again, to whoever missed them or started since.
const ROUNDS_PER_REMINDER: u64 = 4;
/// Quarantined requests in one such message.
const REQUESTS_PER_REMINDER: usize = 24;

/// A life of a back end that ended under a request, as routers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The request.
    pub request: RequestFingerprint,
    /// The life that ended.
    pub back_end: EngineKey,
    /// Time for which it counts on, in milliseconds.
    pub counts_for_ms: u32,
    /// Whether the request was served to its end since, so that the end doesn't count.
    pub is_cleared: bool,
}

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStanding {
    /// Nothing that speaks against it.
    Clear,
    /// Back ends ended under it, fewer than the limit.
    Suspect,
    /// It is sent to no back end.
    Quarantined {
        /// For how long, unless it is served before.
        left: Duration,
        /// When its caller may come back: it may be let through then, to see whether it is served.
        retry_after: Duration,
    },
}

/// A request that is quarantined.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: RequestFingerprint,
    /// The lives of back ends that ended under it.
    pub back_ends: Vec<EngineKey>,
    /// For how long it is quarantined.
    pub left: Duration,
}

/// An end that counts or was cleared.
#[derive(Debug, Clone, Copy)]
struct End {
    until: Timestamp,
    is_cleared: bool,
}

#[derive(Debug, Default)]
struct Suspicion {
    ends: BTreeMap<EngineKey, End>,
    /// When this router learned of the last end that quarantines it, or came on top.
    since: Option<Timestamp>,
    /// The window in which this router probed it last.
    probed: Option<u64>,
}

/// A router's place in an order of all routers that each of them knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeTurn {
    /// Its place, from 0.
    pub place: u64,
    /// All routers.
    pub routers: u64,
}

impl Suspicion {
    fn counted(&self, now: Timestamp) -> impl Iterator<Item = (&EngineKey, &End)> {
        self.ends.iter().filter(move |(_, end)| !end.is_cleared && end.until > now)
    }

    /// Until when the limit is reached, if it is.
    fn quarantined_until(&self, now: Timestamp, limits: &QuarantineLimits) -> Option<Timestamp> {
        let mut until: Vec<Timestamp> = self.counted(now).map(|(_, end)| end.until).collect();
        until.sort_unstable_by(|left, right| right.cmp(left));
        until.get(limits.ends.max(1) - 1).copied()
    }

    /// When it may be probed from, if it is quarantined.
    fn probed_from(&self, now: Timestamp, limits: &QuarantineLimits) -> Option<Timestamp> {
        let further_ends = self.counted(now).count().saturating_sub(limits.ends);
        Some(self.since? + probe_pause(further_ends))
    }

    /// Time until it may be probed, one window at least.
    fn until_probes(&self, now: Timestamp, limits: &QuarantineLimits) -> Duration {
        let from = self.probed_from(now, limits).unwrap_or(now);
        from.since(now).max(PROBE_WINDOW)
    }

    fn latest(&self) -> Timestamp {
        self.ends.values().map(|end| end.until).max().unwrap_or_default()
    }
}

/// A report that is still to be told.
#[derive(Debug)]
struct News {
    request: RequestFingerprint,
    back_end: EngineKey,
    tellings_left: u32,
}

/// How far this router passes on what others reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relaying {
    /// Whoever sees an end tells all others itself.
    Nothing,
    /// Each router tells a few others what it heard.
    All,
}

/// What a router knows of requests under which back ends ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    limits: QuarantineLimits,
    requests: HashMap<RequestFingerprint, Suspicion>,
    news: VecDeque<News>,
    round: u64,
    reminded: usize,
}

impl Quarantine {
    /// Nothing is known yet.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Whether nothing speaks against any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What is known of a request.
    pub fn standing(&self, now: Timestamp, request: RequestFingerprint) -> RequestStanding {
        let Some(suspicion) = self.requests.get(&request) else { return RequestStanding::Clear };
        if let Some(until) = suspicion.quarantined_until(now, &self.limits) {
            let left = until.since(now);
            let retry_after = suspicion.until_probes(now, &self.limits).min(left);
            return RequestStanding::Quarantined { left, retry_after };
        }
        match suspicion.counted(now).next() {
            Some(_) => RequestStanding::Suspect,
            None => RequestStanding::Clear,
        }
    }

    /// Lets a quarantined request through once in this router's turn. One that only happened to be where back ends ended is served and
    /// cleared by that; one that ends a further back end is probed again after a long pause only.
    pub fn take_probe(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        turn: ProbeTurn,
    ) -> bool {
        let Some(suspicion) = self.requests.get_mut(&request) else { return false };
        let from = suspicion.probed_from(now, &self.limits);
        let Some(from) = from.filter(|from| *from <= now) else { return false };
        let waited = now.since(from);
        let window = (waited.as_micros() / PROBE_WINDOW.as_micros()) as u64;
        let into_window = waited - PROBE_WINDOW * u32::try_from(window).unwrap_or(u32::MAX);
        let is_turn = window % turn.routers.max(1) == turn.place;
        if !is_turn || !PROBE_OPEN.contains(&into_window) || suspicion.probed == Some(window) {
            return false;
        }
        suspicion.probed = Some(window);
        true
    }

    /// Ends that count against a request.
    pub fn ends(&self, now: Timestamp, request: RequestFingerprint) -> usize {
        self.requests.get(&request).map_or(0, |suspicion| suspicion.counted(now).count())
    }

    /// A back end ended under a request of this router. Gives the request if it is quarantined by that.
    pub fn on_end(
        &mut self,
        now: Timestamp,
        back_end: EngineKey,
        request: RequestFingerprint,
    ) -> Option<QuarantinedRequest> {
        let until = now + self.limits.period;
        self.merge(now, request, back_end, End { until, is_cleared: false }, TELLINGS)
    }

    /// A request was served to its end, so no end before that was its doing; or an operator lifts its quarantine.
    pub fn clear(&mut self, request: RequestFingerprint) {
        let Some(suspicion) = self.requests.get_mut(&request) else { return };
        let news = &mut self.news;
        for (back_end, end) in suspicion.ends.iter_mut().filter(|(_, end)| !end.is_cleared) {
            end.is_cleared = true;
            news.push_back(News { request, back_end: *back_end, tellings_left: TELLINGS });
        }
    }

    /// Another router reports ends. Gives the requests that are quarantined by that.
    pub fn on_reports(
        &mut self,
        now: Timestamp,
        reports: &[EndReport],
        relaying: Relaying,
    ) -> Vec<QuarantinedRequest> {
        let tellings = if relaying == Relaying::All { TELLINGS } else { 0 };
        let merged = reports.iter().filter_map(|report| {
            let counts_for = Duration::from_millis(report.counts_for_ms.into());
            let until = now + counts_for.min(self.limits.period);
            let end = End { until, is_cleared: report.is_cleared };
            self.merge(now, report.request, report.back_end, end, tellings)
        });
        merged.collect()
    }

    /// An archive lists a request as quarantined. Gives whether that was news.
    pub fn on_listed(&mut self, now: Timestamp, listed: &QuarantinedRequest) -> bool {
        let mut is_news = false;
        for back_end in &listed.back_ends {
            let until = now + listed.left.min(self.limits.period);
            let end = End { until, is_cleared: false };
            is_news |= self.merge(now, listed.request, *back_end, end, TELLINGS).is_some();
        }
        is_news
    }

    /// The requests that are quarantined.
    pub fn quarantined(&self, now: Timestamp) -> Vec<QuarantinedRequest> {
        let all = self.requests.iter();
        let mut quarantined: Vec<QuarantinedRequest> = all
            .filter_map(|(request, suspicion)| self.as_quarantined(now, *request, suspicion))
            .collect();
        quarantined.sort_unstable_by_key(|quarantined| quarantined.request);
        quarantined
    }

    /// Forgets ends that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        for suspicion in self.requests.values_mut() {
            suspicion.ends.retain(|_, end| end.until > now);
        }
        self.requests.retain(|_, suspicion| !suspicion.ends.is_empty());
    }

    /// What this router tells others in one round; often nothing.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<EndReport> {
        self.round += 1;
        let mut reports = Vec::new();
        let due = self.news.len().min(REPORTS_PER_MESSAGE);
        for _ in 0..due {
            let Some(mut news) = self.news.pop_front() else { break };
            reports.extend(self.report(now, news.request, news.back_end));
            news.tellings_left -= 1;
            if news.tellings_left > 0 {
                self.news.push_back(news);
            }
        }
        reports
    }

    /// What reminds others of requests that are quarantined; nothing in most rounds.
    pub fn next_reminder(&mut self, now: Timestamp) -> Vec<EndReport> {
        if self.is_empty() || !self.round.is_multiple_of(ROUNDS_PER_REMINDER) {
            return Vec::new();
        }
        let mut quarantined = self.quarantined(now);
        let begin = self.reminded % quarantined.len().max(1);
        quarantined.rotate_left(begin);
        quarantined.truncate(REQUESTS_PER_REMINDER);
        self.reminded = begin + quarantined.len();
        self.reports_of(now, &quarantined)
    }

    /// What a router must know that has just come: the requests that are quarantined, as many as one message holds.
    pub fn reports_for_newcomer(&self, now: Timestamp) -> Vec<EndReport> {
        let mut reports = self.reports_of(now, &self.quarantined(now));
        reports.truncate(REPORTS_PER_MESSAGE);
        reports
    }

    /// As many ends of each request as quarantine it, and one more: it tells that it was probed.
    fn reports_of(&self, now: Timestamp, quarantined: &[QuarantinedRequest]) -> Vec<EndReport> {
        let reports = quarantined.iter().flat_map(|quarantined| {
            let ends = quarantined.back_ends.iter().take(self.limits.ends + 1);
            ends.filter_map(|back_end| self.report(now, quarantined.request, *back_end))
        });
        reports.collect()
    }

    fn report(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        back_end: EngineKey,
    ) -> Option<EndReport> {
        let end = self.requests.get(&request)?.ends.get(&back_end)?;
        let left = end.until.since(now).as_millis();
        let counts_for_ms = u32::try_from(left).unwrap_or(u32::MAX);
        Some(EndReport { request, back_end, counts_for_ms, is_cleared: end.is_cleared })
    }

    /// Takes what is known of one end. That it was cleared holds against all else. Gives the request if it is quarantined by that.
    fn merge(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        back_end: EngineKey,
        end: End,
        tellings: u32,
    ) -> Option<QuarantinedRequest> {
        if end.until <= now {
            return None;
        }
        self.make_room(&request);
        let limits = self.limits;
        let suspicion = self.requests.entry(request).or_default();
        let was_quarantined = suspicion.quarantined_until(now, &limits).is_some();
        let known = suspicion.ends.get(&back_end).copied();
        if known.is_some_and(|known| known.is_cleared && !end.is_cleared) {
            // Whoever tells this has missed that it was cleared.
            self.news.push_back(News { request, back_end, tellings_left: 1 });
            return None;
        }
        if known.is_some_and(|known| known.is_cleared == end.is_cleared) {
            return None;
        }
        let until = known.map_or(end.until, |known| known.until);
        suspicion.ends.insert(back_end, End { until, ..end });
        if tellings > 0 {
            self.news.push_back(News { request, back_end, tellings_left: tellings });
        }
        let quarantined = self.as_quarantined(now, request, self.requests.get(&request)?)?;
        if let Some(suspicion) = self.requests.get_mut(&request).filter(|_| !end.is_cleared) {
            suspicion.since = Some(now);
            suspicion.probed = None;
        }
        Some(quarantined).filter(|_| !was_quarantined)
    }

    fn as_quarantined(
        &self,
        now: Timestamp,
        request: RequestFingerprint,
        suspicion: &Suspicion,
    ) -> Option<QuarantinedRequest> {
        let until = suspicion.quarantined_until(now, &self.limits)?;
        let back_ends = suspicion.counted(now).map(|(back_end, _)| *back_end).collect();
        Some(QuarantinedRequest { request, back_ends, left: until.since(now) })
    }

    /// Forgets the request that matters least, if one more would be too many.
    fn make_room(&mut self, coming: &RequestFingerprint) {
        if self.requests.len() < MOST_REQUESTS || self.requests.contains_key(coming) {
            return;
        }
        let worth = |suspicion: &Suspicion| {
            let counted = suspicion.ends.values().filter(|end| !end.is_cleared).count();
            (counted, suspicion.latest())
        };
        let least = self.requests.iter().min_by_key(|(_, suspicion)| worth(suspicion));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.requests.remove(&request);
        }
    }
}

/// Time without a probe after so many ends beyond those that quarantine a request.
fn probe_pause(further_ends: usize) -> Duration {
    match u32::try_from(further_ends) {
        Ok(0) => Duration::ZERO,
        Ok(further) => PROBE_PAUSE.saturating_mul(10_u32.saturating_pow(further - 1)),
        // More ends than any period holds.
        Err(_) => PROBE_PAUSE.saturating_mul(u32::MAX),
    }
}
