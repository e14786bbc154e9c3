//! A caller's request on its way: what it is, and what was decided on it.

use crate::body_budget::BodyReservation;
use crate::dialect::CallerHead;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use mastbay_routing::{
    AllowedRegions, Demand, ExcludedBackEnds, Placement, Refusal, RefusalDetails,
    RequestFingerprint, RequestIdentity, TableEntry,
};
use mastbay_types::Timestamp;
use std::cell::{OnceCell, RefCell};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request whose route is known and whose body has arrived.
pub struct Call {
    /// What the dialect read from its head.
    pub head: CallerHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Body,
    /// Its route.
    pub entry: TableEntry,
    /// The service that the route's weights chose.
    pub service: String,
    /// Its tenant.
    pub tenant: Option<Arc<str>>,
    /// Its rank.
    pub priority: u32,
    /// Regions in which it may be served.
    pub regions: AllowedRegions,
    /// The router that handed its connection on, if it did not come from its caller.
    pub forwarded_by: Option<IpAddr>,
    /// When its head came.
    pub arrived: Timestamp,
    /// When it must have its final answer.
    pub deadline: Timestamp,
    /// What was decided on its way, for its one log line.
    pub trace: RefCell<Trace>,
    /// What it is recognized by when it comes again, once that was asked for.
    pub fingerprint: OnceCell<RequestFingerprint>,
}

/// What was decided on a request's way.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Time until it was placed last.
    pub waited: Duration,
    /// Time from its arrival to its first event or whole answer.
    pub first_event: Option<Duration>,
    /// Longest pause between two events.
    pub longest_pause: Duration,
    /// Time to the first event that was predicted.
    pub predicted: Duration,
    /// Requests that were known to be at its back end.
    pub running: u32,
    /// The concurrency limit of its back end.
    pub limit: u32,
    /// Prompt tokens that its back end was taken to read.
    pub uncached: u64,
    /// Age of the oldest figures that decided.
    pub age: Duration,
    /// Times that it was handed to a back end.
    pub sends: u32,
    /// What decided against it, if it was refused.
    pub considered: Option<RefusalDetails>,
    /// Back ends that were not chosen from when it was placed last or refused.
    pub left_out: ExcludedBackEnds,
    /// When its caller was told to come back.
    pub retry_after: Option<Duration>,
}

impl Call {
    /// What it asks of the dispatcher.
    pub fn demand(&self) -> Demand {
        Demand {
            service: self.service.clone(),
            route: self.entry.key,
            prompt: self.head.prompt.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            objective: self.entry.route.objective,
            priority: self.priority,
            tenant: self.tenant.clone(),
            regions: self.regions.clone(),
            tried: Vec::new(),
            suspect: None,
        }
    }

    /// It was given to a back end.
    pub fn note_placement(&self, placement: &Placement, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.waited = now.since(self.arrived);
        trace.predicted = placement.predicted;
        trace.running = placement.running;
        trace.limit = placement.limit;
        trace.uncached = placement.uncached;
        trace.age = placement.stats_age;
        trace.left_out = placement.excluded;
        trace.sends += 1;
    }

    /// It was refused.
    pub fn note_refusal(&self, refusal: &Refusal) {
        let mut trace = self.trace.borrow_mut();
        trace.considered = refusal.details.clone();
        trace.left_out = refusal.excluded;
        trace.retry_after = Some(refusal.retry_after);
    }

    /// Its first event or whole answer has come.
    pub fn note_first_event(&self, now: Timestamp) {
        let mut trace = self.trace.borrow_mut();
        trace.first_event.get_or_insert(now.since(self.arrived));
    }

    /// What it is recognized by when it comes again.
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

    /// Time left until its deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// The body of a request and its share of the memory for bodies.
pub struct Body {
    /// The bytes.
    pub bytes: Bytes,
    /// Given back when the request has ended.
    pub share: BodyReservation,
}
