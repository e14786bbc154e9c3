//! A few schedulers of each zone read the platform's machine list and share it with the others.

use crate::duty::SchedulerDuty;
use mastbay_machines::{MachineList, MachineMessage};
use mastbay_membership::Role;
use mastbay_peer::Message;
use std::sync::Arc;

/// Reads the list for ever, while this process is among its zone's watchers; others hear of it.
pub async fn follow_machine_list(duty: Arc<SchedulerDuty>) {
    loop {
        if duty.node().is_watcher() {
            match duty.node().platform().machines().await {
                Ok(list) => take_list(&duty, list),
                Err(error) => duty.node().note_failure(&error),
            }
        }
        smol::Timer::after(duty.settings().machine_list_interval).await;
    }
}

/// Takes a list from the platform or a peer; a newer one is passed on.
pub fn take_list(duty: &SchedulerDuty, list: MachineList) {
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
