//! Handlers of messages and of changes of membership and configuration.

use super::{GatewayDuty, deliver_claim_answer, rendezvous_order};
use crate::access::AccessTable;
use crate::admission::Admission;
use mastbay_claims::ClaimMessage;
use mastbay_configuration::FleetConfiguration;
use mastbay_grants::Grants;
use mastbay_membership::Role;
use mastbay_node::Duty;
use mastbay_peer::Message;
use mastbay_types::{Cost, ProcessId};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

impl GatewayDuty {
    fn handle_grants(&self, from: &ProcessId, message: Grants) {
        let now = self.node.now();
        let mut state = self.lock();
        let Some(demand) = state.demands.get_mut(&message.cell) else {
            return;
        };
        let cell = message.cell.clone();
        let assignments = demand.handle_grants(now, from, message);
        for assignment in assignments {
            let id = assignment.request;
            let waiter = state.waiters.remove(&id);
            let delivered = waiter.is_some_and(|waiter| waiter.sender.try_send(assignment).is_ok());
            if !delivered && let Some(demand) = state.demands.get_mut(&cell) {
                demand.finish(id, Cost::ZERO, false);
            }
        }
        drop(state);
        self.flush();
    }
}

impl Duty for GatewayDuty {
    fn handle(&self, from: &ProcessId, message: Message) {
        match message {
            Message::Grants(grants) => self.handle_grants(from, grants),
            Message::Claim(ClaimMessage::Answer(answer)) => {
                let mut state = self.lock();
                if let Some(answer) = state.claims.handle_answer(answer) {
                    deliver_claim_answer(&mut state, answer);
                }
            }
            // Meant for schedulers, or handled by the node itself.
            Message::Report(_)
            | Message::Claim(ClaimMessage::Request(_))
            | Message::Machines(_)
            | Message::Membership(_)
            | Message::Spread(_) => {}
        }
    }

    fn members_changed(&self) {
        let schedulers = self.node.live(Role::Scheduler);
        let mut state = self.lock();
        for (cell, demand) in &mut state.demands {
            demand.set_schedulers(rendezvous_order(cell, &schedulers));
        }
        state.claims.set_keepers(schedulers.clone());
        state.schedulers = schedulers;
        drop(state);
        self.flush();
    }

    fn configuration_changed(&self, configuration: &Arc<FleetConfiguration>) {
        let access = Arc::new(AccessTable::new(configuration));
        let admission = Admission { configuration: configuration.clone(), access };
        let mut state = self.lock();
        state.admission = Some(admission);
        state.waiters.retain(|_, waiter| configuration.services.contains_key(&waiter.cell.service));
        drop(state);
        let addresses: HashSet<SocketAddr> =
            configuration.backends.values().map(|backend| backend.address).collect();
        self.connections.retain(|address| addresses.contains(address));
    }
}
