//! A TCP relay in front of the peer address of a process. While it is cut, nothing reaches the
//! process, but what the process sends still goes out.

use smol::Task;
use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Relayed connections, each ended by closing its channel.
type OpenConnections = Vec<Sender<Infallible>>;

#[derive(Debug, Default)]
struct State {
    cut: bool,
    open: OpenConnections,
}

/// TCP relay that can be cut.
#[derive(Debug)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    _task: Task<()>,
}

/// Time for which a cut relay holds a connection, so that callers see a silent peer and not a
/// reset.
const HOLD_TIME: Duration = Duration::from_secs(60);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Starts a relay from `from` to `to`.
    ///
    /// # Panics
    /// Panics if `from` cannot be bound.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).await.expect("the relay's address is free");
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(relay_connection(shared.clone(), stream, to)).detach();
            }
        });
        Self { state, _task: task }
    }

    /// Closes all relayed connections and blocks new ones until [`Relay::heal`].
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        for open in state.open.drain(..) {
            open.close();
        }
    }

    /// Relays new connections again.
    pub fn heal(&self) {
        lock(&self.state).cut = false;
    }
}

async fn relay_connection(state: Arc<Mutex<State>>, incoming: TcpStream, to: SocketAddr) {
    let (ended, end): (Sender<Infallible>, Receiver<Infallible>) = smol::channel::bounded(1);
    let cut = {
        let mut state = lock(&state);
        if !state.cut {
            state.open.push(ended);
        }
        state.cut
    };
    if cut {
        smol::Timer::after(HOLD_TIME).await;
        return;
    }
    let Ok(outgoing) = TcpStream::connect(to).await else { return };
    let there = smol::io::copy(incoming.clone(), outgoing.clone());
    let back = smol::io::copy(outgoing, incoming);
    let relayed = async {
        // The connection ends when either side closes.
        let _ = smol::future::or(there, back).await;
    };
    let stopped = async {
        let _ = end.recv().await;
    };
    smol::future::or(relayed, stopped).await;
}
