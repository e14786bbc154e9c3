//! Callers that go on calling until they are told to stop.

use crate::call::{CallFailed, Caller, event_data};
use crate::check::expected_words;
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What a caller was told, or saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// The whole answer to its own request.
    Answered,
    /// That its request did not run.
    NotRun,
    /// That its request may have run.
    Unknown,
    /// Nothing: the connection broke, or the answer did.
    Broken,
    /// An answer that is not the one to its request.
    Wrong,
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Observed {
    /// What it was told.
    pub told: Told,
    /// The request's id, if the caller learned it.
    pub request: String,
    /// The code of an error.
    pub code: String,
    /// The tenant that called.
    pub tenant: String,
    /// Time from connecting to the end of the answer.
    pub took: Duration,
    /// When it began.
    pub began: Instant,
}

/// What callers do.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Gateways; a caller goes to the next one if one does not take its connection.
    pub gateways: Vec<SocketAddr>,
    /// Tenants with the number of callers of each.
    pub callers: Vec<(String, usize)>,
    /// Tokens of each chat request; `None` posts to `path` instead.
    pub tokens: Option<usize>,
    /// Path for posts.
    pub path: String,
    /// Pause of a caller between two calls.
    pub pause: Duration,
}

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
    tasks: Vec<Task<Vec<Observed>>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(options: &LoadOptions) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let done = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        for (tenant, count) in &options.callers {
            for number in 0..*count {
                let one = OneCaller {
                    options: options.clone(),
                    tenant: tenant.clone(),
                    number: tasks.len() * 1_000 + number,
                    stop: stop.clone(),
                    done: done.clone(),
                };
                tasks.push(smol::spawn(one.run()));
            }
        }
        Self { stop, done, tasks }
    }

    /// Calls that have ended so far.
    pub fn done(&self) -> usize {
        self.done.load(Ordering::SeqCst)
    }

    /// Lets every caller end its call and returns all that they saw.
    pub async fn stop(self) -> Vec<Observed> {
        self.stop.store(true, Ordering::SeqCst);
        let mut observed = Vec::new();
        for task in self.tasks {
            observed.extend(task.await);
        }
        observed
    }
}

struct OneCaller {
    options: LoadOptions,
    tenant: String,
    number: usize,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
}

impl OneCaller {
    async fn run(self) -> Vec<Observed> {
        let mut observed = Vec::new();
        let mut call = 0;
        while !self.stop.load(Ordering::SeqCst) {
            observed.push(self.call_once(call).await);
            self.done.fetch_add(1, Ordering::SeqCst);
            call += 1;
            smol::Timer::after(self.options.pause).await;
        }
        observed
    }

    async fn call_once(&self, call: usize) -> Observed {
        let began = Instant::now();
        let gateways = &self.options.gateways;
        let mut seen = None;
        for attempt in 0..gateways.len() {
            let gateway = gateways[(self.number + call + attempt) % gateways.len()];
            let caller = Caller::new(gateway, &self.tenant);
            let result = match self.options.tokens {
                Some(tokens) => self.chat(&caller, call, tokens).await,
                None => self.post(&caller, call).await,
            };
            // Only a caller that was not let in goes to the next gateway, as a balancer would.
            if matches!(result, Err(CallFailed::Connect(_))) {
                continue;
            }
            seen = Some(result);
            break;
        }
        let (told, request, code) = match seen {
            Some(Ok(seen)) => seen,
            Some(Err(error)) => (Told::Broken, String::new(), error.to_string()),
            None => (Told::NotRun, String::new(), "no gateway".to_owned()),
        };
        let (tenant, took) = (self.tenant.clone(), began.elapsed());
        Observed { told, request, code, tenant, took, began }
    }

    async fn chat(
        &self,
        caller: &Caller,
        call: usize,
        tokens: usize,
    ) -> Result<(Told, String, String), CallFailed> {
        let prompt = format!("caller {} call {call} of {}", self.number, self.tenant);
        let answer = caller.chat(&prompt, tokens, true).await?;
        let right = event_data(&answer.body) == (expected_words(&prompt, tokens), true);
        Ok(told(&answer, right))
    }

    async fn post(
        &self,
        caller: &Caller,
        call: usize,
    ) -> Result<(Told, String, String), CallFailed> {
        let body = format!("caller {} call {call}", self.number);
        let answer = caller.post(&self.options.path, body).await?;
        let told_id = answer.json()["request"].as_str().unwrap_or_default().to_owned();
        let right = told_id == answer.header("mastbay-request-id")
            && answer.json()["tenant"] == *self.tenant;
        Ok(told(&answer, right))
    }
}

fn told(answer: &crate::call::Answer, right: bool) -> (Told, String, String) {
    let told = match (answer.outcome(), right) {
        ("answered", true) => Told::Answered,
        ("answered", false) => Told::Wrong,
        ("not-run", _) => Told::NotRun,
        ("unknown", _) => Told::Unknown,
        _ => Told::Broken,
    };
    (told, answer.header("mastbay-request-id").to_owned(), answer.code())
}
