//! Scenario files in INI format: a fleet, its services and the load of its tenants.

use derive_more::{Display, Error};
use mastbay_settings::{
    Bounded, Document, Expected, Faults, LoadError, Name, Problem, Span, Value,
};
use std::path::Path;
use std::time::Duration;

/// A fleet and its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Number of machines, each with a gateway and a scheduler, assigned to zones in rotation.
    pub machines: usize,
    /// Number of zones.
    pub zones: usize,
    /// One-way delay between zones.
    pub delay: Duration,
    /// One-way delay within a zone.
    pub near_delay: Duration,
    /// Simulated time.
    pub duration: Duration,
    /// Time before the first arrivals, in which the membership converges.
    pub load_start: Duration,
    /// Time at the beginning that the metrics exclude.
    pub warm_up: Duration,
    /// Services and their back ends.
    pub services: Vec<ServiceLoad>,
    /// Tenants and their load.
    pub tenants: Vec<TenantLoad>,
}

/// A service's back ends.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLoad {
    /// Unique name.
    pub name: String,
    /// Number of back ends.
    pub engines: usize,
    /// Concurrent requests per back end.
    pub slots: u32,
    /// Time for one cost unit: a decoding step of a model, or a millisecond of a plain service.
    pub step: Duration,
    /// Grants beyond the slots; `None` if the number is learned.
    pub ahead: Option<u32>,
}

/// A tenant's load on one service.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantLoad {
    /// Unique name.
    pub name: String,
    /// Weight in fair scheduling.
    pub weight: u32,
    /// Index of the service that it uses.
    pub service: usize,
    /// Indices of the machines whose gateways its callers use.
    pub gateways: Vec<usize>,
    /// Arrival process of the requests.
    pub arrivals: Arrivals,
    /// Median cost of the requests, in cost units.
    pub median_cost: u64,
    /// Standard deviation of the natural logarithm of the cost; 0 for a fixed cost.
    pub cost_spread: f64,
    /// Maximum cost of a request, in cost units.
    pub largest_cost: u64,
}

/// Arrival process of requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Arrivals {
    /// Closed loop: a fixed number of callers, each with one request at a time.
    Closed {
        /// Number of callers.
        callers: u32,
    },
    /// Open loop: Poisson arrivals.
    Open {
        /// Mean rate in requests per second.
        rate: f64,
    },
    /// Open loop: Poisson arrivals during periodic crowds only.
    Crowds {
        /// Mean rate during a crowd, in requests per second.
        rate: f64,
        /// Duration of a crowd.
        on: Duration,
        /// Time between crowds.
        off: Duration,
    },
}

/// Error of reading a scenario.
#[derive(Debug, Display, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[display("{_0}")]
    File(LoadError),
    /// The contents are invalid.
    #[display("{_0}")]
    Faults(Faults),
}

/// A finite, non-negative decimal number.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Decimal(f64);

impl Value for Decimal {
    const EXPECTED: &'static str = "a decimal number that is not negative";

    fn read(text: &str) -> Result<Self, Expected> {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(Decimal(number)),
            _ => Err(Self::EXPECTED.into()),
        }
    }
}

/// A time in microseconds.
type Micros = Bounded<0, 1_000_000_000>;

impl Scenario {
    /// Reads a scenario file.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let document = Document::load(path).map_err(ScenarioError::File)?;
        Self::read(&document)
    }

    /// Parses a scenario and reports all invalid settings together.
    pub fn read(document: &Document) -> Result<Self, ScenarioError> {
        let mut faults = Faults::default();
        let fleet = read_fleet(document, &mut faults);
        let mut services = Vec::new();
        let mut tenants = Vec::new();
        for section in document.section_names() {
            match section.split_once(' ') {
                Some(("service", name)) => {
                    services.extend(read_service(document, section, name, &mut faults));
                }
                Some(("tenant", name)) => {
                    let machines = fleet.as_ref().map_or(0, |fleet| fleet.machines);
                    let tenant =
                        read_tenant(document, section, name, &services, machines, &mut faults);
                    tenants.extend(tenant);
                }
                _ if section == "fleet" => {}
                _ => {
                    let known = "fleet, service NAME, tenant NAME".to_owned();
                    document.note(&mut faults, section, Problem::UnknownSection { known });
                }
            }
        }
        let scenario = fleet.map(|fleet| Scenario { services, tenants, ..fleet });
        faults.into_result(scenario).map_err(ScenarioError::Faults)
    }

    /// Returns the total number of slots of a service.
    pub fn slots(&self, service: usize) -> u32 {
        self.services[service].engines as u32 * self.services[service].slots
    }
}

