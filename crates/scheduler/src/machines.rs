//! Distribution of the platform's machine list: the watchers of each zone poll it and send it to
//! the other schedulers.

use crate::duty::SchedulerDuty;
use mastbay_machines::{MachineList, MachineMessage};
use mastbay_membership::Role;
use mastbay_peer::Message;
use std::sync::Arc;

/// Polls the machine list at `machine-list-interval` whenever this process is a watcher of its
/// zone.
pub async fn poll_machine_list(duty: Arc<SchedulerDuty>) {
    loop {
        if duty.node().is_watcher() {
            match duty.node().platform().machines().await {
                Ok(list) => handle_list(&duty, list),
                Err(error) => duty.node().note_failure(&error),
            }
        }
        smol::Timer::after(duty.settings().machine_list_interval).await;
    }
}

/// Applies a list from the platform or a peer. A newer one is relayed to the other schedulers.
pub fn handle_list(duty: &SchedulerDuty, list: MachineList) {
    if !duty.offer_machines(list.clone()) {
        return;
    }
    tracing::info!(event = "machine_list", revision = list.revision);
    for peer in duty.node().live(Role::Scheduler) {
        if peer != *duty.node().me() {
            duty.node().send(&peer, Message::Machines(MachineMessage::List(list.clone())));
        }
    }
}
