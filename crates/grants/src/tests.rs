//! Tests of a scheduler and its gateways.

use crate::{Cell, CellConfig, Demand, DemandConfig, Grants, Report};
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, ServiceName, TenantName,
    Timestamp,
};
use std::time::Duration;

fn cell_id() -> CellId {
    CellId { service: ServiceName::from("answers"), index: 0 }
}

fn request(number: u32) -> RequestId {
    format!("{number:032x}").parse().expect("a request id")
}

/// One cell at a scheduler and its gateways, which exchange messages without a fixture.
struct Fixture {
    now: Timestamp,
    cell: Cell,
    gateways: Vec<(ProcessId, Demand)>,
    scheduler: ProcessId,
}

impl Fixture {
    fn new(gateways: usize, slots: u32) -> Self {
        let scheduler = ProcessId::from("scheduler");
        let gateways = (0..gateways)
            .map(|index| {
                let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
                demand.set_schedulers(vec![scheduler.clone()]);
                (ProcessId::from(&*format!("gateway-{index}")), demand)
            })
            .collect();
        let mut fixture =
            Self { now: Timestamp::ZERO, cell: new_cell(1, slots), gateways, scheduler };
        fixture.cell.handle_timeout(fixture.now);
        fixture
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.cell.handle_timeout(self.now);
    }

    fn reports(&mut self) -> Vec<(ProcessId, Report)> {
        let now = self.now;
        self.gateways
            .iter_mut()
            .filter_map(|(name, demand)| {
                demand.poll_report(now).map(|(_, report)| (name.clone(), report))
            })
            .collect()
    }

    fn deliver_reports(&mut self, reports: Vec<(ProcessId, Report)>) -> Vec<(ProcessId, Grants)> {
        for (from, report) in reports {
            self.cell.handle_report(self.now, &from, report);
        }
        self.cell.poll_grants(self.now)
    }

    fn deliver_grants(&mut self, grants: Vec<(ProcessId, Grants)>) -> usize {
        let (now, scheduler) = (self.now, self.scheduler.clone());
        let mut assigned = 0;
        for (to, message) in grants {
            let (_, demand) =
                self.gateways.iter_mut().find(|(name, _)| *name == to).expect("known");
            assigned += demand.handle_grants(now, &scheduler, message).len();
        }
        assigned
    }

    /// Exchanges messages for a number of rounds. Returns the number of assigned requests.
    fn exchange(&mut self, rounds: usize) -> usize {
        let mut assigned = 0;
        for _ in 0..rounds {
            self.advance(Duration::from_millis(100));
            let reports = self.reports();
            let grants = self.deliver_reports(reports);
            assigned += self.deliver_grants(grants);
        }
        assigned
    }
}

fn new_cell(incarnation: u64, slots: u32) -> Cell {
    let config = CellConfig::default();
    let mut cell =
        Cell::new(cell_id(), config, ProcessId::from("scheduler"), Incarnation(incarnation));
    cell.set_backends(&[(BackendName::from("engine"), slots)]);
    cell
}

#[test]
fn waiting_requests_are_assigned_up_to_the_slots() {
    let mut fixture = Fixture::new(2, 3);
    let tenant = TenantName::from("office");
    for number in 0..4 {
        fixture.gateways[(number % 2) as usize].1.enqueue(&tenant, request(number));
    }
    assert_eq!(fixture.exchange(5), 3);
    fixture.gateways[0].1.finish(request(0), Cost(5), true);
    assert_eq!(fixture.exchange(5), 1);
}

#[test]
fn the_slot_of_a_lost_grant_is_released() {
    let mut fixture = Fixture::new(1, 1);
    let tenant = TenantName::from("office");
    fixture.gateways[0].1.enqueue(&tenant, request(0));
    fixture.advance(Duration::from_millis(100));
    let reports = fixture.reports();
    fixture.deliver_reports(reports);
    // The cell opens after the settle time.
    fixture.advance(Duration::from_millis(100));
    let lost = fixture.deliver_reports(Vec::new());
    assert_eq!(lost[0].1.grants.len(), 1);
    assert_eq!(fixture.exchange(10), 1);
    assert_eq!(fixture.cell.status().in_use, 1);
}

