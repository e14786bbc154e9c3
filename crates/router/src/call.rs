//! A caller's request and the routing decisions about it.

use crate::dialect::CallerHead;
use crate::reserved_buffer::ReservedBody;
use crate::try_failure::FailureCause;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use mastbay_routing::{
    AllowedRegions, Demand, EngineChoice, ExcludedBackEnds, Placement, Prompt, Refusal,
    RefusalDetails, RequestFingerprint, RequestIdentity, StreamKey, StreamOrigin, Suspect,
    TableEntry, TenantShare,
};
use mastbay_types::Timestamp;
use std::cell::{OnceCell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// A routed request whose body has been received completely.
pub struct Call {
    /// The information that the dialect parsed from the head.
    pub head: CallerHead,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers as received from the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: ReservedBody,
    /// The route that matched, and its configuration version.
    pub entry: TableEntry,
    /// The service selected by the route's weights.
    pub service: String,
    /// The tenant's name, if the request carried a known key.
    pub tenant: Option<Arc<str>>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The regions in which the request may be served.
    pub regions: AllowedRegions,
    /// The router that forwarded the connection, `None` if the caller connected here.
    pub forwarded_by: Option<IpAddr>,
    /// When the head was complete here.
    pub arrived: Timestamp,
    /// Time since the request began to arrive, here or at the router that forwarded it, until then.
    pub head_age: Duration,
    /// When the body was received completely.
    pub received: Timestamp,
    /// When the answer must be complete.
    pub deadline: Timestamp,
    /// The stream that the request resumes, if the caller names it.
    pub resumed_stream: Option<StreamKey>,
    /// Where the stream began: known from the start if the request resumes a stream, otherwise from
    /// its first event on.
    pub origin: OnceCell<StreamOrigin>,
    /// Routing decisions and timings for the request's log line.
    pub trace: RefCell<Trace>,
    /// The cached result of [`Call::fingerprint`].
    pub fingerprint: OnceCell<RequestFingerprint>,
}

/// Routing decisions and timings of a request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Time from arrival to the last placement.
    pub waited: Duration,
    /// Time from arrival to the first event or the complete answer.
    pub first_event: Option<Duration>,
    /// Longest time between two events.
    pub longest_pause: Duration,
    /// Predicted time to the first event at the last placement.
    pub predicted: Duration,
    /// Known requests at the back end at the last placement.
    pub running: u32,
    /// The back end's concurrency limit, in requests.
    pub limit: u32,
    /// How the back end was found; `None` without a placement.
    pub choice: Option<EngineChoice>,
    /// The software version of the back end at the last placement; `None` without a placement.
    pub version: Option<Arc<str>>,
    /// The back end's speed relative to the mean of its service.
    pub speed: f64,
    /// Prompt tokens estimated not to be in the back end's cache.
    pub uncached: u64,
    /// Address from which the back end could fetch the beginning of the prompt.
    pub prefix_source: Option<SocketAddr>,
    /// Age of the oldest load statistics used for the placement.
    pub stats_age: Duration,
    /// Number of placements at back ends.
    pub sends: u32,
    /// Events with data that were relayed.
    pub events: u64,
    /// The tenant's share at the last placement; `None` without a prompt, a tenant or a placement.
    pub share: Option<TenantShare>,
    /// Why the last failed attempt failed, if there was one.
    pub last_failure: Option<FailureCause>,
    /// Why it was refused, if it was and a back end was considered.
    pub refusal_details: Option<RefusalDetails>,
    /// Back ends excluded from the last placement or refusal.
    pub excluded: ExcludedBackEnds,
    /// The retry delay returned to the caller.
    pub retry_after: Option<Duration>,
    /// The time that the last back end was given.
    pub time_given: Option<Duration>,
}

impl Call {
    /// Returns the request's demand for the dispatcher, without earlier attempts. Once events were
    /// relayed, only the version that sent them may serve it.
    pub fn demand(&self) -> Demand {
        Demand {
            service: self.service.clone(),
            route: self.entry.key,
            prompt: self.head.prompt.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            objective: self.entry.route.objective,
            pause_objective: self.entry.route.pause_objective,
            priority: self.priority,
            tenant: self.tenant.clone(),
            regions: self.regions.clone(),
            version: self.origin.get().map(|origin| origin.version.clone()),
            tried: Vec::new(),
            suspect: None,
        }
    }

    /// Records that the request was assigned to a back end.
    pub fn record_placement(&self, placement: &Placement, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.time_given = Some(self.time_left(now));
        trace.waited = now.since(self.arrived);
        trace.predicted = placement.predicted;
        trace.running = placement.running;
        trace.limit = placement.limit;
        trace.choice = Some(placement.choice);
        trace.version = Some(placement.back_end.version.clone());
        trace.speed = placement.speed;
        trace.uncached = placement.uncached;
        trace.prefix_source = placement.prefix_source;
        trace.share = placement.share;
        trace.stats_age = placement.stats_age;
        trace.excluded = placement.excluded;
        trace.sends += 1;
    }

    /// Records that the dispatcher refused the request.
    pub fn record_refusal(&self, refusal: &Refusal) {
        let mut trace = self.trace.borrow_mut();
        trace.refusal_details = refusal.details.clone();
        trace.excluded = refusal.excluded;
        trace.retry_after = Some(refusal.retry_after);
    }

    /// Records that the first event or the complete answer was received. Later calls have no
    /// effect.
    pub fn record_first_event(&self, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.first_event.get_or_insert(now.since(self.arrived));
    }

    /// Returns the hash by which a repetition of the request is recognized. It is computed only
    /// once.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            RequestFingerprint::of(&RequestIdentity {
                tenant: self.tenant.as_deref(),
                method: self.method.as_str(),
                host: &self.entry.route.host,
                target: self.uri.path_and_query().map_or("", |target| target.as_str()),
                body: &self.body.bytes,
            })
        })
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.head.prompt.iter().flat_map(Prompt::shared_parts);
        parts.map(|part| Suspect::PromptPart(part.id))
    }

    /// Returns what may make the request crash back ends: itself and the parts of its prompt that
    /// other requests may share.
    pub fn suspects(&self) -> Vec<Suspect> {
        std::iter::once(Suspect::Request(self.fingerprint())).chain(self.shared_parts()).collect()
    }

    /// Returns the time left until the deadline, zero if it has passed.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}
