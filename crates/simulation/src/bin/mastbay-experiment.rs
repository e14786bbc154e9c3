//! `mastbay-experiment`: runs a scenario in seeded virtual time with the fleet and with the
//! baseline dispatchers, and prints their results.

use argh::FromArgs;
use mastbay_grants::DemandConfig;
use mastbay_simulation::baselines::{EarlyBinding, IndependentGateways, SingleQueue};
use mastbay_simulation::faults::{Fault, rotating_faults};
use mastbay_simulation::fleet::{Fleet, FleetOptions};
use mastbay_simulation::report::{DispatcherReport, table};
use mastbay_simulation::scenario::Scenario;
use mastbay_simulation::world::{Dispatcher, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs a scenario in seeded virtual time and prints the results of the fleet and of an
/// ideal queue, first come first served, gateways alone and early binding.
#[derive(FromArgs)]
struct Arguments {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of the random number generator (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// microseconds between a gateway's reports on requests that came, started or ended
    #[argh(option)]
    report_spacing_micros: Option<u64>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let scenario = match Scenario::load(&arguments.scenario) {
        Ok(scenario) => scenario,
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            return ExitCode::from(2);
        }
    };
    let mut demand = DemandConfig::default();
    if let Some(micros) = arguments.report_spacing_micros {
        demand.report_spacing = Duration::from_micros(micros);
    }
    let reports = compare(&scenario, arguments.seed, &demand);
    if arguments.json {
        println!("{}", serde_json::to_string(&reports).unwrap_or_default());
    } else {
        print!("{}", table(&reports));
    }
    ExitCode::SUCCESS
}

fn compare(scenario: &Scenario, seed: u64, demand: &DemandConfig) -> Vec<DispatcherReport> {
    let one =
        |name: &str, dispatcher: &mut dyn DynDispatcher| dispatcher.report(name, scenario, seed);
    let fleet = |faults| {
        let demand = demand.clone();
        let options = FleetOptions { demand, membership: true, faults, ..Default::default() };
        Fleet::new(scenario, options, seed)
    };
    let schedulers_lost = rotating_faults(
        scenario.machines,
        Duration::from_secs(20),
        Duration::from_secs(8),
        scenario.duration,
        |machine| Fault::KillScheduler { machine, down: Duration::from_secs(3) },
    );
    vec![
        one("ideal queue", &mut SingleQueue::fair(scenario)),
        one("fleet", &mut fleet(Vec::new())),
        one("fleet, schedulers lost", &mut fleet(schedulers_lost)),
        one("first come", &mut SingleQueue::first_come_first_served(scenario)),
        one("gateways alone", &mut IndependentGateways::new(scenario)),
        one("early binding", &mut EarlyBinding::new(scenario)),
    ]
}

/// Object-safe interface to run any [`Dispatcher`].
trait DynDispatcher {
    fn report(&mut self, name: &str, scenario: &Scenario, seed: u64) -> DispatcherReport;
}

impl<D: Dispatcher> DynDispatcher for D {
    fn report(&mut self, name: &str, scenario: &Scenario, seed: u64) -> DispatcherReport {
        DispatcherReport::new(name, scenario, &run(scenario, seed, self))
    }
}
