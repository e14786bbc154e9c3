//! Load from concurrent callers that run until they are stopped.

use crate::call::{CallError, Caller, event_data};
use crate::check::expected_answer;
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Outcome of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// The complete and correct answer was received.
    Answered,
    /// The answer reports that the request did not run.
    NotRun,
    /// The answer reports that the request may have run.
    Unknown,
    /// The connection or the answer broke off.
    Broken,
    /// The answer does not match the request.
    Wrong,
}

/// Record of one call.
#[derive(Debug, Clone)]
pub struct Observed {
    /// Outcome that the caller saw.
    pub outcome: CallOutcome,
    /// Id of the request; empty if no answer was received.
    pub request: String,
    /// Code of an error answer or text of an error; empty on success.
    pub code: String,
    /// Tenant of the caller.
    pub tenant: String,
    /// Time from connecting to the end of the answer.
    pub took: Duration,
    /// Start of the call.
    pub began: Instant,
}

/// Callers and their requests.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Gateways; a caller tries the next one if the connection to one fails.
    pub gateways: Vec<SocketAddr>,
    /// Tenants with the number of callers of each.
    pub callers: Vec<(String, usize)>,
    /// Tokens of each chat request; `None` posts to `path` instead.
    pub tokens: Option<usize>,
    /// Path of POST requests.
    pub path: String,
    /// Pause of a caller between two calls.
    pub pause: Duration,
}

/// Running callers.
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
                let caller = CallerTask {
                    options: options.clone(),
                    tenant: tenant.clone(),
                    number: tasks.len() * 1_000 + number,
                    stop: stop.clone(),
                    done: done.clone(),
                };
                tasks.push(smol::spawn(caller.run()));
            }
        }
        Self { stop, done, tasks }
    }

    /// Returns the number of finished calls.
    pub fn done(&self) -> usize {
        self.done.load(Ordering::SeqCst)
    }

    /// Waits until every caller has finished its current call and returns the records of all calls.
    pub async fn stop(self) -> Vec<Observed> {
        self.stop.store(true, Ordering::SeqCst);
        let mut observed = Vec::new();
        for task in self.tasks {
            observed.extend(task.await);
        }
        observed
    }
}

struct CallerTask {
    options: LoadOptions,
    tenant: String,
    number: usize,
    stop: Arc<AtomicBool>,
    done: Arc<AtomicUsize>,
}

impl CallerTask {
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
            // Retries only failed connections at the next gateway, as a load balancer would.
            if matches!(result, Err(CallError::Connect(_))) {
                continue;
            }
            seen = Some(result);
            break;
        }
        let (outcome, request, code) = match seen {
            Some(Ok(seen)) => seen,
            Some(Err(error)) => (CallOutcome::Broken, String::new(), error.to_string()),
            None => (CallOutcome::NotRun, String::new(), "no gateway".to_owned()),
        };
        let (tenant, took) = (self.tenant.clone(), began.elapsed());
        Observed { outcome, request, code, tenant, took, began }
    }

    async fn chat(
        &self,
        caller: &Caller,
        call: usize,
        tokens: usize,
    ) -> Result<(CallOutcome, String, String), CallError> {
        let prompt = format!("caller {} call {call} of {}", self.number, self.tenant);
        let answer = caller.chat(&prompt, tokens, true).await?;
        let is_correct = event_data(&answer.body) == (expected_answer(&prompt, tokens), true);
        Ok(classify(&answer, is_correct))
    }

    async fn post(
        &self,
        caller: &Caller,
        call: usize,
    ) -> Result<(CallOutcome, String, String), CallError> {
        let body = format!("caller {} call {call}", self.number);
        let answer = caller.post(&self.options.path, body).await?;
        let answered_id = answer.json()["request"].as_str().unwrap_or_default().to_owned();
        let is_correct = answered_id == answer.header("mastbay-request-id")
            && answer.json()["tenant"] == *self.tenant;
        Ok(classify(&answer, is_correct))
    }
}

/// Returns the outcome, the request id and the error code of an answer.
fn classify(answer: &crate::call::Answer, is_correct: bool) -> (CallOutcome, String, String) {
    let outcome = match (answer.outcome(), is_correct) {
        ("answered", true) => CallOutcome::Answered,
        ("answered", false) => CallOutcome::Wrong,
        ("not-run", _) => CallOutcome::NotRun,
        ("unknown", _) => CallOutcome::Unknown,
        _ => CallOutcome::Broken,
    };
    (outcome, answer.header("mastbay-request-id").to_owned(), answer.code())
}
