//! `mastbay-slopes`: measures what control costs as the fleet grows, with hollow processes that share
//! this one, for docs/CAPACITY.md.

use argh::FromArgs;
use mastbay_configuration::{
    Backend, ClaimPolicy, FleetConfiguration, KeyDigest, Part, Root, Service, ServiceKind, Tenant,
};
use mastbay_grants::{Cell, CellConfig, Demand, DemandConfig};
use mastbay_membership::{Membership, MembershipConfig, Role, Transmit};
use mastbay_peer::Message;
use mastbay_simulation::event_queue::EventQueue;
use mastbay_simulation::fleet::{Fleet, FleetOptions};
use mastbay_simulation::network::CARRIER_BYTES;
use mastbay_simulation::scenario::{Arrivals, Scenario, ServiceLoad, TenantLoad};
use mastbay_simulation::world::run;
use mastbay_spread::SpreadMessage;
use mastbay_types::{
    BackendName, CellId, Cost, Incarnation, ProcessId, RequestId, ServiceName, TenantName,
    Timestamp, Weight,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Measures bytes, messages, processor time and memory of control against the size of the fleet.
#[derive(FromArgs)]
struct Arguments {
    /// also run the largest size, which takes minutes and gigabytes
    #[argh(switch)]
    full: bool,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    cell_slope();
    configuration_slope();
    membership_slope();
    grants_by_machines();
    grants_by_tenants();
    grants_by_rate();
    if arguments.full {
        full_size();
    }
}

/// Resident memory of this process in bytes, zero where it cannot be told.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn membership_slope() {
    println!("membership: members, bytes a second and messages a second of a process, CPU share");
    for members in [18, 90, 180, 360, 720] {
        let figures = membership(members, Duration::from_secs(20));
        println!(
            "{members:>6} {:>8.0} {:>6.1} {:>9.5}% {:>8.0} B of state",
            figures.bytes,
            figures.messages,
            figures.cpu * 100.0,
            figures.state
        );
    }
}

struct MembershipFigures {
    bytes: f64,
    messages: f64,
    cpu: f64,
    state: f64,
}

/// Runs a steady fleet and counts what a process sends and receives a second.
fn membership(members: usize, span: Duration) -> MembershipFigures {
    let names: Vec<ProcessId> = (0..members).map(name).collect();
    let before = resident();
    let mut processes: Vec<Membership> = names
        .iter()
        .map(|process| {
            let config = MembershipConfig::default();
            let zone = Arc::from("zone");
            let mut membership =
                Membership::new(process.clone(), Role::Gateway, zone, Incarnation(1), config);
            membership.set_seeds(names[..members.min(18)].to_vec());
            membership
        })
        .collect();
    let index: std::collections::HashMap<ProcessId, usize> =
        names.iter().cloned().zip(0..).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut events: EventQueue<(usize, Option<(usize, Transmit)>)> = EventQueue::default();
    for process in 0..members {
        events.push(Timestamp::from_micros(process as u64 * 97), (process, None));
    }
    // The first part, in which members find each other and the news of that is passed on, is not
    // counted.
    let settle = Duration::from_secs(members as u64 / 2);
    let (mut bytes, mut messages, mut spent) = (0_u64, 0_u64, Duration::ZERO);
    let end = Timestamp::ZERO + settle + span;
    while let Some((now, (process, delivered))) = events.pop() {
        if now > end {
            break;
        }
        let counted = now > Timestamp::ZERO + settle;
        let began = Instant::now();
        let sent = match delivered {
            Some((from, transmit)) => processes[process].handle(now, &names[from], transmit.packet),
            None => {
                let sent = processes[process].handle_timeout(now, &mut random);
                events.push(processes[process].next_timeout(), (process, None));
                sent
            }
        };
        if counted {
            spent += began.elapsed();
        }
        for transmit in sent {
            if counted {
                let message = Message::Membership(transmit.packet.clone());
                let size = rmp_serde::to_vec(&message).map_or(0, |encoded| encoded.len() as u64);
                bytes += 2 * (size + CARRIER_BYTES);
                messages += 2;
            }
            if let Some(to) = index.get(&transmit.to) {
                events.push(now + Duration::from_millis(2), (*to, Some((process, transmit))));
            }
        }
    }
    let state = resident().saturating_sub(before) as f64 / members as f64;
    let process_seconds = span.as_secs_f64() * members as f64;
    MembershipFigures {
        bytes: bytes as f64 / process_seconds,
        messages: messages as f64 / process_seconds,
        cpu: spent.as_secs_f64() / process_seconds,
        state,
    }
}

