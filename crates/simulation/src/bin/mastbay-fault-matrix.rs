//! `mastbay-fault-matrix`: prints the matrix of faults and steps for docs/FAULTS.md.

use argh::FromArgs;
use mastbay_simulation::safety::{Mutation, PROMISES, detecting_cells, markdown, run_matrix};

/// Injects every fault at every step of a request in seeded virtual time and prints the matrix, and
/// the number of cells that detect each mutation of the code.
#[derive(FromArgs)]
struct Arguments {
    /// runs of each cell (default 20)
    #[argh(option, default = "20")]
    seeds: u64,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    for promise in PROMISES {
        let rows = run_matrix(promise, None, None, arguments.seeds);
        println!("### {promise}\n\n{}", markdown(&rows));
    }
    println!("### Mutations\n\n| mutation | cells that find it |\n|---|---|");
    for mutation in Mutation::ALL {
        let found = detecting_cells(mutation, arguments.seeds);
        println!("| {mutation} | {found} |");
    }
}
