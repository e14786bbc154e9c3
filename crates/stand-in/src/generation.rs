//! Sequences of a simulated model engine: slots, steps, and streams that outlast a broken
//! connection.

use smol::channel::{Receiver, Sender};
use smol::lock::Semaphore;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a sequence without a reader keeps generating.
const RESUME_GRACE: Duration = Duration::from_secs(2);
/// Time for which a finished sequence can still be resumed.
const FINISHED_TTL: Duration = Duration::from_secs(10);

/// State of a sequence. `updates` gets a message when a token is added.
#[derive(Debug)]
struct Sequence {
    tokens: Vec<String>,
    wanted: usize,
    readers: usize,
    unread_since: Instant,
    cancelled: bool,
    update_sender: Sender<()>,
    updates: Receiver<()>,
}

/// Shared handle to a sequence.
#[derive(Debug, Clone)]
pub struct SequenceHandle(Arc<Mutex<Sequence>>);

impl SequenceHandle {
    fn new(wanted: usize) -> Self {
        let (update_sender, updates) = smol::channel::bounded(1);
        Self(Arc::new(Mutex::new(Sequence {
            tokens: Vec::new(),
            wanted,
            readers: 0,
            unread_since: Instant::now(),
            cancelled: false,
            update_sender,
            updates,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Sequence> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the token at `index`; `None` if the sequence ends before it.
    pub async fn token(&self, index: usize) -> Option<String> {
        loop {
            let updates = {
                let sequence = self.lock();
                if let Some(token) = sequence.tokens.get(index) {
                    return Some(token.clone());
                }
                if sequence.cancelled || index >= sequence.wanted {
                    return None;
                }
                sequence.updates.clone()
            };
            // An update wakes only one of several readers, so the others poll.
            let _ = mastbay_web::within(Duration::from_millis(20), updates.recv()).await;
        }
    }

    /// Returns whether all wanted tokens were generated.
    pub fn is_complete(&self) -> bool {
        let sequence = self.lock();
        sequence.tokens.len() == sequence.wanted
    }

    /// Registers a reader.
    pub fn attach(&self) {
        self.lock().readers += 1;
    }

    /// Removes a reader; without any, the sequence is cancelled after [`RESUME_GRACE`].
    pub fn detach(&self) {
        let mut sequence = self.lock();
        sequence.readers -= 1;
        sequence.unread_since = Instant::now();
    }

    /// Ends the sequence early.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
    }

    /// Adds a token. Returns false if the sequence is complete or cancelled.
    fn add(&self, token: String) -> bool {
        let mut sequence = self.lock();
        let abandoned = sequence.readers == 0 && sequence.unread_since.elapsed() >= RESUME_GRACE;
        if abandoned || sequence.cancelled {
            sequence.cancelled = true;
            return false;
        }
        sequence.tokens.push(token);
        // A full channel already holds an update.
        let _ = sequence.update_sender.try_send(());
        sequence.tokens.len() < sequence.wanted
    }
}

/// Sequences of an engine and the slots that they run in.
#[derive(Debug)]
pub struct Generations {
    slots: Semaphore,
    step: Duration,
    sequences: Mutex<HashMap<String, SequenceHandle>>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Generations {
    /// Creates an idle engine that generates one token for each slot every `step`.
    pub fn new(slots: usize, step: Duration) -> Arc<Self> {
        let (sequences, runs) = (Mutex::default(), Mutex::default());
        Arc::new(Self { slots: Semaphore::new(slots), step, sequences, runs })
    }

    /// Starts a sequence of `wanted` tokens that cycle through `words`.
    pub fn start(self: &Arc<Self>, id: &str, words: Vec<String>, wanted: usize) -> SequenceHandle {
        let handle = SequenceHandle::new(wanted);
        self.lock_sequences().insert(id.to_owned(), handle.clone());
        *lock(&self.runs).entry(id.to_owned()).or_default() += 1;
        let (engine, sequence, id) = (self.clone(), handle.clone(), id.to_owned());
        smol::spawn(async move { engine.run(id, sequence, words).await }).detach();
        handle
    }

    async fn run(&self, id: String, sequence: SequenceHandle, words: Vec<String>) {
        let slot = self.slots.acquire().await;
        let mut index = 0;
        loop {
            smol::Timer::after(self.step).await;
            let word = &words[index % words.len()];
            if !sequence.add(word.clone()) {
                break;
            }
            index += 1;
        }
        drop(slot);
        smol::Timer::after(FINISHED_TTL).await;
        self.lock_sequences().remove(&id);
    }

    /// Returns the sequence of a request unless it has expired.
    pub fn find(&self, id: &str) -> Option<SequenceHandle> {
        self.lock_sequences().get(id).cloned()
    }

    /// Returns how many times each request was started, by its id.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.runs).clone()
    }

    fn lock_sequences(&self) -> MutexGuard<'_, HashMap<String, SequenceHandle>> {
        lock(&self.sequences)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
