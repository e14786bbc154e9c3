//! What becomes of a connection that a router with too much to do does not simply serve: a peer takes it, or it is closed unread,
//! or it is served here after all.

use crate::dialect::OwnAnswer;
use crate::events;
use crate::listener::OverflowResult;
use crate::log_rate_limiter::LogLineKind;
use crate::offload::{
    self, CopyOutcome, ForwardedConnection, OffloadError, PeerConnection, PeerFailure,
};
use crate::overflow::OverflowOutcome;
use crate::own_answers::own_answer_bytes;
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

/// Time beyond a request's own for its answer to come back from a peer, which ends it in its time.
const WAY_BACK: Duration = Duration::from_millis(250);

/// Hands a connection to a peer of the zone, or else serves it here as far as there is room, or else hands it to a peer of another
/// zone, or else closes it unread.
pub(crate) async fn forward_connection(router: Rc<Router>, caller: TcpStream) -> OverflowResult {
    let Some(table) = router.table() else { return OverflowResult::ServeHere(caller) };
    let draws = (rand::random(), rand::random());
    let in_zone = router.dispatcher.borrow().offload_targets(draws);
    for peer in in_zone {
        if let Some(offloaded) = ask_peer(&router, &table, peer).await {
            return copy_to(&router, table, peer, offloaded, caller).await;
        }
    }
    if rand::random::<f64>() >= router.rejected_fraction() {
        router.note_overflow(OverflowOutcome::ServedLocally);
        return OverflowResult::ServeHere(caller);
    }
    // Connections are closed unread whoever's they are, so the tenant that connects most would get most before its share is weighed.
    let elsewhere = router.dispatcher.borrow().cross_zone_offload_target(rand::random());
    if let Some(peer) = elsewhere
        && let Some(offloaded) = ask_peer(&router, &table, peer).await
    {
        return copy_to(&router, table, peer, offloaded, caller).await;
    }
    router.note_overflow(OverflowOutcome::Rejected);
    OverflowResult::Done
}

/// Asks a peer to take a connection.
async fn ask_peer(router: &Router, table: &RouteTable, peer: SocketAddr) -> Option<PeerConnection> {
    let asked = offload::connect(router.runtime, peer, table.version()).await;
    asked.map_err(|error| note_not_taken(router, peer, &error)).ok()
}

/// Copies a connection to the peer that has taken it, until it ends.
async fn copy_to(
    router: &Rc<Router>,
    table: Rc<RouteTable>,
    peer: SocketAddr,
    offloaded: PeerConnection,
    caller: TcpStream,
) -> OverflowResult {
    router.note_overflow(OverflowOutcome::Forwarded);
    let interval = router.offload_interval();
    let handed_on = Rc::new(Agreed { router: router.clone(), table });
    let began = router.now();
    let copied = offloaded.copy(router.runtime, caller, interval, handed_on).await;
    if let CopyOutcome::Unanswered { caller, failure, request_start } = copied {
        note_unanswered(router, peer, failure, router.now().since(began));
        tell(router, caller, &request_start, failure).await;
    }
    OverflowResult::Done
}

/// The configuration that both routers had in force when a connection was handed on.
struct Agreed {
    router: Rc<Router>,
    table: Rc<RouteTable>,
}

impl ForwardedConnection for Agreed {
    fn is_current(&self) -> bool {
        self.router.versions().0 == self.table.version()
    }

    fn answer_timeout(&self, start: &[u8]) -> Duration {
        let head = parse_head(start);
        head.map_or_else(|| self.longest(), |head| self.allowed(&head)) + WAY_BACK
    }
}

impl Agreed {
    /// Time that a request may take: none if it is malformed or has no route, since the peer refuses it at once. Bounded by the longest
    /// route, a caller of a route that had just been added had no answer after 1.5 s, on a route of 1 s.
    fn allowed(&self, head: &Parts) -> Duration {
        let caller_head = self.router.dialects.callers.read(head).ok();
        let entry = self.table.route(host(head), head.uri.path());
        let both = caller_head.zip(entry);
        both.map_or(Duration::ZERO, |(head, entry)| time_allowed(&head, &entry.route))
    }

    /// The longest time that any route allows.
    fn longest(&self) -> Duration {
        let routes = self.table.configuration().routes.iter();
        routes.map(|route| route.timeout).max().unwrap_or_default()
    }
}

fn note_not_taken(router: &Router, peer: SocketAddr, error: &OffloadError) {
    // Else it is counted among the lines that were left out.
    if router.may_write_line(LogLineKind::Failure) {
        events::not_offloaded(peer, error);
    }
}

fn note_unanswered(router: &Router, peer: SocketAddr, loss: PeerFailure, waited: Duration) {
    router.note_overflow(OverflowOutcome::Unanswered);
    router.metrics.on_own_answer(answer_after(loss));
    if router.may_write_line(LogLineKind::Failure) {
        events::handed_on_unanswered(peer, loss, waited);
    }
}

/// What a caller is told whose request a peer took and did not answer. It is copied unread, so it may have run.
fn answer_after(loss: PeerFailure) -> OwnAnswer {
    match loss {
        PeerFailure::Disconnected => OwnAnswer::UnknownOutcome,
        PeerFailure::TimedOut => OwnAnswer::OutOfTime,
    }
}

async fn tell(router: &Router, mut caller: TcpStream, start: &[u8], loss: PeerFailure) {
    let head = parse_head(start).and_then(|head| router.dialects.callers.read(&head).ok());
    let request_id = head.as_ref().map(|head| head.request_id.as_str());
    let bytes = own_answer_bytes(router, request_id, answer_after(loss));
    // A caller that has gone needs no word.
    let _ = caller.write_all(&bytes).await;
}
