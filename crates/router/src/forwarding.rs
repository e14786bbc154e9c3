//! Handles the connections that an overloaded router does not serve normally: forwards them to a
//! peer, closes them unread, or serves them locally after all.

use crate::dialect::OwnAnswer;
use crate::events;
use crate::lingering_close::close_after_answer;
use crate::listener::OverflowResult;
use crate::log_rate_limiter::LogLineKind;
use crate::offload::{
    self, AcceptedCaller, CopyOutcome, ForwardedConnection, Interruption, OffloadError,
    PeerConnection, Stage, StopPhases,
};
use crate::overflow::OverflowOutcome;
use crate::own_answers::own_answer_bytes;
use crate::receive_time::ReadDelay;
use crate::request_head::{host, parse_head};
use crate::router::Router;
use crate::serve::time_allowed;
use hyper::http::request::Parts;
use mastbay_routing::RouteTable;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Added to a request's timeout, which the peer enforces, for the answer to come back from there.
const RETURN_MARGIN: Duration = Duration::from_millis(250);

/// Forwards a connection to a peer in the zone. If none accepts it, serves it locally, except for
/// the rejected fraction, which is forwarded to a peer in another zone or closed unread.
pub(crate) async fn forward_connection(
    router: Rc<Router>,
    caller: AcceptedCaller,
) -> OverflowResult {
    let Some(table) = router.table() else { return OverflowResult::ServeHere(caller.stream) };
    let draws = (rand::random(), rand::random());
    let in_zone = router.dispatcher.borrow().offload_targets(draws);
    for peer in in_zone {
        if let Some(connection) = connect_to_peer(&router, &table, peer).await {
            return copy_to(&router, table, peer, connection, caller).await;
        }
    }
    if rand::random::<f64>() >= router.rejected_fraction() {
        router.record_overflow(OverflowOutcome::ServedLocally);
        return OverflowResult::ServeHere(caller.stream);
    }
    // Connections are closed before their tenant is known, which favors the tenant that connects
    // most, so a peer in another zone is tried first.
    let other_zone = router.dispatcher.borrow().cross_zone_offload_target(rand::random());
    if let Some(peer) = other_zone
        && let Some(connection) = connect_to_peer(&router, &table, peer).await
    {
        return copy_to(&router, table, peer, connection, caller).await;
    }
    router.record_overflow(OverflowOutcome::Rejected);
    OverflowResult::Done
}

/// Connects to a peer; `None` if it does not accept a connection.
async fn connect_to_peer(
    router: &Router,
    table: &RouteTable,
    peer: SocketAddr,
) -> Option<PeerConnection> {
    let result = offload::connect(router.runtime, peer, table.version()).await;
    result.map_err(|error| log_not_accepted(router, peer, &error)).ok()
}

/// Copies a connection to the peer that accepted it until it ends.
async fn copy_to(
    router: &Rc<Router>,
    table: Rc<RouteTable>,
    peer: SocketAddr,
    connection: PeerConnection,
    caller: AcceptedCaller,
) -> OverflowResult {
    router.record_overflow(OverflowOutcome::Forwarded);
    let interval = router.offload_interval();
    let forwarded = Rc::new(AgreedConfiguration { router: router.clone(), table, peer });
    let stop = StopPhases { accepts_none: router.stop.clone(), limit: router.stop_limit.clone() };
    let copied = connection.copy(router.runtime, caller, interval, forwarded, stop).await;
    if let CopyOutcome::Unanswered { caller, answer, request_start, .. } = copied {
        router.record_overflow(OverflowOutcome::Unanswered);
        router.metrics.on_own_answer(answer);
        send_own_answer(router, caller, &request_start, answer).await;
    }
    OverflowResult::Done
}

/// The configuration that both routers had in force when the connection was forwarded.
struct AgreedConfiguration {
    router: Rc<Router>,
    table: Rc<RouteTable>,
    /// The peer that serves the connection.
    peer: SocketAddr,
}

impl ForwardedConnection for AgreedConfiguration {
    fn is_current(&self) -> bool {
        self.router.versions().0 == self.table.version()
    }

    fn answer_timeout(&self, start: &[u8]) -> Duration {
        let head = parse_head(start);
        head.map_or_else(|| self.max_route_timeout(), |head| self.request_timeout(&head))
            + RETURN_MARGIN
    }

    fn read_delay(&self) -> ReadDelay {
        self.router.read_delay()
    }

    fn on_interruption(&self, interruption: &Interruption<'_>) {
        let Interruption { reason, stage, request_start, .. } = interruption;
        self.router.metrics.on_forwarding_interrupted(*reason, *stage);
        // No request is concerned by the end of an idle connection.
        if *stage != Stage::Idle && self.router.may_write_line(LogLineKind::Failure) {
            let head = parse_head(request_start);
            let head = head.and_then(|head| self.router.dialects.callers.read(&head).ok());
            let request_id = head.map(|head| head.request_id);
            events::forwarding_interrupted(self.peer, request_id.as_deref(), interruption);
        }
    }
}

impl AgreedConfiguration {
    /// Returns the time that a request may take: zero if it is malformed or has no route, since the
    /// peer rejects it at once.
    fn request_timeout(&self, head: &Parts) -> Duration {
        let caller_head = self.router.dialects.callers.read(head).ok();
        let entry = self.table.route(host(head), head.uri.path());
        let both = caller_head.zip(entry);
        both.map_or(Duration::ZERO, |(head, entry)| time_allowed(&head, &entry.route))
    }

    /// Returns the longest timeout of any route, for requests whose head is not complete.
    fn max_route_timeout(&self) -> Duration {
        let routes = self.table.configuration().routes.iter();
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }
}

fn log_not_accepted(router: &Router, peer: SocketAddr, error: &OffloadError) {
    // Lines over the rate limit are only counted.
    if router.may_write_line(LogLineKind::Failure) {
        events::not_offloaded(peer, error);
    }
}

async fn send_own_answer(router: &Router, mut caller: TcpStream, start: &[u8], answer: OwnAnswer) {
    let head = parse_head(start).and_then(|head| router.dialects.callers.read(&head).ok());
    let request_id = head.as_ref().map(|head| head.request_id.as_str());
    let bytes = own_answer_bytes(router, request_id, answer);
    // Fails if the caller has closed the connection.
    if caller.write_all(&bytes).await.is_ok() {
        close_after_answer(router.runtime, caller).await;
    }
}
