//! Metrics of a router.

use crate::body_budget::BodyBudget;
use crate::call::Call;
use crate::dialect::OwnAnswer;
use crate::events::StopStage;
use crate::offload::{EndReason, Stage};
use crate::outcome::Outcome;
use crate::overflow::OverflowOutcome;
use crate::stream_origins::Search;
use mastbay_routing::{Lateness, Placement, RefusalDetails, ShareClass, SourceCondition};
use mastbay_types::Timestamp;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Labels of ended requests. The configuration bounds the number of their values.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    route: String,
    outcome: String,
}

/// Labels of the router's own answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabels {
    status: u16,
}

/// Labels of engines of one speed. There are 17 steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SpeedLabels {
    step: i32,
}

/// Labels of requests that resume a stream, by how its origin was learned.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResumptionLabels {
    origin: &'static str,
}

/// Labels of placements.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PlacementLabels {
    rank: String,
}

/// Labels of placed and refused requests with a prompt, by the class of their tenants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    class: &'static str,
    result: &'static str,
}

/// Labels of the retries that requests needed. The configuration bounds the number of services.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    service: String,
    result: &'static str,
}

/// Labels of streams cut within their answers. The reasons are those in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BrokenStreamLabels {
    reason: &'static str,
}

/// Labels of requests rejected because the router stops.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StopRejectionLabels {
    stage: String,
}

/// Labels of requests whose heads were complete late.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LateHeadLabels {
    ingress: &'static str,
}

/// Age from which the head of a request counts as late.
const LATE_HEAD: Duration = Duration::from_millis(500);

/// Labels of ends of forwarded connections. The values are those in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct InterruptionLabels {
    reason: String,
    stage: String,
}

/// Counters, gauges and histograms of a router.
#[derive(Debug, Clone)]
pub struct RouterMetrics {
    ended: Family<EndLabels, Counter>,
    own_answers: Family<AnswerLabels, Counter>,
    placements: Family<PlacementLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    offloaded: Counter,
    closed_unread: Counter,
    back_ends_ended: Counter,
    draining_answers: Counter,
    backoffs_requested: Counter,
    backing_off: Gauge,
    silent_back_ends: Gauge,
    lateness: Gauge<f64, AtomicU64>,
    not_run: Gauge<f64, AtomicU64>,
    heap_bytes: Gauge,
    body_bytes: Gauge,
    reply_bytes: Gauge,
    fleet_backlog: Gauge,
    back_ends_kept: Gauge,
    source_outages: Counter,
    quarantined: Gauge,
    raised_prefixes: Gauge,
    opened_connections: Counter,
    quarantined_calls: Counter,
    stop_rejections: Family<StopRejectionLabels, Counter>,
    write_timeouts: Counter,
    long_turns: Counter,
    excessive: Counter,
    broken_streams: Family<BrokenStreamLabels, Counter>,
    interruptions: Family<InterruptionLabels, Counter>,
    late_heads: Family<LateHeadLabels, Counter>,
    engines_by_speed: Family<SpeedLabels, Gauge>,
    prefix_sources: Counter,
    transferred_tokens: Counter,
    resumptions: Family<ResumptionLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    retry_share_divisor: Gauge,
    unanswered_sends: Gauge,
    stream_records: Gauge,
    evicted_stream_records: Counter,
    first_event: Histogram,
    duration: Histogram,
}

