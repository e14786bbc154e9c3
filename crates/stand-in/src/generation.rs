//! A model engine's sequences: slots, steps, and streams that outlive a broken connection for a while.

use smol::channel::{Receiver, Sender};
use smol::lock::Semaphore;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a sequence without a reader goes on.
const RESUME_GRACE: Duration = Duration::from_secs(2);
/// How long a finished sequence is kept for a resume.
const KEPT: Duration = Duration::from_secs(10);

/// A sequence under way.
#[derive(Debug)]
struct Sequence {
    tokens: Vec<String>,
    wanted: usize,
    readers: usize,
    unread_since: Instant,
    cancelled: bool,
    news: Sender<()>,
    newly: Receiver<()>,
}

/// A handle to a sequence.
#[derive(Debug, Clone)]
pub struct SequenceHandle(Arc<Mutex<Sequence>>);

impl SequenceHandle {
    fn new(wanted: usize) -> Self {
        let (news, newly) = smol::channel::bounded(1);
        Self(Arc::new(Mutex::new(Sequence {
            tokens: Vec::new(),
            wanted,
            readers: 0,
            unread_since: Instant::now(),
            cancelled: false,
            news,
            newly,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Sequence> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The token at `index`, `None` if the sequence ended before it.
    pub async fn token(&self, index: usize) -> Option<String> {
        loop {
            let newly = {
                let sequence = self.lock();
                if let Some(token) = sequence.tokens.get(index) {
                    return Some(token.clone());
                }
                if sequence.cancelled || index >= sequence.wanted {
                    return None;
                }
                sequence.newly.clone()
            };
            // Several readers may share the news: look again in any case after a while.
            let _ = mastbay_web::within(Duration::from_millis(20), newly.recv()).await;
        }
    }

    /// Whether all tokens wanted have come.
    pub fn is_whole(&self) -> bool {
        let sequence = self.lock();
        sequence.tokens.len() == sequence.wanted
    }

    /// Counts a reader in.
    pub fn attach(&self) {
        self.lock().readers += 1;
    }

    /// Counts a reader out.
    pub fn detach(&self) {
        let mut sequence = self.lock();
        sequence.readers -= 1;
        sequence.unread_since = Instant::now();
    }

    /// Ends the sequence early.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
    }

    /// Adds a token. `false` if the sequence is over.
    fn add(&self, token: String) -> bool {
        let mut sequence = self.lock();
        let abandoned = sequence.readers == 0 && sequence.unread_since.elapsed() >= RESUME_GRACE;
        if abandoned || sequence.cancelled {
            sequence.cancelled = true;
            return false;
        }
        sequence.tokens.push(token);
        // A full channel already holds the news.
        let _ = sequence.news.try_send(());
        sequence.tokens.len() < sequence.wanted
    }
}

/// The engine's state.
#[derive(Debug)]
pub struct Generations {
    slots: Semaphore,
    step: Duration,
    sequences: Mutex<HashMap<String, SequenceHandle>>,
    runs: Mutex<BTreeMap<String, u32>>,
}

impl Generations {
    /// An idle engine.
    pub fn new(slots: usize, step: Duration) -> Arc<Self> {
        let (sequences, runs) = (Mutex::default(), Mutex::default());
        Arc::new(Self { slots: Semaphore::new(slots), step, sequences, runs })
    }

    /// Starts a sequence whose tokens repeat `words`.
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
        smol::Timer::after(KEPT).await;
        self.lock_sequences().remove(&id);
    }

    /// A sequence that is still known.
    pub fn find(&self, id: &str) -> Option<SequenceHandle> {
        self.lock_sequences().get(id).cloned()
    }

    /// Times that each request was started.
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
