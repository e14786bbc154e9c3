//! Connections of callers: served here, handed to a peer, or taken from one.

use crate::forwarding::forward_connection;
use crate::listener::{ListenerLimits, LocalBody, Overflow, close_unread, serve};
use crate::offload;
use crate::router::Router;
use crate::serve::{Way, serve_request};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

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
    let limits =
        move || ListenerLimits { overflow_fraction: asked.overflow_fraction(), ..limits(&asked) };
    let serving = router.clone();
    let handler = move |_| {
        let serving = serving.clone();
        move |request| serve_request(serving.clone(), Way::Direct, request)
    };
    let (stop, open) = (router.stop.clone(), router.open.clone());
    let own = serve(runtime, callers, limits, overflow(router), stop, open, handler);
    let offloaded = serve_offloaded(router.clone(), offloaded);
    runtime.spawn(async move {
        smol::future::zip(own, offloaded).await;
    })
}

/// Serves connections that peers hand over, by the configuration that the greeting told. They end soon, so that a peer that stops
/// need not cut them.
async fn serve_offloaded(router: Rc<Router>, listener: TcpListener) {
    let asked = router.clone();
    let limits = move || ListenerLimits {
        idle_timeout: OFFLOADED_IDLE,
        overflow_fraction: if asked.accepts_offloaded() { 0.0 } else { 1.0 },
        max_age: Some(OFFLOADED_LIFE),
        hello: Some(offload::hello(asked.versions().0)),
        ..limits(&asked)
    };
    let serving = router.clone();
    let handler = move |from: SocketAddr| {
        let (router, table) = (serving.clone(), serving.table());
        move |request| {
            let way = Way::HandedOn { by: from.ip(), table: table.clone() };
            serve_offloaded_request(router.clone(), way, request)
        }
    };
    let (stop, open) = (router.stop.clone(), router.open.clone());
    serve(router.runtime, listener, limits, close_unread(), stop, open, handler).await;
}

async fn serve_offloaded_request(
    router: Rc<Router>,
    way: Way,
    request: Request<Incoming>,
) -> Response<LocalBody> {
    let mut response = serve_request(router, way, request).await;
    response.headers_mut().insert(KEEP_ALIVE, HeaderValue::from_static(OFFLOADED_KEEP_ALIVE));
    response
}

fn limits(router: &Router) -> ListenerLimits {
    let configured = router.table().map(|table| table.configuration().limits).unwrap_or_default();
    ListenerLimits {
        max_connections: router.settings.max_connections(),
        head_bytes: configured.head_bytes,
        idle_timeout: configured.idle_timeout,
        overflow_fraction: 0.0,
        max_age: None,
        hello: None,
    }
}

fn overflow(router: &Rc<Router>) -> Overflow {
    let router = router.clone();
    Rc::new(move |caller| Box::pin(forward_connection(router.clone(), caller)))
}
