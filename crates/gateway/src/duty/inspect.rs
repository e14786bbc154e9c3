//! Readiness, status and request history for the admin interface.

use super::GatewayDuty;
use mastbay_grants::Demand;
use mastbay_telemetry::{Inspect, NotReady};
use mastbay_types::CellId;
use serde_json::{Value, json};

impl Inspect for GatewayDuty {
    fn ready(&self) -> Result<(), NotReady> {
        self.node.ready()
    }

    fn status(&self) -> Value {
        let mut status = self.node.status();
        let state = self.lock();
        let cells: Vec<Value> = state.demands.iter().map(cell_status).collect();
        status["demand"] = Value::from(cells);
        status
    }

    fn explain(&self, subject: &str) -> Option<Value> {
        self.lock().journal.explain(subject.parse().ok()?)
    }
}

fn cell_status((cell, demand): (&CellId, &Demand)) -> Value {
    let backlog: Vec<Value> = demand
        .backlog()
        .map(|(tenant, waiting)| json!({ "tenant": tenant, "waiting": waiting }))
        .collect();
    json!({
        "cell": cell.to_string(),
        "scheduler": demand.scheduler(),
        "waiting": demand.waiting_in_total(),
        "running": demand.running_in_total(),
        "backlog": backlog,
    })
}
