//! A relay in front of a process's peer address, which can be cut: nothing reaches the process, while what
//! it sends itself still goes out.

use smol::Task;
use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Connections that run through, each ended by closing its channel.
type Open = Vec<Sender<Infallible>>;

#[derive(Debug, Default)]
struct State {
    cut: bool,
    open: Open,
}

/// A relay.
#[derive(Debug)]
pub struct Relay {
    state: Arc<Mutex<State>>,
    _task: Task<()>,
}

/// How long a connection is held by a relay that is cut: callers see silence, not a refusal.
const SILENCE: Duration = Duration::from_secs(60);

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Relays what arrives at `from` to `to`.
    ///
    /// # Panics
    /// When `from` cannot be opened.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).await.expect("the relay's address is free");
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                smol::spawn(carry(shared.clone(), stream, to)).detach();
            }
        });
        Self { state, _task: task }
    }

    /// Ends what runs through and lets nothing through until [`Relay::heal`].
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        for open in state.open.drain(..) {
            open.close();
        }
    }

    /// Lets everything through again.
    pub fn heal(&self) {
        lock(&self.state).cut = false;
    }
}

async fn carry(state: Arc<Mutex<State>>, incoming: TcpStream, to: SocketAddr) {
    let (ended, end): (Sender<Infallible>, Receiver<Infallible>) = smol::channel::bounded(1);
    let cut = {
        let mut state = lock(&state);
        if !state.cut {
            state.open.push(ended);
        }
        state.cut
    };
    if cut {
        smol::Timer::after(SILENCE).await;
        return;
    }
    let Ok(outgoing) = TcpStream::connect(to).await else { return };
    let there = smol::io::copy(incoming.clone(), outgoing.clone());
    let back = smol::io::copy(outgoing, incoming);
    let through = async {
        // Whichever side ends first ends the connection.
        let _ = smol::future::or(there, back).await;
    };
    let stopped = async {
        let _ = end.recv().await;
    };
    smol::future::or(through, stopped).await;
}