impl RouterMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            ended: Family::default(),
            own_answers: Family::default(),
            placements: Family::default(),
            admissions: Family::default(),
            offloaded: Counter::default(),
            closed_unread: Counter::default(),
            back_ends_ended: Counter::default(),
            draining_answers: Counter::default(),
            backoffs_requested: Counter::default(),
            backing_off: Gauge::default(),
            silent_back_ends: Gauge::default(),
            lateness: Gauge::default(),
            not_run: Gauge::default(),
            heap_bytes: Gauge::default(),
            body_bytes: Gauge::default(),
            reply_bytes: Gauge::default(),
            fleet_backlog: Gauge::default(),
            back_ends_kept: Gauge::default(),
            source_outages: Counter::default(),
            quarantined: Gauge::default(),
            raised_prefixes: Gauge::default(),
            opened_connections: Counter::default(),
            quarantined_calls: Counter::default(),
            stop_rejections: Family::default(),
            write_timeouts: Counter::default(),
            long_turns: Counter::default(),
            excessive: Counter::default(),
            broken_streams: Family::default(),
            interruptions: Family::default(),
            late_heads: Family::default(),
            engines_by_speed: Family::default(),
            prefix_sources: Counter::default(),
            transferred_tokens: Counter::default(),
            resumptions: Family::default(),
            retries: Family::default(),
            retry_share_divisor: Gauge::default(),
            unanswered_sends: Gauge::default(),
            stream_records: Gauge::default(),
            evicted_stream_records: Counter::default(),
            first_event: Histogram::new(exponential_buckets(0.005, 1.6, 16)),
            duration: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
        };
        let name = "mastbay_router_requests";
        registry.register(name, "requests ended, by route and outcome", metrics.ended.clone());
        let name = "mastbay_router_own_answers";
        registry.register(name, "answers of the router's own", metrics.own_answers.clone());
        let name = "mastbay_router_placements";
        let help = "placements at back ends, by rank for the shared prefix; overflow beyond ranks";
        registry.register(name, help, metrics.placements.clone());
        let name = "mastbay_router_admissions";
        let help = "requests with a prompt that were placed or refused, by their tenants' class";
        registry.register(name, help, metrics.admissions.clone());
        let name = "mastbay_router_offloaded_connections";
        registry.register(name, "connections handed to peers", metrics.offloaded.clone());
        let name = "mastbay_router_connections_closed_unread";
        let help = "new connections closed unread, since the router was late or full";
        registry.register(name, help, metrics.closed_unread.clone());
        let name = "mastbay_router_back_ends_ended";
        let help = "back ends that ended with requests of this router under way";
        registry.register(name, help, metrics.back_ends_ended.clone());
        let name = "mastbay_router_back_ends_draining";
        let help = "back ends that said in an answer to this router that they end soon";
        registry.register(name, help, metrics.draining_answers.clone());
        let name = "mastbay_router_backoffs_asked";
        let help = "requests that back ends turned away with a time for which they want no more";
        registry.register(name, help, metrics.backoffs_requested.clone());
        let name = "mastbay_router_back_ends_backing_off";
        let help = "back ends that want no requests of this router now";
        registry.register(name, help, metrics.backing_off.clone());
        let name = "mastbay_router_silent_back_ends";
        let help = "back ends that get no requests now, since they answer none";
        registry.register(name, help, metrics.silent_back_ends.clone());
        let name = "mastbay_router_lateness_ratio";
        let help = "part of the time by which the event loop is late because of its work";
        registry.register(name, help, metrics.lateness.clone());
        let name = "mastbay_router_not_run_ratio";
        let help = "part of the time by which it is late although it had nothing to do";
        registry.register(name, help, metrics.not_run.clone());
        let name = "mastbay_router_heap_bytes";
        let help = "memory that the process has allocated";
        registry.register(name, help, metrics.heap_bytes.clone());
        let name = "mastbay_router_body_bytes";
        let help = "memory reserved for bodies of requests and answers, and for large events";
        registry.register(name, help, metrics.body_bytes.clone());
        let name = "mastbay_router_reply_bytes";
        let help = "memory reserved for replies of sources and peers";
        registry.register(name, help, metrics.reply_bytes.clone());
        let name = "mastbay_router_fleet_backlog";
        let help = "requests that wait at any router, as far as this one knows";
        registry.register(name, help, metrics.fleet_backlog.clone());
        let name = "mastbay_router_back_ends_kept";
        let help = "back ends that are used though their entries are gone, after an outage";
        registry.register(name, help, metrics.back_ends_kept.clone());
        let name = "mastbay_router_source_outages";
        let help = "times for which the source answered no router that this one knows of";
        registry.register(name, help, metrics.source_outages.clone());
        let name = "mastbay_router_quarantined_requests";
        let help = "requests that are sent to no back end, since several ended under them";
        registry.register(name, help, metrics.quarantined.clone());
        let name = "mastbay_router_prefixes_with_more_ranks";
        let help = "shared prefixes that more engines serve because of their demand";
        registry.register(name, help, metrics.raised_prefixes.clone());
        let name = "mastbay_router_connections_opened";
        let help = "connections opened to back ends";
        registry.register(name, help, metrics.opened_connections.clone());
        let name = "mastbay_router_quarantined_calls";
        let help = "arrivals of quarantined requests";
        registry.register(name, help, metrics.quarantined_calls.clone());
        let name = "mastbay_router_stop_rejections";
        let help = "requests rejected because the router stops before they end";
        registry.register(name, help, metrics.stop_rejections.clone());
        let name = "mastbay_router_unread_answers";
        let help = "Connections ended since their callers did not read their answers";
        registry.register(name, help, metrics.write_timeouts.clone());
        let name = "mastbay_router_long_turns";
        let help = "turns of one connection for which nothing else was served";
        registry.register(name, help, metrics.long_turns.clone());
        let name = "mastbay_router_excessive_connections";
        let help = "connections closed since their other sides sent bytes that completed nothing";
        registry.register(name, help, metrics.excessive.clone());
        let name = "mastbay_router_forwarding_interruptions";
        let help = "forwarded connections that ended, by reason and by what they carried";
        registry.register(name, help, metrics.interruptions.clone());
        let name = "mastbay_router_late_heads";
        let help = "requests whose heads were complete half a second after they began, or later";
        registry.register(name, help, metrics.late_heads.clone());
        let name = "mastbay_router_broken_streams";
        let help = "streams cut within their answers, by reason";
        registry.register(name, help, metrics.broken_streams.clone());
        let name = "mastbay_router_engines_by_speed";
        let help = "engines by speed, in steps of a factor 1.25 from the mean of the service";
        registry.register(name, help, metrics.engines_by_speed.clone());
        let name = "mastbay_router_requests_with_prefix_source";
        let help = "requests sent with the address of a back end that holds the prompt's beginning";
        registry.register(name, help, metrics.prefix_sources.clone());
        let name = "mastbay_router_transferred_tokens";
        let help = "prompt tokens that back ends were expected to fetch from each other";
        registry.register(name, help, metrics.transferred_tokens.clone());
        let name = "mastbay_router_resumptions";
        let help = "requests that resume a stream, by how its origin was learned";
        registry.register(name, help, metrics.resumptions.clone());
        let name = "mastbay_router_retries";
        let help = "retries by service: taken from its budget, or refused as the budget was empty";
        registry.register(name, help, metrics.retries.clone());
        let name = "mastbay_router_retry_share_divisor";
        let help = "routers among which the burst of retry budgets was divided last; 0 if unknown";
        registry.register(name, help, metrics.retry_share_divisor.clone());
        let name = "mastbay_router_unanswered_sends";
        let help = "sends left without an answer, of requests sent again, that may still arrive";
        registry.register(name, help, metrics.unanswered_sends.clone());
        let name = "mastbay_router_stream_records";
        let help = "origins of streams that this router keeps";
        registry.register(name, help, metrics.stream_records.clone());
        let name = "mastbay_router_evicted_stream_records";
        let help = "origins of streams evicted before they expired, since there were too many";
        registry.register(name, help, metrics.evicted_stream_records.clone());
        let name = "mastbay_router_first_event_seconds";
        registry.register(name, "time to a stream's first event", metrics.first_event.clone());
        let name = "mastbay_router_request_seconds";
        registry.register(name, "time from head to end", metrics.duration.clone());
        metrics
    }

    /// Counts an ended request and observes its duration.
    pub fn on_end(&self, call: &Call, outcome: &Outcome, now: Timestamp) {
        let route = call.entry.route.name.clone();
        let labels = EndLabels { route, outcome: outcome.kind.to_string() };
        self.ended.get_or_create(&labels).inc();
        self.duration.observe(now.since(call.arrived).as_secs_f64());
    }

    /// Counts a placement at a back end.
    pub fn on_placement(&self, placement: &Placement) {
        let labels = PlacementLabels { rank: placement.choice.to_string() };
        self.placements.get_or_create(&labels).inc();
        if let Some(share) = placement.share {
            self.count_admission(share.class, "placed");
        }
    }

    /// Counts a refusal for which a back end was considered.
    pub fn on_refusal(&self, details: &RefusalDetails) {
        self.count_admission(details.class, "refused");
    }

    fn count_admission(&self, class: ShareClass, result: &'static str) {
        let labels = AdmissionLabels { class: class.name(), result };
        self.admissions.get_or_create(&labels).inc();
    }

    /// Observes the time to the first event of a stream.
    pub fn on_first_event(&self, call: &Call, now: Timestamp) {
        self.first_event.observe(now.since(call.arrived).as_secs_f64());
    }

    /// Counts a request that resumes a stream.
    pub fn on_resumption(&self, search: &Search) {
        self.resumptions.get_or_create(&ResumptionLabels { origin: search.name() }).inc();
    }

    /// Counts a retry that was taken from the budget of a service, or refused.
    pub fn on_retry(&self, service: &str, is_taken: bool) {
        let result = if is_taken { "taken" } else { "refused" };
        self.retries.get_or_create(&RetryLabels { service: service.to_owned(), result }).inc();
    }

    /// Sets the number of routers among which a burst is divided; `None` if it is unknown.
    pub fn set_retry_share_divisor(&self, divisor: Option<usize>) {
        let divisor = divisor.unwrap_or(0);
        self.retry_share_divisor.set(i64::try_from(divisor).unwrap_or(i64::MAX));
    }

    /// Sets the number of sends left without an answer that may still arrive.
    pub fn set_unanswered_sends(&self, sends: usize) {
        self.unanswered_sends.set(i64::try_from(sends).unwrap_or(i64::MAX));
    }

    /// Sets the number of records of streams' origins, and the number evicted so far.
    pub fn set_stream_records(&self, records: usize, evicted: u64) {
        self.stream_records.set(records as i64);
        self.evicted_stream_records.inc_by(evicted - self.evicted_stream_records.get());
    }

    /// Counts a new connection that was forwarded or closed unread.
    pub fn on_overflow(&self, outcome: OverflowOutcome) {
        match outcome {
            OverflowOutcome::Forwarded => self.offloaded.inc(),
            OverflowOutcome::Rejected => self.closed_unread.inc(),
            OverflowOutcome::Unanswered | OverflowOutcome::ServedLocally => return,
        };
    }

    /// Counts connections closed unread because the maximum number of connections was open.
    pub fn on_full(&self, connections: u32) {
        self.closed_unread.inc_by(u64::from(connections));
    }

    /// Counts a back end that terminated with requests in progress.
    pub fn on_back_end_ended(&self) {
        self.back_ends_ended.inc();
    }

    /// Counts a back end that announced its shutdown in an answer, once for each.
    pub fn on_back_end_draining(&self) {
        self.draining_answers.inc();
    }

    /// Counts a rejection by a back end that asked for no requests for a while.
    pub fn on_backoff_requested(&self) {
        self.backoffs_requested.inc();
    }

    /// Sets the number of back ends that asked for no requests at present.
    pub fn set_backing_off(&self, back_ends: usize) {
        self.backing_off.set(i64::try_from(back_ends).unwrap_or(i64::MAX));
    }

    /// Sets the number of back ends that are excluded because they are silent.
    pub fn set_silent_back_ends(&self, back_ends: usize) {
        self.silent_back_ends.set(i64::try_from(back_ends).unwrap_or(i64::MAX));
    }

    /// Sets the allocated memory, in bytes, and what is reserved for bodies and replies.
    pub fn set_memory(&self, heap: u64, bodies: &BodyBudget, replies: &BodyBudget) {
        let set = |gauge: &Gauge, bytes| gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        set(&self.heap_bytes, heap);
        set(&self.body_bytes, bodies.used());
        set(&self.reply_bytes, replies.used());
    }

    /// Sets the number of waiting requests of the fleet.
    pub fn set_fleet_backlog(&self, requests: u64) {
        self.fleet_backlog.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Sets the number of back ends that are missing from the source and kept.
    pub fn set_back_ends_kept(&self, back_ends: usize) {
        self.back_ends_kept.set(i64::try_from(back_ends).unwrap_or(i64::MAX));
    }

    /// Counts an outage of the source when it begins.
    pub fn on_source_condition(&self, condition: SourceCondition) {
        if condition == SourceCondition::Outage {
            self.source_outages.inc();
        }
    }

    /// Sets the number of quarantined requests.
    pub fn set_quarantined(&self, requests: usize) {
        self.quarantined.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Sets the number of shared prefixes that more engines serve because of their demand.
    pub fn set_raised_prefixes(&self, prefixes: usize) {
        self.raised_prefixes.set(i64::try_from(prefixes).unwrap_or(i64::MAX));
    }

    /// Returns the counter of connections opened to back ends.
    pub fn opened_connections(&self) -> Counter {
        self.opened_connections.clone()
    }

    /// Counts connections closed because their callers did not read their answers.
    pub fn on_write_timeouts(&self, connections: u32) {
        self.write_timeouts.inc_by(u64::from(connections));
    }

    /// Records how late the event loop is on average.
    pub fn set_lateness(&self, lateness: Lateness) {
        self.lateness.set(lateness.busy);
        self.not_run.set(lateness.not_run);
    }

    /// Counts turns of connections that took long.
    pub fn on_long_turns(&self, turns: u32) {
        self.long_turns.inc_by(u64::from(turns));
    }

    /// Counts connections closed for bytes that completed nothing.
    pub fn on_excessive(&self, connections: u32) {
        self.excessive.inc_by(u64::from(connections));
    }

    /// Counts a stream that is cut within its answer.
    pub fn on_broken_stream(&self, reason: &'static str) {
        self.broken_streams.get_or_create(&BrokenStreamLabels { reason }).inc();
    }

    /// Counts the end of a forwarded connection that its peer's answer did not ask for.
    pub fn on_forwarding_interrupted(&self, reason: EndReason, stage: Stage) {
        let labels = InterruptionLabels { reason: reason.to_string(), stage: stage.to_string() };
        self.interruptions.get_or_create(&labels).inc();
    }

    /// Records a request whose head is complete `age` after it began, on a connection that another
    /// router forwards or on one of its caller.
    pub fn on_head(&self, age: Duration, is_forwarded: bool) {
        if age >= LATE_HEAD {
            let ingress = if is_forwarded { "forwarded" } else { "direct" };
            self.late_heads.get_or_create(&LateHeadLabels { ingress }).inc();
        }
    }

    /// Sets the number of engines at each step of speed.
    pub fn set_engines_by_speed(&self, engines: &BTreeMap<i8, u32>) {
        self.engines_by_speed.clear();
        for (step, count) in engines {
            let labels = SpeedLabels { step: i32::from(*step) };
            self.engines_by_speed.get_or_create(&labels).set(i64::from(*count));
        }
    }

    /// Counts a request that is sent with the address of a back end that holds the beginning of its
    /// prompt.
    pub fn on_send(&self, placement: &Placement) {
        if placement.prefix_source.is_some() {
            self.prefix_sources.inc();
            self.transferred_tokens.inc_by(placement.transferred);
        }
    }

    /// Counts an arrival of a quarantined request.
    pub fn on_quarantined_call(&self) {
        self.quarantined_calls.inc();
    }

    /// Counts a request that is rejected because the router stops before it ends.
    pub fn on_stop_rejection(&self, stage: StopStage) {
        let labels = StopRejectionLabels { stage: stage.to_string() };
        self.stop_rejections.get_or_create(&labels).inc();
    }

    /// Counts an answer of the router's own.
    pub fn on_own_answer(&self, answer: OwnAnswer) {
        let labels = AnswerLabels { status: answer.status().as_u16() };
        self.own_answers.get_or_create(&labels).inc();
    }
}
