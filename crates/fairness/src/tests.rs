//! Tests of the fair order.

use crate::{FairOrder, Level};
use mastbay_types::{Cost, TenantName, Weight};
use quickcheck::quickcheck;

fn tenant(index: u8) -> TenantName {
    TenantName::from(&*format!("tenant-{index}"))
}

#[test]
fn service_follows_weights() {
    let mut order = FairOrder::default();
    order.set_weight(&tenant(0), Weight::new(3).expect("not zero"));
    order.set_backlogged(&tenant(0), true);
    order.set_backlogged(&tenant(1), true);
    let mut served = [0, 0];
    for _ in 0..400 {
        let next = order.next().expect("both are backlogged").clone();
        served[usize::from(next == tenant(1))] += 1;
        order.charge(&next, Cost(7));
    }
    assert_eq!(served, [300, 100]);
}

#[test]
fn idle_time_earns_no_credit() {
    let mut order = FairOrder::default();
    order.set_backlogged(&tenant(0), true);
    order.charge(&tenant(0), Cost(1_000));
    order.set_backlogged(&tenant(1), true);
    assert_eq!(order.level(&tenant(1)), order.level(&tenant(0)));
}

#[test]
fn a_tenant_starts_at_the_level_last_served_when_none_is_backlogged() {
    let mut order = FairOrder::default();
    order.set_backlogged(&tenant(0), true);
    order.charge(&tenant(0), Cost(50));
    order.note_served(&tenant(0));
    order.set_backlogged(&tenant(0), false);
    order.set_backlogged(&tenant(1), true);
    assert_eq!(order.level(&tenant(1)), Level(50_000));
}

quickcheck! {
    /// The levels of two tenants that stay backlogged never differ by more than the largest single
    /// cost.
    fn gap_is_at_most_the_largest_cost(costs: Vec<u16>) -> bool {
        let mut order = FairOrder::default();
        for index in 0..4 {
            order.set_backlogged(&tenant(index), true);
        }
        let largest = costs.iter().copied().max().unwrap_or(0);
        costs.iter().all(|cost| {
            let next = order.next().expect("backlogged").clone();
            order.charge(&next, Cost(i64::from(*cost)));
            let levels: Vec<i64> = (0..4).map(|index| order.level(&tenant(index)).0).collect();
            let gap = levels.iter().max().unwrap_or(&0) - levels.iter().min().unwrap_or(&0);
            gap <= Level::of(Cost(i64::from(largest)), Weight::ONE).0
        })
    }

    /// A corrected estimate leaves the level of the actual cost.
    fn corrections_cancel(estimate: u16, actual: u16) -> bool {
        let mut order = FairOrder::default();
        order.charge(&tenant(0), Cost(i64::from(estimate)));
        order.charge(&tenant(0), Cost(i64::from(actual)).minus(Cost(i64::from(estimate))));
        order.level(&tenant(0)) == Level::of(Cost(i64::from(actual)), Weight::ONE)
    }
}