fn read_fleet(document: &Document, faults: &mut Faults) -> Option<Scenario> {
    let mut section = document.section("fleet", faults);
    let machines: Option<Bounded<1, 1_000>> = section.required("machines");
    let zones: Option<Bounded<1, 100>> = section.required("zones");
    let delay: Option<Micros> = section.required("delay-micros");
    let near_delay: Micros = section.or("near-delay-micros", Bounded(100));
    let duration: Option<Span<1_000, 3_600_000>> = section.required("duration");
    let load_start: Span<0, 600_000> = section.or("load-start", Span(Duration::from_secs(5)));
    let warm_up: Span<0, 600_000> = section.or("warm-up", Span(Duration::from_secs(5)));
    section.finish();
    Some(Scenario {
        machines: machines?.0 as usize,
        zones: zones?.0 as usize,
        delay: Duration::from_micros(delay?.0),
        near_delay: Duration::from_micros(near_delay.0),
        duration: duration?.0,
        load_start: load_start.0,
        warm_up: warm_up.0,
        services: Vec::new(),
        tenants: Vec::new(),
    })
}

fn read_service(
    document: &Document,
    section: &str,
    name: &str,
    faults: &mut Faults,
) -> Option<ServiceLoad> {
    let mut reader = document.section(section, faults);
    let engines: Option<Bounded<1, 10_000>> = reader.required("engines");
    let slots: Option<Bounded<1, 10_000>> = reader.required("slots");
    let step: Option<Micros> = reader.required("step-micros");
    let ahead: Option<Bounded<0, 64>> = reader.optional("grants-ahead");
    reader.finish();
    Some(ServiceLoad {
        name: name.to_owned(),
        engines: engines?.0 as usize,
        slots: slots?.0 as u32,
        step: Duration::from_micros(step?.0),
        ahead: ahead.map(|ahead| ahead.0 as u32),
    })
}

fn read_tenant(
    document: &Document,
    section: &str,
    name: &str,
    services: &[ServiceLoad],
    machines: usize,
    faults: &mut Faults,
) -> Option<TenantLoad> {
    let mut reader = document.section(section, faults);
    let weight: Bounded<1, 10_000> = reader.or("weight", Bounded(1));
    let service: Option<Name> = reader.required("service");
    let mut gateways: Vec<usize> =
        reader.list::<Bounded<0, 999>>("gateways").iter().map(|number| number.0 as usize).collect();
    let callers: Option<Bounded<1, 100_000>> = reader.optional("callers");
    let rate: Option<Decimal> = reader.optional("rate");
    let on: Option<Span<1, 3_600_000>> = reader.optional("crowd");
    let off: Span<0, 3_600_000> = reader.or("quiet", Span(Duration::ZERO));
    let median: Option<Bounded<1, 1_000_000>> = reader.required("median-cost");
    let spread: Decimal = reader.or("cost-spread", Decimal(0.0));
    let largest: Option<Bounded<1, 10_000_000>> = reader.optional("largest-cost");
    let arrivals = match (callers, rate, on) {
        (Some(callers), None, None) => Some(Arrivals::Closed { callers: callers.0 as u32 }),
        (None, Some(rate), None) => Some(Arrivals::Open { rate: rate.0 }),
        (None, Some(rate), Some(on)) => {
            Some(Arrivals::Crowds { rate: rate.0, on: on.0, off: off.0 })
        }
        _ => {
            reader.fault("callers", Problem::Missing { expected: "either callers or rate" });
            None
        }
    };
    let service = service.and_then(|Name(name)| {
        let found = services.iter().position(|service| service.name == name);
        if found.is_none() {
            reader.fault("service", Problem::Dangling { kind: "service", name });
        }
        found
    });
    if let Some(wrong) = gateways.iter().find(|gateway| **gateway >= machines) {
        let name = wrong.to_string();
        reader.fault("gateways", Problem::Dangling { kind: "machine", name });
    }
    if gateways.is_empty() {
        gateways = (0..machines).collect();
    }
    reader.finish();
    let median = median?.0;
    Some(TenantLoad {
        name: name.to_owned(),
        weight: weight.0 as u32,
        service: service?,
        gateways,
        arrivals: arrivals?,
        median_cost: median,
        cost_spread: spread.0,
        largest_cost: largest.map_or(median * 100, |largest| largest.0),
    })
}
