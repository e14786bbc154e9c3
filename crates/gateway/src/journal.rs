//! What happened to recent requests, for `mastbayctl explain`.

use derive_more::Display;
use mastbay_attempts::{Failure, Outcome};
use mastbay_types::{BackendName, CellId, RequestId, TenantName, Timestamp};
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};

/// Something that happened to a request.
#[derive(Debug, Clone, Display)]
pub enum Happening {
    /// Its claim is being taken.
    #[display("claiming")]
    Claiming,
    /// It waits for a grant.
    #[display("queued")]
    Queued,
    /// It was granted a back end.
    #[display("granted {_0}")]
    Granted(BackendName),
    /// It is about to be sent.
    #[display("sending")]
    Sending,
    /// Its answer has begun.
    #[display("answer begun")]
    AnswerBegun,
    /// A try failed.
    #[display("try failed: {_0}")]
    Failed(Failure),
    /// Its stream broke and is gone on with.
    #[display("stream resumed after {_0} events")]
    Resumed(u64),
    /// It has its outcome.
    #[display("{_0} ({})", _0.code())]
    Over(Outcome),
}

#[derive(Debug)]
struct Entry {
    tenant: TenantName,
    cell: CellId,
    accepted: Timestamp,
    happenings: Vec<(Timestamp, Happening)>,
}

/// The last requests of this gateway.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    order: VecDeque<RequestId>,
    entries: HashMap<RequestId, Entry>,
}

impl Journal {
    /// A journal of the last `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, order: VecDeque::new(), entries: HashMap::new() }
    }

    /// Begins the account of a request.
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
        let entry = Entry { tenant, cell, accepted: now, happenings: Vec::new() };
        self.entries.insert(id, entry);
    }

    /// Adds to the account of a request.
    pub fn note(&mut self, id: RequestId, now: Timestamp, happening: Happening) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.happenings.push((now, happening));
        }
    }

    /// The account of a request.
    pub fn explain(&self, id: RequestId) -> Option<Value> {
        let entry = self.entries.get(&id)?;
        let happenings: Vec<Value> = entry
            .happenings
            .iter()
            .map(|(at, happening)| {
                let millis = at.since(entry.accepted).as_secs_f64() * 1e3;
                json!({ "after_ms": millis, "what": happening.to_string() })
            })
            .collect();
        Some(json!({
            "request": id.to_string(),
            "tenant": entry.tenant,
            "cell": entry.cell.to_string(),
            "happenings": happenings,
        }))
    }
}
