//! Hands the response of a request task over to its caller's connection.

use hyper::Response;
use mastbay_web::Body;
use smol::channel::{Receiver, Sender};

/// Sends one response. Consumed by it: while a sender exists, a response that its caller never
/// takes would be kept, and with it the body of a stream.
pub struct Reply(Sender<Response<Body>>);

/// Receives the response. Dropped when the caller disconnects.
pub struct PendingReply(Receiver<Response<Body>>);

/// Creates the two ends of a reply.
pub fn reply_channel() -> (Reply, PendingReply) {
    let (sender, receiver) = smol::channel::bounded(1);
    (Reply(sender), PendingReply(receiver))
}

impl Reply {
    /// Sends the response. Drops it if the caller has disconnected.
    pub fn send(self, response: Response<Body>) {
        // The channel has capacity for the one response, so this fails only if it is closed.
        let _ = self.0.try_send(response);
    }
}

impl PendingReply {
    /// Waits for the response. Returns `None` if the request task ended without one.
    pub async fn receive(self) -> Option<Response<Body>> {
        self.0.recv().await.ok()
    }
}
