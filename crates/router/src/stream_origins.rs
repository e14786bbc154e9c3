//! Keeps the origins of streams together with the other routers, and finds the origin of a stream
//! that a caller resumes.

use crate::archive_confirmations::ArchiveConfirmations;
use crate::call::Call;
use crate::dialect::CallerHead;
use crate::events;
use crate::log_rate_limiter::LogLineKind;
use crate::peers;
use crate::record_archive::RouterRecords;
use crate::request_head::host;
use crate::router::Router;
use crate::stream_source::StreamBackEnd;
use derive_more::{Display, Error};
use hyper::http;
use mastbay_routing::{
    ASKED_OWNERS, LookupState, MAX_STREAM_AGE, OWNERS, OriginAnswer, OriginLookup, OriginMessage,
    OriginQuery, OriginRecords, OriginReply, OriginReport, OriginSource, Outgoing, PeerMessage,
    RouteKind, RouteTable, StreamKey, StreamOrigin, StreamRecord, TableEntry,
};
use mastbay_types::Timestamp;
use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Number of times that peers are asked for an origin.
const MAX_QUERIES: u32 = 4;
/// The same while routers start: they will know in a moment.
const MAX_QUERIES_WHILE_STARTING: u32 = 20;
/// Time after which they are asked again: datagrams may be lost, and a record may arrive late.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a record is kept beyond its caller's deadline: what a caller sends before it may
/// arrive later.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// Retry delay returned when the origin is unknown: a record may still arrive.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The origins that a router keeps, and its searches for others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: RefCell<OriginRecords>,
    /// Receivers of answers, by the ID of the query.
    searches: RefCell<HashMap<u64, Sender<(SocketAddr, OriginAnswer)>>>,
    /// Peers that have started since the last round.
    new_peers: RefCell<Vec<SocketAddr>>,
    /// Whether an archive tells the origins of the time before this router's life.
    expects_archive: Cell<bool>,
    /// When it was read last; `None` before.
    archive_read: Cell<Option<Timestamp>>,
    /// Whether records of the time before this router's life are still to be read.
    expects_records: Cell<bool>,
    confirmations: ArchiveConfirmations,
}

impl StreamOrigins {
    /// Records that an archive will be read.
    pub fn expect_archive(&self) {
        self.expects_archive.set(true);
    }

    /// Records that the archive was read.
    pub fn on_archive_read(&self, at: Timestamp) {
        self.archive_read.set(Some(at));
    }

    /// Returns the searches that wait for a read of the archive.
    pub fn confirmations(&self) -> &ArchiveConfirmations {
        &self.confirmations
    }

    /// Records that an archive of records will be read.
    pub fn expect_records(&self) {
        self.expects_records.set(true);
    }

    /// Stores the records that routers archived before this life of the router.
    pub fn on_archived_records(&self, router: &Router, archived: &[RouterRecords]) {
        self.expects_records.set(false);
        let now = router.now();
        let mut records = self.records.borrow_mut();
        for RouterRecords { router: writer, reports } in archived {
            if *writer == router.settings.digests {
                records.restore_own(now, reports);
            } else {
                records.on_reports(now, reports);
            }
        }
        events::record_archive_read(archived.len(), records.len());
    }

    /// Returns all records of this router, for an archive; `None` if there is no new one.
    pub fn records_to_archive(&self, now: Timestamp) -> Option<Vec<OriginReport>> {
        self.records.borrow_mut().records_to_archive(now)
    }

    /// Has the records archived once more, since they could not be written.
    pub fn on_archive_failure(&self) {
        self.records.borrow_mut().on_archive_failure();
    }

    /// Returns whether an archive is still to be read. `needed_before` is since when the lists are
    /// observed, if what was before is not known.
    fn awaits_archive(&self, needed_before: Option<Timestamp>) -> bool {
        let is_missing = |before| self.archive_read.get().is_none_or(|read| read < before);
        let awaits_versions = self.expects_archive.get() && needed_before.is_some_and(is_missing);
        self.expects_records.get() || awaits_versions
    }
}

