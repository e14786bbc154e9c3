//! The cells that this scheduler grants slots for.

use crate::metrics::{CellLabel, SchedulerMetrics};
use mastbay_configuration::FleetConfiguration;
use mastbay_grants::{Cell, CellConfig, Grants, Report};
use mastbay_machines::MachineListCache;
use mastbay_types::{BackendName, CellId, Incarnation, ProcessId, TenantName, Timestamp};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time without reports after which a cell is dropped, with its tenants' service levels.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

struct CellEntry {
    cell: Cell,
    last_report: Timestamp,
}

/// The cells of this scheduler. A cell is added by the first gateway report on it.
pub struct Cells {
    me: ProcessId,
    incarnation: Incarnation,
    configuration: Arc<FleetConfiguration>,
    cells: BTreeMap<CellId, CellEntry>,
}

impl Cells {
    /// Creates an empty set of cells for the scheduler `me`.
    pub fn new(me: ProcessId, incarnation: Incarnation) -> Self {
        Self { me, incarnation, configuration: Arc::default(), cells: BTreeMap::new() }
    }

    /// Applies a configuration to every cell and removes the cells of services it no longer has.
    pub fn configure(
        &mut self,
        configuration: &Arc<FleetConfiguration>,
        machine_list: &MachineListCache,
    ) {
        self.configuration = configuration.clone();
        self.cells.retain(|id, _| configuration.services.contains_key(&id.service));
        for entry in self.cells.values_mut() {
            apply_configuration(&mut entry.cell, configuration, machine_list);
        }
    }

    /// Updates which back ends are leaving, by their configuration or their machine.
    pub fn mark_leaving(&mut self, machine_list: &MachineListCache) {
        for entry in self.cells.values_mut() {
            mark_leaving(&mut entry.cell, &self.configuration, machine_list);
        }
    }

    /// Processes a gateway's report and returns the messages to send. `gateways` lists the live
    /// gateways; it is called only when the cell asks all of them for a report.
    pub fn handle_report(
        &mut self,
        now: Timestamp,
        from: &ProcessId,
        report: Report,
        machine_list: &MachineListCache,
        gateways: impl FnOnce() -> Vec<ProcessId>,
    ) -> Vec<(ProcessId, Grants)> {
        let id = report.cell.clone();
        if !self.configuration.services.contains_key(&id.service) {
            return Vec::new();
        }
        let entry = self.cells.entry(id.clone()).or_insert_with(|| {
            tracing::info!(event = "cell_taken_up", cell = %id);
            let mut cell = Cell::new(id, CellConfig::default(), self.me.clone(), self.incarnation);
            apply_configuration(&mut cell, &self.configuration, machine_list);
            CellEntry { cell, last_report: now }
        });
        entry.last_report = now;
        entry.cell.handle_report(now, from, report);
        let solicitation = entry.cell.take_solicitation();
        let mut outgoing = entry.cell.poll_grants(now);
        if let Some(message) = solicitation {
            outgoing.extend(gateways().into_iter().map(|gateway| (gateway, message.clone())));
        }
        outgoing
    }

    /// Runs the timers of every cell, drops idle cells and returns the messages to send.
    pub fn handle_timeout(&mut self, now: Timestamp) -> Vec<(ProcessId, Grants)> {
        self.cells.retain(|_, entry| now.since(entry.last_report) < IDLE_TIMEOUT);
        let mut outgoing = Vec::new();
        for entry in self.cells.values_mut() {
            entry.cell.handle_timeout(now);
            outgoing.extend(entry.cell.poll_grants(now));
        }
        outgoing
    }

    /// Returns when [`Cells::handle_timeout`] is due next, [`Timestamp::NEVER`] without cells.
    pub fn next_timeout(&self, now: Timestamp) -> Timestamp {
        let timeouts = self.cells.values().map(|entry| entry.cell.next_timeout(now));
        timeouts.min().unwrap_or(Timestamp::NEVER)
    }

    /// Updates the gauges of every cell.
    pub fn publish(&self, metrics: &SchedulerMetrics) {
        for (id, entry) in &self.cells {
            let (label, status) = (CellLabel { cell: id.to_string() }, entry.cell.status());
            metrics.slots.get_or_create(&label).set(i64::from(status.slots));
            metrics.slots_in_use.get_or_create(&label).set(i64::from(status.in_use));
            let backlogged = i64::try_from(status.backlogged.len()).unwrap_or(i64::MAX);
            metrics.backlogged_tenants.get_or_create(&label).set(backlogged);
        }
    }

    /// Returns the state of every cell for the admin interface.
    pub fn status(&self) -> Value {
        self.cells.iter().map(|(id, entry)| cell_status(id, &entry.cell)).collect()
    }

    /// Returns a tenant's position in the order of each cell and why it waits; `None` if it has no
    /// waiting requests.
    pub fn explain(&self, tenant: &TenantName) -> Option<Value> {
        let explanations: Vec<Value> = self
            .cells
            .iter()
            .filter_map(|(id, entry)| explain_in_cell(id, &entry.cell, tenant))
            .collect();
        if explanations.is_empty() {
            None
        } else {
            Some(json!({ "tenant": tenant, "cells": explanations }))
        }
    }
}

fn apply_configuration(
    cell: &mut Cell,
    configuration: &FleetConfiguration,
    machine_list: &MachineListCache,
) {
    let service = cell.id().service.clone();
    let backends: Vec<(BackendName, u32)> = configuration
        .backends_of(&service)
        .map(|(name, backend)| (name.clone(), backend.slots))
        .collect();
    cell.set_backends(&backends);
    if let Some(service_config) = configuration.services.get(&service) {
        cell.set_ahead(service_config.ahead);
    }
    for (name, tenant) in &configuration.tenants {
        cell.set_weight(name, tenant.weight);
    }
    mark_leaving(cell, configuration, machine_list);
}

fn mark_leaving(
    cell: &mut Cell,
    configuration: &FleetConfiguration,
    machine_list: &MachineListCache,
) {
    let service = cell.id().service.clone();
    for (name, backend) in configuration.backends_of(&service) {
        cell.set_leaving(name, backend.leaving || machine_list.is_leaving(backend.address));
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
    let position = status.backlogged.iter().position(|entry| entry.tenant == *tenant)?;
    let entry = &status.backlogged[position];
    let reason = match (status.in_use >= status.slots, position) {
        (true, 0) => "next in order; every slot is in use",
        (true, _) => "tenants with less service over weight come first; every slot is in use",
        (false, _) => "a slot is free and is being granted",
    };
    Some(json!({
        "cell": id.to_string(),
        "place": position + 1,
        "backlogged_tenants": status.backlogged.len(),
        "waiting": entry.waiting,
        "level": entry.level,
        "lowest_level": status.backlogged[0].level,
        "slots": status.slots,
        "in_use": status.in_use,
        "reason": reason,
    }))
}
