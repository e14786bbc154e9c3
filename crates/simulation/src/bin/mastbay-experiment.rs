//! `mastbay-experiment`: runs a scenario in seeded virtual time under the fleet and under the ways it
//! is compared with, and prints their figures.

use argh::FromArgs;
use mastbay_grants::DemandConfig;
use mastbay_simulation::baselines::{EarlyBinding, IndependentGateways, SingleQueue};
use mastbay_simulation::faults::{Fault, rotating_faults};
use mastbay_simulation::fleet::{Fleet, FleetOptions};
use mastbay_simulation::report::{Figures, table};
use mastbay_simulation::scenario::Scenario;
use mastbay_simulation::world::{Dispatcher, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs a scenario in seeded virtual time and prints the figures of the fleet beside those of an ideal
/// queue, first come first served, gateways alone and early binding.
#[derive(FromArgs)]
struct Arguments {
    /// scenario file
    #[argh(positional)]
    scenario: PathBuf,
    /// seed of all random numbers (default 1)
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
    let figures = compare(&scenario, arguments.seed, &demand);
    if arguments.json {
        println!("{}", serde_json::to_string(&figures).unwrap_or_default());
    } else {
        print!("{}", table(&figures));
    }
    ExitCode::SUCCESS
}

fn compare(scenario: &Scenario, seed: u64, demand: &DemandConfig) -> Vec<Figures> {
    let one =
        |name: &str, dispatcher: &mut dyn DynDispatcher| dispatcher.figures(name, scenario, seed);
    let fleet = |faults| {
        let demand = demand.clone();
        let options = FleetOptions { demand, membership: true, faults, ..Default::default() };
        Fleet::new(scenario, options, seed)
    };
    let lost = rotating_faults(
        scenario.machines,
        Duration::from_secs(20),
        Duration::from_secs(8),
        scenario.duration,
        |machine| Fault::KillScheduler { machine, down: Duration::from_secs(3) },
    );
    vec![
        one("ideal queue", &mut SingleQueue::fair(scenario)),
        one("fleet", &mut fleet(Vec::new())),
        one("fleet, schedulers lost", &mut fleet(lost)),
        one("first come", &mut SingleQueue::first_come_first_served(scenario)),
        one("gateways alone", &mut IndependentGateways::new(scenario)),
        one("early binding", &mut EarlyBinding::new(scenario)),
    ]
}

/// A dispatcher of any type.
trait DynDispatcher {
    fn figures(&mut self, name: &str, scenario: &Scenario, seed: u64) -> Figures;
}

impl<D: Dispatcher> DynDispatcher for D {
    fn figures(&mut self, name: &str, scenario: &Scenario, seed: u64) -> Figures {
        Figures::new(name, scenario, &run(scenario, seed, self))
    }
}