/// A stream that a caller resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// The stream, if the caller names it.
    pub stream: Option<StreamKey>,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// Why it is not known where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum UnknownOrigin {
    /// No router that answered has a record, and several origins were possible.
    #[display("unknown")]
    NotFound,
    /// Several origins were reported for the stream.
    #[display("conflicting")]
    Conflicting,
}

impl UnknownOrigin {
    /// Returns the time after which the caller may retry; `None` if the origin will not become
    /// known.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotFound => Some(UNKNOWN_RETRY_AFTER),
            Self::Conflicting => None,
        }
    }
}

/// Records where the stream of a request began when its first event arrives from `back_end`. The
/// origin stays unset if the back end has changed its version since the request was placed there:
/// either version may have sent the event.
pub fn on_first_event(router: &Router, call: &Call, back_end: &StreamBackEnd) {
    if router.dispatcher.borrow().has_other_version(&back_end.id, &back_end.version) {
        return;
    }
    let origin = call.origin.get_or_init(|| StreamOrigin {
        service: call.service.as_str().into(),
        version: back_end.version.clone(),
    });
    let stream = match call.head.resumes_stream() {
        true => call.resumed_stream,
        false => Some(StreamKey::new(call.tenant.as_deref(), &call.head.request_id)),
    };
    let Some(stream) = stream.filter(|_| call.entry.route.resumable) else { return };
    let now = router.now();
    let record = StreamRecord::new(stream, time_until_return(call, now) + RECORD_MARGIN);
    router.stream_origins.records.borrow_mut().record(now, origin, record);
}

/// Returns the longest time from now on after which the caller may resume its stream.
fn time_until_return(call: &Call, now: Timestamp) -> Duration {
    let age = now.since(call.arrived) + call.head_age;
    call.head.time_left.map_or(MAX_STREAM_AGE, |left| left.saturating_sub(age))
}

/// Returns the longest time since the first event of a stream that a request resumes.
fn age_limit(head: &CallerHead) -> Duration {
    head.time_left.unwrap_or_default().max(MAX_STREAM_AGE)
}

/// Finds the origin of the stream that a request resumes. Returns `None` if it resumes none, or if
/// the request will be rejected for another reason.
///
/// # Errors
/// If the origin is unknown.
pub async fn find(
    router: &Rc<Router>,
    table: Option<&RouteTable>,
    parts: &http::request::Parts,
    head: &CallerHead,
) -> Result<Option<Resumption>, UnknownOrigin> {
    let Some(table) = table.filter(|_| head.resumes_stream()) else { return Ok(None) };
    let entry = table.route(host(parts), parts.uri.path());
    let Some(entry) = entry.filter(|entry| entry.route.kind == RouteKind::Streaming) else {
        return Ok(None);
    };
    let tenant = head.key.as_deref().and_then(|key| table.tenant(key));
    if tenant.is_none() && table.has_tenants() && !entry.route.public {
        return Ok(None);
    }
    let tenant = tenant.map(|tenant| tenant.name.as_str());
    let stream = head.resumed_request.as_deref().map(|id| StreamKey::new(tenant, id));
    let began = router.now();
    let search = search(router, stream, &entry, age_limit(head)).await;
    let took = router.now().since(began);
    router.metrics.on_resumption(&search);
    if router.may_write_line(LogLineKind::Success) {
        events::stream_origin(head, &search, took);
    }
    match search.state {
        LookupState::Found { origin, .. } => Ok(Some(Resumption { stream, origin })),
        LookupState::Conflicting => Err(UnknownOrigin::Conflicting),
        LookupState::Pending | LookupState::NotFound => Err(UnknownOrigin::NotFound),
    }
}

/// Whether an archive of versions agreed with a search that found the only possible origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Confirmation {
    /// It was not asked: there is a record, no origin was found, or no archive is kept.
    #[display("not_needed")]
    NotNeeded,
    /// It holds that origin only.
    #[display("confirmed")]
    Confirmed,
    /// It holds others, or may lack some.
    #[display("refuted")]
    Refuted,
    /// It could not be read.
    #[display("unavailable")]
    Unavailable,
}

