//! The cells that gateways bring to this scheduler.

use crate::metrics::{CellLabel, SchedulerMetrics};
use mastbay_configuration::FleetConfiguration;
use mastbay_grants::{Cell, CellConfig, Grants, Report};
use mastbay_machines::MachineBoard;
use mastbay_types::{BackendName, CellId, Incarnation, ProcessId, TenantName, Timestamp};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a cell without gateways is kept, with its tenants' levels.
const IDLE_LIMIT: Duration = Duration::from_secs(120);

struct Held {
    cell: Cell,
    last_report: Timestamp,
}

/// All cells held here. Any cell that a gateway reports on is taken up.
pub struct Cells {
    me: ProcessId,
    incarnation: Incarnation,
    configuration: Arc<FleetConfiguration>,
    held: BTreeMap<CellId, Held>,
}

impl Cells {
    /// No cells of the scheduler `me`.
    pub fn new(me: ProcessId, incarnation: Incarnation) -> Self {
        Self { me, incarnation, configuration: Arc::default(), held: BTreeMap::new() }
    }

    /// Puts a configuration in force in every cell.
    pub fn configure(&mut self, configuration: &Arc<FleetConfiguration>, board: &MachineBoard) {
        self.configuration = configuration.clone();
        self.held.retain(|id, _| configuration.services.contains_key(&id.service));
        for held in self.held.values_mut() {
            declare(&mut held.cell, configuration, board);
        }
    }

    /// Marks back ends on leaving machines.
    pub fn mark_leaving(&mut self, board: &MachineBoard) {
        for held in self.held.values_mut() {
            mark_leaving(&mut held.cell, &self.configuration, board);
        }
    }

    /// Takes a report and returns what to send. `gateways` gives all live ones, for a cell that is
    /// taken over.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        report: Report,
        board: &MachineBoard,
        gateways: impl FnOnce() -> Vec<ProcessId>,
    ) -> Vec<(ProcessId, Grants)> {
        let id = report.cell.clone();
        if !self.configuration.services.contains_key(&id.service) {
            return Vec::new();
        }
        let held = self.held.entry(id.clone()).or_insert_with(|| {
            tracing::info!(event = "cell_taken_up", cell = %id);
            let mut cell = Cell::new(id, CellConfig::default(), self.me.clone(), self.incarnation);
            declare(&mut cell, &self.configuration, board);
            Held { cell, last_report: now }
        });
        held.last_report = now;
        held.cell.handle_report(now, from, report);
        let solicitation = held.cell.take_solicitation();
        let mut outgoing = held.cell.poll_grants(now);
        if let Some(message) = solicitation {
            outgoing.extend(gateways().into_iter().map(|gateway| (gateway, message.clone())));
        }
        outgoing
    }

    /// Lets time pass in every cell and returns what to send.
    pub fn handle_timeout(&mut self, now: Timestamp) -> Vec<(ProcessId, Grants)> {
        self.held.retain(|_, held| now.since(held.last_report) < IDLE_LIMIT);
        let mut outgoing = Vec::new();
        for held in self.held.values_mut() {
            held.cell.handle_timeout(now);
            outgoing.extend(held.cell.poll_grants(now));
        }
        outgoing
    }

    /// When [`Cells::handle_timeout`] should be called next.
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        let timeouts = self.held.values().map(|held| held.cell.next_timeout(now));
        timeouts.min().unwrap_or(Timestamp::NEVER)
    }

    /// Sets the gauges.
    pub fn publish(&self, metrics: &SchedulerMetrics) {
        for (id, held) in &self.held {
            let (label, status) = (CellLabel { cell: id.to_string() }, held.cell.status());
            metrics.slots.get_or_create(&label).set(i64::from(status.slots));
            metrics.slots_in_use.get_or_create(&label).set(i64::from(status.in_use));
            let backlogged = i64::try_from(status.backlogged.len()).unwrap_or(i64::MAX);
            metrics.backlogged_tenants.get_or_create(&label).set(backlogged);
        }
    }

    /// All cells, for operators.
    pub fn status(&self) -> Value {
        self.held.iter().map(|(id, held)| cell_status(id, &held.cell)).collect()
    }

    /// Why a tenant waits: its place in each cell.
    pub fn explain(&self, tenant: &TenantName) -> Option<Value> {
        let accounts: Vec<Value> = self
            .held
            .iter()
            .filter_map(|(id, held)| explain_in_cell(id, &held.cell, tenant))
            .collect();
        if accounts.is_empty() {
            None
        } else {
            Some(json!({ "tenant": tenant, "cells": accounts }))
        }
    }
}

fn declare(cell: &mut Cell, configuration: &FleetConfiguration, board: &MachineBoard) {
    let service = cell.id().service.clone();
    let backends: Vec<(BackendName, u32)> = configuration
        .backends_of(&service)
        .map(|(name, backend)| (name.clone(), backend.slots))
        .collect();
    cell.set_backends(&backends);
    if let Some(declared) = configuration.services.get(&service) {
        cell.set_ahead(declared.ahead);
    }
    for (name, tenant) in &configuration.tenants {
        cell.set_weight(name, tenant.weight);
    }
    mark_leaving(cell, configuration, board);
}

fn mark_leaving(cell: &mut Cell, configuration: &FleetConfiguration, board: &MachineBoard) {
    let service = cell.id().service.clone();
    for (name, backend) in configuration.backends_of(&service) {
        cell.set_leaving(name, backend.leaving || board.is_leaving(backend.address));
    }
}

fn cell_status(id: &CellId, cell: &Cell) -> Value {
    let status = cell.status();
    let backlogged: Vec<Value> = status
        .backlogged
        .iter()
        .map(|tenant| {
            json!({
                "tenant": tenant.tenant,
                "waiting": tenant.waiting,
                "level": tenant.level,
                "estimate": tenant.estimate,
            })
        })
        .collect();
    json!({
        "cell": id.to_string(),
        "slots": status.slots,
        "in_use": status.in_use,
        "gateways": status.gateways,
        "backlogged": backlogged,
    })
}

fn explain_in_cell(id: &CellId, cell: &Cell, tenant: &TenantName) -> Option<Value> {
    let status = cell.status();
    let place = status.backlogged.iter().position(|entry| entry.tenant == *tenant)?;
    let entry = &status.backlogged[place];
    let reason = match (status.in_use >= status.slots, place) {
        (true, 0) => "next in order; every slot is in use",
        (true, _) => "tenants with less service over weight come first; every slot is in use",
        (false, _) => "a slot is free and is being granted",
    };
    Some(json!({
        "cell": id.to_string(),
        "place": place + 1,
        "backlogged_tenants": status.backlogged.len(),
        "waiting": entry.waiting,
        "level": entry.level,
        "lowest_level": status.backlogged[0].level,
        "slots": status.slots,
        "in_use": status.in_use,
        "reason": reason,
    }))
}
