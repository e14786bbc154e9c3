//! History of recent requests, for `mastbayctl explain`.

use derive_more::Display;
use mastbay_attempts::{Failure, Outcome};
use mastbay_types::{BackendName, CellId, RequestId, TenantName, Timestamp};
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};

/// An event in the history of a request.
#[derive(Debug, Clone, Display)]
pub enum RequestEvent {
    /// The request asks for its claim.
    #[display("claiming")]
    Claiming,
    /// The request waits for a grant.
    #[display("queued")]
    Queued,
    /// A slot of this back end was granted.
    #[display("granted {_0}")]
    Granted(BackendName),
    /// An attempt begins.
    #[display("sending")]
    Sending,
    /// The head of the answer arrived.
    #[display("answer begun")]
    AnswerBegun,
    /// An attempt, or the wait for a grant, failed.
    #[display("try failed: {_0}")]
    Failed(Failure),
    /// The stream broke and was resumed after this number of events.
    #[display("stream resumed after {_0} events")]
    Resumed(u64),
    /// The request ended with this outcome.
    #[display("{_0} ({})", _0.code())]
    Finished(Outcome),
}

#[derive(Debug)]
struct Entry {
    tenant: TenantName,
    cell: CellId,
    accepted: Timestamp,
    events: Vec<(Timestamp, RequestEvent)>,
}

/// The history of the last requests accepted by this gateway.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    order: VecDeque<RequestId>,
    entries: HashMap<RequestId, Entry>,
}

impl Journal {
    /// Creates a journal of the last `capacity` requests; 0 turns it off.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, order: VecDeque::new(), entries: HashMap::new() }
    }

    /// Adds a request and evicts the oldest ones beyond the capacity.
    pub fn begin(&mut self, id: RequestId, tenant: &TenantName, cell: &CellId, now: Timestamp) {
        if self.capacity == 0 {
            return;
        }
        while self.order.len() >= self.capacity {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.entries.remove(&oldest));
        }
        self.order.push_back(id);
        let (tenant, cell) = (tenant.clone(), cell.clone());
        let entry = Entry { tenant, cell, accepted: now, events: Vec::new() };
        self.entries.insert(id, entry);
    }

    /// Records an event. Does nothing if the request is not in the journal.
    pub fn record(&mut self, id: RequestId, now: Timestamp, event: RequestEvent) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.events.push((now, event));
        }
    }

    /// Returns the history of a request as JSON; `None` if it is not in the journal.
    pub fn explain(&self, id: RequestId) -> Option<Value> {
        let entry = self.entries.get(&id)?;
        let events: Vec<Value> = entry
            .events
            .iter()
            .map(|(at, event)| {
                let millis = at.since(entry.accepted).as_secs_f64() * 1e3;
                json!({ "after_ms": millis, "what": event.to_string() })
            })
            .collect();
        Some(json!({
            "request": id.to_string(),
            "tenant": entry.tenant,
            "cell": entry.cell.to_string(),
            "happenings": events,
        }))
    }
}