/// The result of a search for an origin.
#[derive(Debug)]
pub struct Search {
    /// The origin, or that it was not found.
    pub state: LookupState,
    /// Number of peers that were asked.
    pub asked: usize,
    /// Number of peers that answered.
    pub answered: usize,
    /// Number of those that had just started and know nothing yet.
    pub starting: usize,
    /// Whether the archive agreed.
    pub confirmation: Confirmation,
    /// How long this router had observed the lists of back ends.
    pub observed: Duration,
    /// Longest time since the stream began.
    pub age_limit: Duration,
}

impl Search {
    /// Returns the name of the result in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self.state {
            LookupState::Found { source: OriginSource::Own, .. } => "own",
            LookupState::Found { source: OriginSource::Peer(_), .. } => "peer",
            LookupState::Found { source: OriginSource::OnlyVersion, .. } => "only_version",
            LookupState::Conflicting => "conflicting",
            LookupState::Pending | LookupState::NotFound => match self.confirmation {
                Confirmation::Refuted => "refuted",
                Confirmation::Unavailable => "unconfirmed",
                Confirmation::NotNeeded | Confirmation::Confirmed => "unknown",
            },
        }
    }
}

async fn search(
    router: &Rc<Router>,
    stream: Option<StreamKey>,
    entry: &TableEntry,
    age_limit: Duration,
) -> Search {
    let age_limit_ms = u32::try_from(age_limit.as_millis()).unwrap_or(u32::MAX);
    let query = OriginQuery { id: rand::random(), stream, route: entry.key, age_limit_ms };
    let own = answer(router, &query);
    let asked = match own {
        OriginAnswer::Recorded { .. } | OriginAnswer::Conflicting => Vec::new(),
        OriginAnswer::NotRecorded { .. } | OriginAnswer::Starting => {
            let key = stream.unwrap_or(StreamKey(query.id));
            router.dispatcher.borrow().origin_owners(key, ASKED_OWNERS)
        }
    };
    let observed = router.dispatcher.borrow().observed_origins_for(router.now());
    let mut lookup = OriginLookup::new(own, &asked);
    let mut state = match lookup.state() {
        LookupState::Pending | LookupState::NotFound => {
            ask_peers(router, &query, &mut lookup).await
        }
        known => known,
    };
    let confirmation = confirm(router, &query, &state).await;
    if matches!(confirmation, Confirmation::Refuted | Confirmation::Unavailable) {
        state = LookupState::NotFound;
    }
    let (answered, starting) = (lookup.answered(), lookup.starting());
    Search { state, asked: asked.len(), answered, starting, confirmation, observed, age_limit }
}

/// Asks the archive whether an origin without a record is the only one. Each version is archived before
/// a stream begins there, so what is read now holds the origin of the stream.
async fn confirm(router: &Router, query: &OriginQuery, state: &LookupState) -> Confirmation {
    let LookupState::Found { origin, source: OriginSource::OnlyVersion, .. } = state else {
        return Confirmation::NotNeeded;
    };
    let origins = &router.stream_origins;
    if !origins.expects_archive.get() {
        return Confirmation::NotNeeded;
    }
    let Some(archived) = origins.confirmations.read(router).await else {
        return Confirmation::Unavailable;
    };
    // With several services, what is archived does not tell which one the route had as its target.
    let is_of_route = || match answer(router, query) {
        OriginAnswer::NotRecorded { only, .. } => only.as_ref() == Some(origin),
        OriginAnswer::Recorded { .. } | OriginAnswer::Conflicting | OriginAnswer::Starting => false,
    };
    let is_only = archived.origins.len() == 1 || is_of_route();
    if archived.holds_only(origin) && is_only {
        Confirmation::Confirmed
    } else {
        Confirmation::Refuted
    }
}

/// Asks peers until one has a record, the origin is certain, or they were asked often enough.
async fn ask_peers(router: &Router, query: &OriginQuery, lookup: &mut OriginLookup) -> LookupState {
    let Some(socket) = router.peer_socket.get().cloned() else { return lookup.result() };
    let (sender, answers) = smol::channel::unbounded();
    let _registration = Registration::new(&router.stream_origins, query.id, sender);
    let message = PeerMessage::Origin(OriginMessage::Query(*query));
    for asked in 1..=MAX_QUERIES_WHILE_STARTING {
        lookup.ask_again(answer(router, query));
        peers::send(&socket, &message, &lookup.asked()).await;
        let began = router.now();
        let _ = router.runtime.within(QUERY_INTERVAL, receive(lookup, &answers)).await;
        let state = lookup.result();
        let is_starting = lookup.is_any_starting() || awaits_archive(router);
        let is_last = !is_starting && (asked >= MAX_QUERIES || lookup.is_settled(query));
        if state != LookupState::NotFound || is_last {
            return state;
        }
        let waited = router.now().since(began);
        router.runtime.sleep(QUERY_INTERVAL.saturating_sub(waited)).await;
    }
    lookup.result()
}