fn name(number: usize) -> ProcessId {
    ProcessId::from(&*format!("10.0.{}.{}:7400", number / 250, number % 250))
}

fn configuration_slope() {
    println!(
        "configuration: entries, parts, bytes of the root, of the change of one entry and of its part, \
         assemble ms, memory"
    );
    for entries in [45, 500, 2_500, 10_000] {
        let configuration = configuration(entries);
        let parts = configuration.to_parts();
        let root = Root::following(None, "a".repeat(32), parts.iter().map(Part::hash).collect());
        let root_bytes = encoded_size(&SpreadMessage::Root { root: Some(root.clone()) });
        let (change_bytes, part_bytes) = change_of_one_tenant(&configuration, &root);
        let by_hash = parts.iter().map(|part| (part.hash(), part.clone())).collect();
        let began = Instant::now();
        let whole = FleetConfiguration::assemble(&root, &by_hash);
        let took = began.elapsed();
        assert!(whole.is_ok_and(|whole| whole == configuration));
        let memory: usize = parts.iter().map(|part| part.bytes.len()).sum();
        println!(
            "{entries:>6} {:>5} {root_bytes:>8} {change_bytes:>8} {part_bytes:>8} {:>8.2} {:>9}",
            parts.len(),
            took.as_secs_f64() * 1e3,
            2 * memory,
        );
    }
}

fn encoded_size(message: &SpreadMessage) -> usize {
    rmp_serde::to_vec(message).map_or(0, |encoded| encoded.len())
}

/// Bytes of the messages that carry the change of one tenant: the root's change, and the part.
fn change_of_one_tenant(configuration: &FleetConfiguration, root: &Root) -> (usize, usize) {
    let mut changed = configuration.clone();
    if let Some(tenant) = changed.tenants.values_mut().next() {
        tenant.most_waiting += 1;
    }
    let parts = changed.to_parts();
    let new: Vec<Part> =
        parts.iter().filter(|part| !root.parts.contains(&part.hash())).cloned().collect();
    let hashes: Vec<_> = parts.iter().map(Part::hash).collect();
    let removed = root.parts.iter().filter(|hash| !hashes.contains(hash)).cloned().collect();
    let change = SpreadMessage::RootChange {
        base: root.generation,
        generation: root.generation.next(),
        apply_id: "a".repeat(32),
        added: new.iter().map(Part::hash).collect(),
        removed,
    };
    (encoded_size(&change), encoded_size(&SpreadMessage::Parts { parts: new }))
}

/// A configuration with a quarter tenants and the rest back ends.
fn configuration(entries: usize) -> FleetConfiguration {
    let mut whole = FleetConfiguration::default();
    for number in 0..12 {
        let service = Service {
            kind: ServiceKind::Model { model: format!("model-{number}") },
            repeatable: true,
            claims: ClaimPolicy::Required,
            deadline: Duration::from_secs(60),
            ahead: None,
        };
        whole.services.insert(ServiceName::from(&*format!("service-{number}")), service);
    }
    for number in 0..entries / 4 {
        let keys = vec![KeyDigest::of(&number.to_string())];
        let tenant = Tenant { weight: Weight::ONE, keys, most_waiting: 100 };
        whole.tenants.insert(TenantName::from(&*format!("tenant-{number}")), tenant);
    }
    for number in 0..entries - entries / 4 {
        let backend = Backend {
            service: ServiceName::from(&*format!("service-{}", number % 12)),
            address: std::net::SocketAddr::from((
                [10, 1, (number / 250) as u8, (number % 250) as u8],
                80,
            )),
            zone: "zone".to_owned(),
            slots: 50,
            checks_fences: false,
            leaving: false,
        };
        whole.backends.insert(BackendName::from(&*format!("engine-{number}")), backend);
    }
    whole
}