#[test]
fn a_repeated_report_changes_nothing() {
    let mut fixture = Fixture::new(1, 2);
    let tenant = TenantName::from("office");
    fixture.gateways[0].1.enqueue(&tenant, request(0));
    fixture.exchange(3);
    fixture.gateways[0].1.progress(request(0), Cost(500));
    fixture.advance(Duration::from_millis(100));
    let reports = fixture.reports();
    fixture.deliver_reports(reports.clone());
    let before = fixture.cell.status();
    fixture.deliver_reports(reports);
    assert_eq!(fixture.cell.status(), before);
}

#[test]
fn a_scheduler_that_lost_its_state_requests_full_reports_and_grants_no_slot_twice() {
    let mut fixture = Fixture::new(2, 2);
    let tenant = TenantName::from("office");
    for number in 0..6 {
        fixture.gateways[(number % 2) as usize].1.enqueue(&tenant, request(number));
    }
    assert_eq!(fixture.exchange(5), 2);
    fixture.cell =
        Cell::new(cell_id(), CellConfig::default(), ProcessId::from("scheduler"), Incarnation(2));
    fixture.cell.set_backends(&[(BackendName::from("engine"), 2)]);
    assert_eq!(fixture.exchange(10), 0);
    assert_eq!(fixture.cell.status().in_use, 2);
    assert_eq!(fixture.cell.status().backlogged[0].waiting, 4);
}

#[test]
fn a_gateway_switches_from_a_silent_scheduler_to_the_next() {
    let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
    let (first, second) = (ProcessId::from("first"), ProcessId::from("second"));
    demand.set_schedulers(vec![first.clone(), second.clone()]);
    demand.enqueue(&TenantName::from("office"), request(0));
    let mut now = Timestamp::from_millis(1_000);
    let mut reports = Vec::new();
    while now < Timestamp::from_millis(2_000) {
        if let Some((to, report)) = demand.poll_report(now) {
            reports.push((to, report.full));
        }
        now = now + Duration::from_millis(50);
    }
    assert_eq!(reports.first(), Some(&(first, true)));
    let change = reports.iter().find(|(to, _)| *to == second).expect("a report to the second");
    assert!(change.1, "the first report to a new scheduler is full");
}

#[test]
fn a_leaving_back_end_gets_no_grant() {
    let mut fixture = Fixture::new(1, 3);
    let tenant = TenantName::from("office");
    fixture.cell.set_leaving(&BackendName::from("engine"), true);
    fixture.gateways[0].1.enqueue(&tenant, request(0));
    assert_eq!(fixture.exchange(5), 0);
}

#[test]
fn the_slot_of_a_cancelled_request_is_released() {
    let mut fixture = Fixture::new(1, 1);
    let tenant = TenantName::from("office");
    fixture.gateways[0].1.enqueue(&tenant, request(0));
    fixture.advance(Duration::from_millis(100));
    let reports = fixture.reports();
    let grants = fixture.deliver_reports(reports);
    assert!(fixture.gateways[0].1.cancel(&tenant, request(0)));
    assert_eq!(fixture.deliver_grants(grants), 0);
    fixture.exchange(2);
    assert_eq!(fixture.cell.status().in_use, 0);
}

#[test]
fn a_gateway_that_switches_schedulers_notifies_the_previous_one() {
    let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
    let (first, second) = (ProcessId::from("first"), ProcessId::from("second"));
    demand.set_schedulers(vec![first.clone()]);
    demand.enqueue(&TenantName::from("office"), request(0));
    let now = Timestamp::from_millis(1_000);
    demand.poll_report(now).expect("a first report");
    demand.set_schedulers(vec![second.clone(), first.clone()]);
    let (to, farewell) = demand.poll_report(now).expect("a farewell");
    assert_eq!((to, farewell.full, farewell.tenants.len()), (first.clone(), true, 0));
    let later = now + Duration::from_millis(5);
    let (to, report) = demand.poll_report(later).expect("a first report to the other");
    assert_eq!((to, report.full, report.tenants.len()), (second, true, 1));

    // A late grant of the previous scheduler is ignored.
    let mut cell = new_cell(1, 4);
    cell.handle_report(now, &ProcessId::from("gateway"), report);
    let granted = cell.poll_grants(now + Duration::from_secs(1));
    let (_, late_grants) = granted.into_iter().next().expect("a grant");
    assert_eq!(late_grants.grants.len(), 1);
    assert!(demand.handle_grants(later, &first, late_grants).is_empty());
}

