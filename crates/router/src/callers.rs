//! Serves the connections of callers: direct ones, of which a fraction is forwarded to peers under
//! load, and those that peers forward.

use crate::forwarding::forward_connection;
use crate::listener::{ListenerContext, ListenerLimits, OverflowHandler, close_unread, serve};
use crate::local_body::LocalBody;
use crate::offload;
use crate::request_arrivals::ReadDelays;
use crate::router::Router;
use crate::serve::{Ingress, serve_request};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use mastbay_web::MeteredBody;
use smol::net::TcpListener;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle timeout of connections that a peer forwards, a second longer than announced to the caller.
/// The forwarding peer closes them half a second earlier.
const OFFLOADED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The `Keep-Alive` value announced on such connections.
const OFFLOADED_KEEP_ALIVE: &str = "timeout=1";
/// Age after which the next answer closes such a connection. Forwarding peers of earlier versions,
/// which may be about to stop, can't close it between two requests.
const OFFLOADED_MAX_AGE: Duration = Duration::from_secs(3);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Serves direct and forwarded connections until the router stops.
pub fn serve_callers(
    router: &Rc<Router>,
    callers: TcpListener,
    offloaded: TcpListener,
) -> smol::Task<()> {
    let runtime = router.runtime;
    let limits_router = router.clone();
    let limits = move || ListenerLimits {
        overflow_fraction: limits_router.overflow_fraction(),
        ..limits(&limits_router)
    };
    let handler_router = router.clone();
    let handler = move |_| {
        let handler_router = handler_router.clone();
        move |request, age| serve_request(handler_router.clone(), Ingress::Direct, request, age)
    };
    let direct = serve(runtime, callers, limits, context(router, overflow(router)), handler);
    let offloaded = serve_offloaded(router.clone(), offloaded);
    runtime.spawn(async move {
        smol::future::zip(direct, offloaded).await;
    })
}

/// Serves connections that peers forward, with the configuration version announced in the hello.
/// They are short-lived, so that a peer can stop without aborting them.
async fn serve_offloaded(router: Rc<Router>, listener: TcpListener) {
    let limits_router = router.clone();
    let limits = move || ListenerLimits {
        idle_timeout: OFFLOADED_IDLE_TIMEOUT,
        overflow_fraction: if limits_router.accepts_offloaded() { 0.0 } else { 1.0 },
        max_age: Some(OFFLOADED_MAX_AGE),
        hello: Some(offload::hello(limits_router.versions().0)),
        ..limits(&limits_router)
    };
    let handler_router = router.clone();
    let handler = move |from: SocketAddr| {
        let (router, table) = (handler_router.clone(), handler_router.table());
        move |request, age| {
            let ingress = Ingress::Forwarded { by: from.ip(), table: table.clone() };
            serve_offloaded_request(router.clone(), ingress, request, age)
        }
    };
    let context = context(&router, close_unread());
    serve(router.runtime, listener, limits, context, handler).await;
}

fn context(router: &Rc<Router>, overflow: OverflowHandler) -> ListenerContext {
    ListenerContext {
        overflow,
        stop: router.stop.clone(),
        open: router.open.clone(),
        read_delays: read_delays(router),
    }
}

async fn serve_offloaded_request(
    router: Rc<Router>,
    ingress: Ingress,
    request: Request<MeteredBody>,
    age: Duration,
) -> Response<LocalBody> {
    let mut response = serve_request(router, ingress, request, age).await;
    response.headers_mut().insert(KEEP_ALIVE, HeaderValue::from_static(OFFLOADED_KEEP_ALIVE));
    response
}

fn limits(router: &Router) -> ListenerLimits {
    let configured = router.table().map(|table| table.configuration().limits).unwrap_or_default();
    let max_connections =
        if router.memory.is_short() { 0 } else { router.settings.max_connections() };
    ListenerLimits {
        max_connections,
        head_bytes: configured.head_bytes,
        idle_timeout: configured.idle_timeout,
        overflow_fraction: 0.0,
        max_age: None,
        hello: None,
    }
}

/// Returns how long bytes that are read now may have waited for the router.
pub fn read_delays(router: &Rc<Router>) -> ReadDelays {
    let router = router.clone();
    Rc::new(move || router.read_delay())
}

fn overflow(router: &Rc<Router>) -> OverflowHandler {
    let router = router.clone();
    Rc::new(move |caller| Box::pin(forward_connection(router.clone(), caller)))
}
