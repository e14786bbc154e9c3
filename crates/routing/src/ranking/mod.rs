//! Ranking of engines for a shared prefix by their speed, and the costs of choosing among them.
//!
//! Faster engines rank first for more prefixes. The functions are pure: speeds and loads are
//! arguments.

mod choice;
mod cost;
mod score;

pub use choice::{EngineChoice, are_unequal};
pub use cost::{
    ImposedDelay, fast_engine_cost, imposed_delay_cost, occupancy_cost_difference, pause_cost,
};
pub use score::{RankScore, rank_weight};
