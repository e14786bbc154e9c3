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

/// One scheduler and its gateways, joined by calls.
struct Pair {
    now: Timestamp,
    cell: Cell,
    gateways: Vec<(ProcessId, Demand)>,
    scheduler: ProcessId,
}

impl Pair {
    fn new(gateways: usize, slots: u32) -> Self {
        let scheduler = ProcessId::from("scheduler");
        let gateways = (0..gateways)
            .map(|index| {
                let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
                demand.set_schedulers(vec![scheduler.clone()]);
                (ProcessId::from(&*format!("gateway-{index}")), demand)
            })
            .collect();
        let mut pair = Self { now: Timestamp::ZERO, cell: new_cell(1, slots), gateways, scheduler };
        pair.cell.handle_timeout(pair.now);
        pair
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

    fn deliver(&mut self, reports: Vec<(ProcessId, Report)>) -> Vec<(ProcessId, Grants)> {
        for (from, report) in reports {
            self.cell.handle_report(self.now, &from, report);
        }
        self.cell.poll_grants(self.now)
    }

    fn take(&mut self, grants: Vec<(ProcessId, Grants)>) -> usize {
        let (now, scheduler) = (self.now, self.scheduler.clone());
        let mut bound = 0;
        for (to, message) in grants {
            let (_, demand) =
                self.gateways.iter_mut().find(|(name, _)| *name == to).expect("known");
            bound += demand.handle_grants(now, &scheduler, message).len();
        }
        bound
    }

    /// Exchanges messages for a while and returns how many requests were bound.
    fn exchange(&mut self, rounds: usize) -> usize {
        let mut bound = 0;
        for _ in 0..rounds {
            self.advance(Duration::from_millis(100));
            let reports = self.reports();
            let grants = self.deliver(reports);
            bound += self.take(grants);
        }
        bound
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
fn waiting_requests_are_bound_up_to_the_slots() {
    let mut pair = Pair::new(2, 3);
    let tenant = TenantName::from("office");
    for number in 0..4 {
        pair.gateways[(number % 2) as usize].1.enqueue(&tenant, request(number));
    }
    assert_eq!(pair.exchange(5), 3);
    pair.gateways[0].1.finish(request(0), Cost(5), true);
    assert_eq!(pair.exchange(5), 1);
}

#[test]
fn a_lost_grant_frees_its_slot_again() {
    let mut pair = Pair::new(1, 1);
    let tenant = TenantName::from("office");
    pair.gateways[0].1.enqueue(&tenant, request(0));
    pair.advance(Duration::from_millis(100));
    let reports = pair.reports();
    pair.deliver(reports);
    // The cell opens once gateways have had time to report.
    pair.advance(Duration::from_millis(100));
    let lost = pair.deliver(Vec::new());
    assert_eq!(lost[0].1.grants.len(), 1);
    assert_eq!(pair.exchange(10), 1);
    assert_eq!(pair.cell.status().in_use, 1);
}

#[test]
fn a_repeated_report_changes_nothing() {
    let mut pair = Pair::new(1, 2);
    let tenant = TenantName::from("office");
    pair.gateways[0].1.enqueue(&tenant, request(0));
    pair.exchange(3);
    pair.gateways[0].1.progress(request(0), Cost(500));
    pair.advance(Duration::from_millis(100));
    let reports = pair.reports();
    pair.deliver(reports.clone());
    let before = pair.cell.status();
    pair.deliver(reports);
    assert_eq!(pair.cell.status(), before);
}

#[test]
fn a_scheduler_that_lost_its_state_asks_for_all_and_over_grants_nothing() {
    let mut pair = Pair::new(2, 2);
    let tenant = TenantName::from("office");
    for number in 0..6 {
        pair.gateways[(number % 2) as usize].1.enqueue(&tenant, request(number));
    }
    assert_eq!(pair.exchange(5), 2);
    pair.cell =
        Cell::new(cell_id(), CellConfig::default(), ProcessId::from("scheduler"), Incarnation(2));
    pair.cell.set_backends(&[(BackendName::from("engine"), 2)]);
    assert_eq!(pair.exchange(10), 0);
    assert_eq!(pair.cell.status().in_use, 2);
    assert_eq!(pair.cell.status().backlogged[0].waiting, 4);
}

#[test]
fn a_silent_scheduler_is_passed_over_for_the_next() {
    let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
    let (first, second) = (ProcessId::from("first"), ProcessId::from("second"));
    demand.set_schedulers(vec![first.clone(), second.clone()]);
    demand.enqueue(&TenantName::from("office"), request(0));
    let mut now = Timestamp::from_millis(1_000);
    let mut asked = Vec::new();
    while now < Timestamp::from_millis(2_000) {
        if let Some((to, report)) = demand.poll_report(now) {
            asked.push((to, report.full));
        }
        now = now + Duration::from_millis(50);
    }
    assert_eq!(asked.first(), Some(&(first, true)));
    let change = asked.iter().find(|(to, _)| *to == second).expect("the second is asked");
    assert!(change.1, "a new scheduler begins with a full report");
}

#[test]
fn a_leaving_back_end_gets_no_grant() {
    let mut pair = Pair::new(1, 3);
    let tenant = TenantName::from("office");
    pair.cell.set_leaving(&BackendName::from("engine"), true);
    pair.gateways[0].1.enqueue(&tenant, request(0));
    assert_eq!(pair.exchange(5), 0);
}

#[test]
fn a_cancelled_request_gives_its_slot_back() {
    let mut pair = Pair::new(1, 1);
    let tenant = TenantName::from("office");
    pair.gateways[0].1.enqueue(&tenant, request(0));
    pair.advance(Duration::from_millis(100));
    let reports = pair.reports();
    let grants = pair.deliver(reports);
    assert!(pair.gateways[0].1.cancel(&tenant, request(0)));
    assert_eq!(pair.take(grants), 0);
    pair.exchange(2);
    assert_eq!(pair.cell.status().in_use, 0);
}

#[test]
fn a_gateway_that_turns_to_another_scheduler_tells_the_one_it_left() {
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

    // A grant of the scheduler left comes too late and binds nothing.
    let mut cell = new_cell(1, 4);
    cell.handle_report(now, &ProcessId::from("gateway"), report);
    let granted = cell.poll_grants(now + Duration::from_secs(1));
    let (_, late) = granted.into_iter().next().expect("a grant");
    assert_eq!(late.grants.len(), 1);
    assert!(demand.handle_grants(later, &first, late).is_empty());
}

#[test]
fn a_new_holder_asks_for_reports_and_gathers_gateways_whose_scheduler_owes_an_answer() {
    let (first, second) = (ProcessId::from("first"), ProcessId::from("second"));
    let mut demands: Vec<Demand> = (0..2)
        .map(|number| {
            let mut demand = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
            demand.set_schedulers(vec![first.clone(), second.clone()]);
            demand.enqueue(&TenantName::from("office"), request(number));
            demand
        })
        .collect();
    let asked = Timestamp::from_millis(1_000);
    for demand in &mut demands {
        assert_eq!(demand.poll_report(asked).expect("a report").0, first);
    }
    // The first gateway gives up on the scheduler that is gone, and turns to the next.
    let later = asked + DemandConfig::default().contact.answer_timeout;
    let (to, report) = demands[0].poll_report(later).expect("a report");
    assert_eq!(to, second);
    let mut cell = new_cell(7, 2);
    cell.handle_report(later, &ProcessId::from("gateway-0"), report);
    let solicitation = cell.take_solicitation().expect("the cell was just taken over");
    assert!(cell.take_solicitation().is_none());
    // The other one, asked only a moment ago, follows at once.
    let mut late = Demand::new(cell_id(), DemandConfig::default(), Incarnation(1));
    late.set_schedulers(vec![first.clone(), second.clone()]);
    late.enqueue(&TenantName::from("office"), request(9));
    assert_eq!(late.poll_report(later).expect("a report").0, first);
    late.handle_grants(later, &second, solicitation);
    let soon = later + Duration::from_millis(1);
    assert_eq!(late.poll_report(soon).expect("a report").0, second);
}

#[test]
fn a_gateway_that_turns_to_a_higher_scheduler_takes_the_cell_with_it() {
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
        let told = cell.poll_grants(now);
        let moved = told.iter().any(|(to, message)| {
            *to == gateways[1] && message.moved_to.as_ref() == Some(successor)
        });
        assert_eq!(moved, moves, "from {holder} to {successor}");
    }
}
