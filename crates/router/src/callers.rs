//! Connections of callers: served here, handed to a peer, or taken from one.

use crate::dialect::OwnAnswer;
use crate::events;
use crate::line_budget::LineKind;
use crate::listener::{ListenerLimits, LocalBody, Overflow, Overflowed, close_unread, serve};
use crate::offload::{self, Copied};
use crate::overflow::OverflowOutcome;
use crate::router::Router;
use crate::serve::serve_request;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use smol::net::TcpListener;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which a connection that a peer handed over may rest: a second longer than its caller is told.
const OFFLOADED_IDLE: Duration = Duration::from_secs(2);
/// What the caller on such a connection is told of that.
const OFFLOADED_KEEP_ALIVE: &str = "timeout=1";
/// Time after which the next answer ends such a connection. The peer cannot end it between two requests, since it does
/// not read them, and may have to stop.
const OFFLOADED_LIFE: Duration = Duration::from_secs(3);
/// The header that tells how long a connection may rest.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Serves callers that connect here, and those that peers hand over, until the stop.
pub fn serve_callers(
    router: &Rc<Router>,
    callers: TcpListener,
    offloaded: TcpListener,
) -> smol::Task<()> {
    let runtime = router.runtime;
    let asked = router.clone();
    let limits = move || ListenerLimits { overflow_part: asked.overflow_part(), ..limits(&asked) };
    let serving = router.clone();
    let handler = move |_| {
        let serving = serving.clone();
        move |request| serve_request(serving.clone(), None, request)
    };
    let (stop, open) = (router.stop.clone(), router.open.clone());
    let own = serve(runtime, callers, limits, overflow(router), stop, open, handler);
    let offloaded = serve_offloaded(router.clone(), offloaded);
    runtime.spawn(async move {
        smol::future::zip(own, offloaded).await;
    })
}

/// Serves connections that peers hand over. They end soon, so that a peer that stops need not cut them.
async fn serve_offloaded(router: Rc<Router>, listener: TcpListener) {
    let asked = router.clone();
    let limits = move || ListenerLimits {
        idle_time: OFFLOADED_IDLE,
        overflow_part: if asked.takes_offloaded() { 0.0 } else { 1.0 },
        longest_life: Some(OFFLOADED_LIFE),
        greeting: offload::GREETING,
        ..limits(&asked)
    };
    let serving = router.clone();
    let handler = move |from: SocketAddr| {
        let serving = serving.clone();
        move |request| serve_offloaded_request(serving.clone(), from.ip(), request)
    };
    let (stop, open) = (router.stop.clone(), router.open.clone());
    serve(router.runtime, listener, limits, close_unread(), stop, open, handler).await;
}

async fn serve_offloaded_request(
    router: Rc<Router>,
    handed_on_by: IpAddr,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let mut response = serve_request(router, Some(handed_on_by), request).await;
    response.headers_mut().insert(KEEP_ALIVE, HeaderValue::from_static(OFFLOADED_KEEP_ALIVE));
    response
}

fn limits(router: &Router) -> ListenerLimits {
    let configured = router.table().map(|table| table.configuration().limits).unwrap_or_default();
    ListenerLimits {
        most_connections: router.settings.most_connections(),
        head_bytes: configured.head_bytes,
        idle_time: configured.idle_time,
        overflow_part: 0.0,
        longest_life: None,
        greeting: &[],
    }
}

/// Hands a connection to a peer, or closes some of those that no peer takes.
fn overflow(router: &Rc<Router>) -> Overflow {
    let router = router.clone();
    Rc::new(move |caller| {
        let router = router.clone();
        Box::pin(async move {
            let draws = (rand::random(), rand::random());
            let peers = router.dispatcher.borrow().offload_targets(draws);
            for peer in peers {
                match offload::ask(router.runtime, peer).await {
                    Ok(offloaded) => {
                        router.note_overflow(OverflowOutcome::HandedOn);
                        let interval = router.offload_interval();
                        let unanswered = unknown_outcome(&router);
                        let began = Instant::now();
                        let copied = offloaded.copy(router.runtime, caller, interval, &unanswered);
                        if copied.await == Copied::Unanswered {
                            note_unanswered(&router, peer, began.elapsed());
                        }
                        return Overflowed::Done;
                    }
                    Err(error) if router.may_write_line(LineKind::Failure) => {
                        events::not_offloaded(peer, &error);
                    }
                    // Counted among the lines that were left out.
                    Err(_) => {}
                }
            }
            if rand::random::<f64>() < router.turned_away_part() {
                router.note_overflow(OverflowOutcome::TurnedAway);
                return Overflowed::Done;
            }
            router.note_overflow(OverflowOutcome::KeptHere);
            Overflowed::ServeHere(caller)
        })
    })
}

fn note_unanswered(router: &Router, peer: SocketAddr, waited: Duration) {
    router.note_overflow(OverflowOutcome::Unanswered);
    router.metrics.on_own_answer(OwnAnswer::UnknownOutcome);
    if router.may_write_line(LineKind::Failure) {
        events::handed_on_unanswered(peer, waited);
    }
}

/// The answer to a caller whose request a peer took and did not answer, as bytes: its connection is copied unread, so nothing
/// is known of the request.
fn unknown_outcome(router: &Router) -> Vec<u8> {
    let answer = OwnAnswer::UnknownOutcome;
    let body = format!("{answer}\n");
    let mut text = format!("HTTP/1.1 {}\r\n", answer.status());
    for (name, value) in &router.seams.callers.own_headers(None, answer) {
        text.push_str(&format!("{name}: {}\r\n", String::from_utf8_lossy(value.as_bytes())));
    }
    text.push_str(&format!("connection: close\r\ncontent-length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