fn awaits_archive(router: &Router) -> bool {
    let needed_before = router.dispatcher.borrow().needs_origins_before(router.now());
    router.stream_origins.awaits_archive(needed_before)
}

/// Receives answers until all peers have answered or one has a record.
async fn receive(lookup: &mut OriginLookup, answers: &Receiver<(SocketAddr, OriginAnswer)>) {
    while lookup.state() == LookupState::Pending {
        let Ok((from, answer)) = answers.recv().await else { return };
        lookup.on_answer(from, answer);
    }
}

/// Delivers the answers to a query as long as it exists.
struct Registration<'a> {
    origins: &'a StreamOrigins,
    query: u64,
}

impl<'a> Registration<'a> {
    fn new(
        origins: &'a StreamOrigins,
        query: u64,
        sender: Sender<(SocketAddr, OriginAnswer)>,
    ) -> Self {
        origins.searches.borrow_mut().insert(query, sender);
        Self { origins, query }
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.origins.searches.borrow_mut().remove(&self.query);
    }
}

/// Returns what this router knows of the origin that is asked for.
fn answer(router: &Router, query: &OriginQuery) -> OriginAnswer {
    let now = router.now();
    let records = router.stream_origins.records.borrow();
    let known = query.stream.map(|stream| records.known(now, stream));
    router.dispatcher.borrow().origin_answer(now, query, known.unwrap_or_default())
}

/// Handles a message of a peer. Returns the reply, if there is one.
pub fn handle(
    router: &Router,
    sender: SocketAddr,
    message: OriginMessage,
) -> Option<OriginMessage> {
    let origins = &router.stream_origins;
    match message {
        OriginMessage::Reports(reports) => {
            let mut dispatcher = router.dispatcher.borrow_mut();
            // A version is archived before a stream begins there.
            reports.iter().for_each(|report| dispatcher.on_archived_origin(&report.origin));
            origins.records.borrow_mut().on_reports(router.now(), &reports);
            None
        }
        OriginMessage::Query(query) => {
            let answer = answer(router, &query);
            Some(OriginMessage::Reply(OriginReply { query: query.id, answer }))
        }
        OriginMessage::Reply(reply) => {
            if let Some(search) = origins.searches.borrow().get(&reply.query) {
                // The search may just have ended.
                let _ = search.try_send((sender, reply.answer));
            }
            None
        }
    }
}

/// Returns the reports of one round: new records for their owners, and earlier ones for owners that
/// have started since.
pub fn next_reports(router: &Router) -> Vec<Outgoing> {
    let origins = &router.stream_origins;
    let dispatcher = router.dispatcher.borrow();
    let owners = |stream| dispatcher.origin_owners(stream, OWNERS);
    let mut records = origins.records.borrow_mut();
    let mut reports = records.take_reports(owners);
    let new_peers = origins.new_peers.take();
    reports.extend(records.reports_for_new(router.now(), &new_peers, owners));
    reports.into_iter().map(|(owner, reports)| outgoing(owner, reports)).collect()
}

fn outgoing(owner: SocketAddr, reports: Vec<OriginReport>) -> Outgoing {
    Outgoing { message: PeerMessage::Origin(OriginMessage::Reports(reports)), targets: vec![owner] }
}

/// Notes that a peer has started: one that has restarted has lost its records.
pub fn on_new_peer(router: &Router, peer: SocketAddr) {
    router.stream_origins.new_peers.borrow_mut().push(peer);
}

/// Removes expired records and updates the metrics.
pub fn expire(router: &Router) {
    let mut records = router.stream_origins.records.borrow_mut();
    records.expire(router.now());
    router.metrics.set_stream_records(records.len(), records.evicted());
}