fn cell_slope() {
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

struct Load {
    machines: usize,
    engines: usize,
    slots: u32,
    services: usize,
    tenants: usize,
    /// Requests a second over all tenants.
    rate: f64,
    cost: u64,
    step: Duration,
    seconds: u64,
}

/// A fleet whose tenants send at random through three gateways each, with a tenth more load than the
/// engines can serve in the first tenth of the tenants, so that those are backlogged.
fn scenario(load: &Load) -> Scenario {
    let services = (0..load.services)
        .map(|number| ServiceLoad {
            name: format!("model-{number}"),
            engines: load.engines / load.services,
            slots: load.slots,
            step: load.step,
            ahead: None,
        })
        .collect();
    let backlogged = load.tenants.div_ceil(10);
    let tenants = (0..load.tenants)
        .map(|number| {
            let gateways = (0..3).map(|turn| (number * 7 + turn * 13) % load.machines).collect();
            let callers = (load.engines as f64 * f64::from(load.slots) / backlogged as f64).ceil();
            let arrivals = if number < backlogged {
                Arrivals::Closed { callers: callers as u32 }
            } else {
                Arrivals::Open { rate: load.rate / load.tenants as f64 }
            };
            TenantLoad {
                name: format!("tenant-{number:04}"),
                weight: 1,
                service: number % load.services,
                gateways,
                arrivals,
                median_cost: load.cost,
                cost_spread: 0.8,
                largest_cost: load.cost * 10,
            }
        })
        .collect();
    Scenario {
        machines: load.machines,
        zones: 3,
        delay: Duration::from_micros(1_100),
        near_delay: Duration::from_micros(200),
        duration: Duration::from_secs(load.seconds),
        load_start: Duration::from_secs(1),
        warm_up: Duration::from_secs(load.seconds / 2),
        services,
        tenants,
    }
}

fn grants(load: &Load) {
    let scenario = scenario(load);
    let before = resident();
    let mut fleet = Fleet::new(&scenario, FleetOptions::default(), 1);
    let began = Instant::now();
    let measured = run(&scenario, 1, &mut fleet);
    let took = began.elapsed();
    let memory = resident().saturating_sub(before);
    let seconds = load.seconds as f64;
    let requests = measured.ended.max(1) as f64;
    let used: f64 = measured.slots.iter().map(|slots| slots.used).sum();
    let stranded: f64 = measured.slots.iter().map(|slots| slots.stranded).sum();
    println!(
        "{:>5} {:>6} {:>6} {:>8.0} {:>7.2} {:>7.0} {:>10.0} {:>12.0} {:>8.4} {:>9.1} {:>7.0}",
        load.machines,
        load.engines,
        load.tenants,
        requests / seconds,
        measured.traffic.messages as f64 / requests,
        measured.traffic.bytes as f64 / requests,
        2.0 * measured.traffic.bytes as f64 / seconds / (2 * load.machines) as f64,
        measured.traffic.busiest_bytes as f64 / seconds,
        used / (used + stranded).max(1e-9),
        took.as_secs_f64() * 1e6 / requests,
        memory as f64 / 1e6,
    );
}

fn grants_head(what: &str) {
    println!(
        "grants by {what}: machines, engines, tenants, requests/s, messages and bytes a request, \
         bytes/s of a process, of the busiest, utilisation, simulation microseconds a request, MB"
    );
}

const BASE: Load = Load {
    machines: 9,
    engines: 36,
    slots: 16,
    services: 3,
    tenants: 60,
    rate: 60.0,
    cost: 100,
    step: Duration::from_millis(10),
    seconds: 20,
};

fn grants_by_machines() {
    grants_head("machines");
    for machines in [9, 18, 36, 72, 144] {
        grants(&Load { machines, ..BASE });
    }
}

fn grants_by_tenants() {
    grants_head("tenants");
    for tenants in [60, 120, 240, 480, 960] {
        grants(&Load { tenants, machines: 36, ..BASE });
    }
}

fn grants_by_rate() {
    grants_head("engines, and so requests a second");
    for engines in [36, 72, 144, 288, 576] {
        let rate = engines as f64 * 1.6;
        grants(&Load { engines, rate, machines: 36, ..BASE });
    }
}

/// The size to come, as far as one process carries it: every daemon, engine and tenant hollow.
fn full_size() {
    grants_head("the size to come");
    grants(&Load {
        machines: 360,
        engines: 7_296,
        slots: 50,
        services: 12,
        tenants: 2_600,
        rate: 11_000.0,
        cost: 300,
        step: Duration::from_millis(44),
        seconds: 30,
    });
}
