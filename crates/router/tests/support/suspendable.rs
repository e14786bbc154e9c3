//! A back end that stops reading on demand, like a suspended process, and records when it reads
//! each request.

use super::{answer_text, header, until};
use mastbay_router::Runtime;
use mastbay_testbed::read_request;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A request that a back end has read.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id of the request.
    pub id: String,
    /// When the back end read it.
    pub at: Instant,
}

/// A back end that can be suspended. Meanwhile, the kernel accepts connections and buffers bytes.
/// Clones share their state.
#[derive(Clone)]
pub struct SuspendableBackEnd {
    pub name: String,
    pub address: SocketAddr,
    /// Whether it reads nothing now.
    pub is_suspended: Rc<Cell<bool>>,
    /// Whether it closes each connection once it has read a request.
    pub breaks_connections: Rc<Cell<bool>>,
    /// Connections accepted so far.
    pub connections: Rc<Cell<u32>>,
    /// The requests read so far, by all back ends that share the record.
    arrivals: Rc<RefCell<Vec<Arrival>>>,
}

impl SuspendableBackEnd {
    /// Starts a back end that adds the requests it reads to `arrivals`.
    pub async fn start(
        runtime: Runtime,
        name: String,
        arrivals: Rc<RefCell<Vec<Arrival>>>,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        Self::start_at(runtime, name, listener, arrivals)
    }

    /// Like [`Self::start`], for connections of `listener`.
    pub fn start_at(
        runtime: Runtime,
        name: String,
        listener: TcpListener,
        arrivals: Rc<RefCell<Vec<Arrival>>>,
    ) -> Self {
        let back_end = Self {
            name,
            address: listener.local_addr().expect("bound"),
            is_suspended: Rc::default(),
            breaks_connections: Rc::default(),
            connections: Rc::default(),
            arrivals,
        };
        let serving = back_end.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                serving.connections.set(serving.connections.get() + 1);
                runtime.spawn(serving.clone().serve(stream)).detach();
            }
        };
        runtime.spawn(accept).detach();
        back_end
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut first = [0];
        // Bytes that arrive during a suspension stay in the kernel's buffer.
        while matches!(stream.peek(&mut first).await, Ok(1)) {
            until(async || !self.is_suspended.get()).await;
            let Some(head) = read_request(&mut stream).await else { return };
            let id = header(&head, "mastbay-request-id").unwrap_or_default();
            self.arrivals.borrow_mut().push(Arrival { id: id.clone(), at: Instant::now() });
            if self.breaks_connections.get() {
                return;
            }
            if stream.write_all(answer_text(&id, "done").as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
