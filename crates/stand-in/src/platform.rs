//! The simulated platform: `GET`/`PUT /objects/KEY`, `GET`/`PUT /machines`, and for tests
//! `PUT /faults` and `GET /counts`.

use crate::reply::{status, value};
use crate::store::{Faults, Limits, Precondition, Store};
use hyper::body::Incoming;
use hyper::header::{ETAG, HeaderMap, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode, Uri};
use mastbay_machines::{Machine, MachineList};
use mastbay_web::{Body, Server, full, read_limited};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Largest value in bytes, as on the real platform.
const MAX_VALUE: usize = 1 << 20;
/// Interval in which a watch polls for a newer version.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a lost answer is withheld.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(30);

struct Platform {
    store: Mutex<Store>,
    machines: Mutex<Machines>,
}

/// History of the machine list, which callers see with a delay of `lag`.
struct Machines {
    lag: Duration,
    changes: Vec<(Instant, MachineList)>,
}

impl Machines {
    fn visible(&self) -> MachineList {
        let old_enough = |entry: &&(Instant, MachineList)| entry.0.elapsed() >= self.lag;
        let latest = self.changes.iter().rev().find(old_enough);
        latest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn set(&mut self, machines: Vec<Machine>) {
        let revision = self.changes.len() as u64 + 1;
        self.changes.push((Instant::now(), MachineList { revision, machines }));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves requests until the process ends.
pub async fn serve(server: Server, limits: Limits, lag: Duration) {
    let platform = Arc::new(Platform {
        store: Mutex::new(Store::new(limits)),
        machines: Mutex::new(Machines { lag, changes: Vec::new() }),
    });
    server
        .run(move |request, _| {
            let platform = platform.clone();
            async move { platform.answer(request).await }
        })
        .await;
}

impl Platform {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let Ok(body) = read_limited(body, MAX_VALUE).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match (&head.method, head.uri.path()) {
            (&Method::PUT, "/faults") => match serde_json::from_slice::<Faults>(&body) {
                Ok(faults) => {
                    lock(&self.store).faults = faults;
                    status(StatusCode::NO_CONTENT)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            (&Method::PUT, "/machines") => match serde_json::from_slice(&body) {
                Ok(machines) => {
                    lock(&self.machines).set(machines);
                    status(StatusCode::NO_CONTENT)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            (&Method::GET, "/counts") => value(&lock(&self.store).counts),
            (&Method::GET, "/machines") => match self.admit(true).await {
                Ok(()) => value(&lock(&self.machines).visible()),
                Err(rejection) => rejection,
            },
            (&Method::GET, path) => match path.strip_prefix("/objects/") {
                Some(key) => self.read(key, &head.uri).await,
                None => status(StatusCode::NOT_FOUND),
            },
            (&Method::PUT, path) => match path.strip_prefix("/objects/") {
                Some(key) => self.write(key, &head.headers, body).await,
                None => status(StatusCode::NOT_FOUND),
            },
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    /// Applies rate limits and faults to a call; the error is the answer to the caller.
    async fn admit(&self, read: bool) -> Result<(), Response<Body>> {
        let (admitted, faults) = {
            let mut store = lock(&self.store);
            let admitted = if read { store.admit_read() } else { store.admit_write() };
            (admitted, store.faults)
        };
        if faults.delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if !admitted {
            return Err(status(StatusCode::TOO_MANY_REQUESTS));
        }
        Ok(())
    }

    async fn read(&self, key: &str, uri: &Uri) -> Response<Body> {
        if let Err(rejection) = self.admit(true).await {
            return rejection;
        }
        let after = query_number(uri, "after");
        let wait = Duration::from_millis(query_number(uri, "wait-ms").unwrap_or(0));
        let started = Instant::now();
        loop {
            let (found, down) = {
                let store = lock(&self.store);
                (store.read(key), store.faults.down)
            };
            if down {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let is_newer = |version| after.is_none_or(|after| version > after);
            match found {
                Some((version, bytes)) if is_newer(version) => {
                    return with_version(version, Response::new(full(bytes)));
                }
                None if after.is_none() => return status(StatusCode::NOT_FOUND),
                _ if started.elapsed() >= wait => return status(StatusCode::NOT_MODIFIED),
                _ => drop(smol::Timer::after(WATCH_INTERVAL).await),
            }
        }
    }

    async fn write(&self, key: &str, headers: &HeaderMap, body: bytes::Bytes) -> Response<Body> {
        if let Err(rejection) = self.admit(false).await {
            return rejection;
        }
        let Some(precondition) = precondition(headers) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let (written, lost) = {
            let mut store = lock(&self.store);
            (store.write(key, body, precondition), store.loses_answer())
        };
        if lost {
            smol::Timer::after(LOST_ANSWER_DELAY).await;
        }
        match written {
            Some(version) => with_version(version, status(StatusCode::OK)),
            None => status(StatusCode::PRECONDITION_FAILED),
        }
    }
}

fn precondition(headers: &HeaderMap) -> Option<Precondition> {
    if headers.contains_key(IF_NONE_MATCH) {
        return Some(Precondition::Absent);
    }
    match headers.get(IF_MATCH) {
        None => Some(Precondition::None),
        Some(version) => {
            version.to_str().ok()?.trim_matches('"').parse().ok().map(Precondition::Version)
        }
    }
}

fn with_version(version: u64, mut response: Response<Body>) -> Response<Body> {
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    response
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}
