//! Origins of streams that the router relays.

use crate::call::Call;
use crate::relay::StreamBackEnd;
use crate::router::Router;
use mastbay_routing::StreamOrigin;

/// Records where the stream of a request began when its first event arrives from `back_end`. The
/// origin stays unset if the back end has changed its version since the request was placed there:
/// either version may have sent the event.
pub fn on_first_event(router: &Router, call: &Call, back_end: &StreamBackEnd) {
    let dispatcher = router.dispatcher.borrow();
    let listed = dispatcher.back_end(&back_end.id);
    if listed.is_some_and(|listed| listed.version != back_end.version) {
        return;
    }
    call.origin.get_or_init(|| StreamOrigin {
        service: call.service.as_str().into(),
        version: back_end.version.clone(),
    });
}