#[test]
fn a_solicitation_moves_gateways_whose_scheduler_has_not_answered() {
    let (first, second) = (ProcessId::from("first"), ProcessId::from("second"));
    let mut demands: Vec<Demand> = (0..2)
        .map(|number| {
            let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
            demand.set_schedulers(vec![first.clone(), second.clone()]);
            demand.enqueue(&TenantName::from("office"), request(number));
            demand
        })
        .collect();
    let reported_at = Timestamp::from_millis(1_000);
    for demand in &mut demands {
        assert_eq!(demand.poll_report(reported_at).expect("a report").0, first);
    }
    // The first gateway switches to the next scheduler after the answer timeout.
    let later = reported_at + DemandConfig::default().contact.answer_timeout;
    let (to, report) = demands[0].poll_report(later).expect("a report");
    assert_eq!(to, second);
    let mut cell = new_cell(7, 2);
    cell.handle_report(later, &ProcessId::from("gateway-0"), report);
    let solicitation = cell.take_solicitation().expect("the cell was just taken over");
    assert!(cell.take_solicitation().is_none());
    // A gateway that waits for an answer of the first scheduler follows at once.
    let mut other = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
    other.set_schedulers(vec![first.clone(), second.clone()]);
    other.enqueue(&TenantName::from("office"), request(9));
    assert_eq!(other.poll_report(later).expect("a report").0, first);
    other.handle_grants(later, &second, solicitation);
    let soon = later + Duration::from_millis(1);
    assert_eq!(other.poll_report(soon).expect("a report").0, second);
}

#[test]
fn a_gateway_that_switches_to_a_higher_ranked_scheduler_moves_the_whole_cell() {
    let key = cell_id().rendezvous_key();
    let names = [ProcessId::from("a"), ProcessId::from("b")];
    let order = mastbay_types::by_rendezvous(&key, &names);
    let (higher, lower) = (order[0].clone(), order[1].clone());
    let gateways = [ProcessId::from("gateway-0"), ProcessId::from("gateway-1")];
    for (holder, successor, moves) in [(&lower, &higher, true), (&higher, &lower, false)] {
        let mut cell = Cell::new(cell_id(), CellConfig::default(), holder.clone(), Incarnation(1));
        let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
        demand.set_schedulers(vec![holder.clone()]);
        let now = Timestamp::from_millis(1_000);
        let (_, report) = demand.poll_report(now).expect("a report");
        for gateway in &gateways {
            cell.handle_report(now, gateway, report.clone());
        }
        cell.poll_grants(now);
        demand.set_schedulers(vec![successor.clone()]);
        let (_, farewell) = demand.poll_report(now).expect("a farewell");
        cell.handle_report(now, &gateways[0], farewell);
        let messages = cell.poll_grants(now);
        let moved = messages.iter().any(|(to, message)| {
            *to == gateways[1] && message.moved_to.as_ref() == Some(successor)
        });
        assert_eq!(moved, moves, "from {holder} to {successor}");
    }
}

// Guards against pausing a back end that is alive, because its accept queue was full for a moment.
#[test]
fn a_back_end_that_answers_others_is_not_paused_for_a_connection_that_timed_out() {
    for (answers_meanwhile, expected) in [(true, 1), (false, 0)] {
        let mut fixture = Fixture::new(1, 3);
        let (tenant, engine) = (TenantName::from("office"), BackendName::from("engine"));
        fixture.gateways[0].1.enqueue(&tenant, request(0));
        fixture.exchange(5);
        let demand = &mut fixture.gateways[0].1;
        let before = demand.responses(&engine);
        if answers_meanwhile {
            demand.progress(request(0), Cost(1));
        }
        demand.note_unreachable(&engine, before);
        fixture.exchange(1);
        fixture.gateways[0].1.enqueue(&tenant, request(1));
        assert_eq!(fixture.exchange(3), expected, "answers meanwhile: {answers_meanwhile}");
    }
}
