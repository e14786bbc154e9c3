//! Processor time of a request in a cell and in gateways' demands.

use super::name;
use mastbay_grants::{Cell, CellConfig, Demand, DemandConfig};
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, ServiceName, TenantName,
    Timestamp,
};
use std::time::{Duration, Instant};

/// Prints the slope.
pub fn cell_slope() {
    println!(
        "processor: back ends, tenants, gateways, microseconds a request in cell and in demand"
    );
    for (backends, tenants, gateways) in [
        (8, 20, 9),
        (32, 20, 9),
        (128, 20, 9),
        (608, 20, 9),
        (32, 200, 9),
        (32, 20, 90),
        (608, 217, 360),
    ] {
        let (cell, demand) = cost_of_requests(backends, tenants, gateways);
        println!("{backends:>6} {tenants:>6} {gateways:>6} {cell:>8.2} {demand:>8.2}");
    }
}

/// Slots of each back end in the measurement of processor time.
const SLOTS: u32 = 50;
/// Requests measured.
const MEASURED: usize = 20_000;

/// Processor time of a request in a cell whose slots are all taken and in the gateways' demands.
fn cost_of_requests(backends: usize, tenants: usize, gateways: usize) -> (f64, f64) {
    let id = CellId { service: ServiceName::from("model"), index: 0 };
    let scheduler = name(0);
    let mut cell = Cell::new(id.clone(), CellConfig::default(), scheduler.clone(), Incarnation(1));
    let declared: Vec<(BackendName, u32)> = (0..backends)
        .map(|number| (BackendName::from(&*format!("engine-{number}")), SLOTS))
        .collect();
    cell.set_backends(&declared);
    let names: Vec<TenantName> =
        (0..tenants).map(|number| TenantName::from(&*format!("tenant-{number:04}"))).collect();
    let mut demands: Vec<(ProcessId, Demand)> = (0..gateways)
        .map(|number| {
            let mut demand = Demand::new(id.clone(), DemandConfig::default(), Incarnation(1));
            demand.set_schedulers(vec![scheduler.clone()]);
            (name(number + 1), demand)
        })
        .collect();
    let waiting = backends * SLOTS as usize + tenants * gateways * 4;
    let mut next = 0_u128;
    for number in 0..waiting {
        let tenant = &names[number % tenants];
        demands[(number / tenants) % gateways].1.enqueue(tenant, RequestId::from_number(next));
        next += 1;
    }
    let mut running: std::collections::VecDeque<(usize, RequestId, TenantName)> =
        std::collections::VecDeque::new();
    let (mut in_cell, mut in_demand) = (Duration::ZERO, Duration::ZERO);
    let mut now = Timestamp::from_millis(1_000);
    let mut ended = 0;
    while ended < MEASURED {
        now = now + Duration::from_millis(10);
        for gateway in 0..gateways {
            let began = Instant::now();
            let report = demands[gateway].1.poll_report(now);
            in_demand += began.elapsed();
            let Some((_, report)) = report else { continue };
            let began = Instant::now();
            cell.handle_report(now, &demands[gateway].0, report);
            let outgoing = cell.poll_grants(now);
            in_cell += began.elapsed();
            for (to, message) in outgoing {
                let began = Instant::now();
                let index = demands.iter().position(|(name, _)| *name == to);
                let Some(index) = index else { continue };
                let bound = demands[index].1.handle_grants(now, &scheduler, message);
                in_demand += began.elapsed();
                running.extend(bound.into_iter().map(|one| (index, one.request, one.tenant)));
            }
        }
        let full = running.len() >= backends * SLOTS as usize;
        if !full {
            // The slots fill before anything is measured.
            (in_cell, in_demand) = (Duration::ZERO, Duration::ZERO);
            continue;
        }
        for _ in 0..gateways * 2 {
            let Some((gateway, request, tenant)) = running.pop_front() else { break };
            let began = Instant::now();
            demands[gateway].1.finish(request, Cost(300), true);
            demands[gateway].1.enqueue(&tenant, RequestId::from_number(next));
            in_demand += began.elapsed();
            next += 1;
            ended += 1;
        }
    }
    let each = |spent: Duration| spent.as_secs_f64() * 1e6 / ended as f64;
    (each(in_cell), each(in_demand))
}
