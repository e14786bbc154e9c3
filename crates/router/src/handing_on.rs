//! What becomes of a connection that a router with too much to do does not simply serve: a peer takes it, or it is closed unread,
//! or it is served here after all.

use crate::dialect::OwnAnswer;
use crate::ending::own_answer_bytes;
use crate::events;
use crate::line_budget::LineKind;
use crate::listener::Overflowed;
use crate::offload::{self, Copied, Loss, OffloadError};
use crate::overflow::OverflowOutcome;
use crate::peeked::{host, peek_request};
use crate::router::Router;
use crate::serve::time_allowed;
use mastbay_routing::RouteTable;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time beyond a request's own for its answer to come back from a peer, which ends it in its time.
const WAY_BACK: Duration = Duration::from_millis(250);

/// A request that a peer may take.
struct Waiting {
    /// Its name, if its head could be read.
    request_id: Option<String>,
    /// The configuration that is in force now that it has come.
    table: Rc<RouteTable>,
    /// Time that it may take.
    limit: Duration,
}

/// Hands a connection to a peer, or closes it unread, or leaves it to be served here.
pub(crate) async fn hand_on(router: Rc<Router>, caller: TcpStream) -> Overflowed {
    let Some(waiting) = first_request(&router, &caller).await else {
        return Overflowed::ServeHere(caller);
    };
    let draws = (rand::random(), rand::random());
    let peers = router.dispatcher.borrow().offload_targets(draws);
    for peer in peers {
        match offload::ask(router.runtime, peer, waiting.table.version()).await {
            Ok(offloaded) => {
                router.note_overflow(OverflowOutcome::HandedOn);
                let interval = router.offload_interval();
                let began = Instant::now();
                let copied = offloaded.copy(router.runtime, caller, interval, waiting.limit).await;
                if let Copied::Unanswered { caller, loss } = copied {
                    note_unanswered(&router, peer, loss, began.elapsed());
                    tell(&router, caller, waiting.request_id.as_deref(), loss).await;
                }
                return Overflowed::Done;
            }
            Err(error) => note_not_taken(&router, peer, &error),
        }
    }
    if rand::random::<f64>() < router.turned_away_part() {
        router.note_overflow(OverflowOutcome::TurnedAway);
        return Overflowed::Done;
    }
    router.note_overflow(OverflowOutcome::KeptHere);
    Overflowed::ServeHere(caller)
}

/// Waits until a connection's first request has come: only then is it known by which configuration it is to be served. Nothing if the
/// connection ends or rests, or the router stops, or knows no configuration.
async fn first_request(router: &Router, caller: &TcpStream) -> Option<Waiting> {
    let idle_time = router.table()?.configuration().limits.idle_time;
    let stopped = async {
        router.stop.wait().await;
        None
    };
    let come = async { peek_request(caller).await.ok() };
    let head = router.runtime.within(idle_time, come.or(stopped)).await.ok()??;
    let table = router.table()?;
    let named = head.as_ref().and_then(|head| router.seams.callers.read(head).ok());
    let allowed = head.as_ref().zip(named.as_ref()).and_then(|(head, named)| {
        let entry = table.route(host(head), head.uri.path())?;
        Some(time_allowed(named, &entry.route))
    });
    let limit = allowed.unwrap_or_else(|| longest_time(&table)) + WAY_BACK;
    Some(Waiting { request_id: named.map(|named| named.request_id), table, limit })
}

/// The longest time that any route allows.
fn longest_time(table: &RouteTable) -> Duration {
    let routes = table.configuration().routes.iter();
    routes.map(|route| route.timeout).max().unwrap_or_default()
}

fn note_not_taken(router: &Router, peer: SocketAddr, error: &OffloadError) {
    // Else it is counted among the lines that were left out.
    if router.may_write_line(LineKind::Failure) {
        events::not_offloaded(peer, error);
    }
}

fn note_unanswered(router: &Router, peer: SocketAddr, loss: Loss, waited: Duration) {
    router.note_overflow(OverflowOutcome::Unanswered);
    router.metrics.on_own_answer(answer_after(loss));
    if router.may_write_line(LineKind::Failure) {
        events::handed_on_unanswered(peer, loss, waited);
    }
}

/// What a caller is told whose request a peer took and did not answer. It is copied unread, so it may have run.
fn answer_after(loss: Loss) -> OwnAnswer {
    match loss {
        Loss::PeerGone => OwnAnswer::UnknownOutcome,
        Loss::PeerSilent => OwnAnswer::OutOfTime,
    }
}

async fn tell(router: &Router, mut caller: TcpStream, request_id: Option<&str>, loss: Loss) {
    let bytes = own_answer_bytes(router, request_id, answer_after(loss));
    // A caller that has gone needs no word.
    let _ = caller.write_all(&bytes).await;
}
