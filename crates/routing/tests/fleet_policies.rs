//! Policies that rely on figures of the whole fleet, in small and in large fleets.

use mastbay_routing::{
    ConcurrencyPolicy, FleetPolicies, PerformanceSource, Policy, RankCount, RankingPolicy,
    RetryAfterPolicy, WaitingScope,
};

fn all_on(fleet_policies: FleetPolicies) -> Policy {
    Policy {
        concurrency: ConcurrencyPolicy::Spare,
        performance: PerformanceSource::Fleet,
        ranking: RankingPolicy::Weighted,
        rank_count: RankCount::Demand,
        prefix_transfer: true,
        waiting_scope: WaitingScope::Fleet,
        retry_after: RetryAfterPolicy::Backlog,
        fleet_policies,
        ..Policy::default()
    }
}

/// Guards against changed decisions in small fleets, whose routers learn each engine alone.
#[test]
fn a_fleet_without_aggregators_decides_as_with_all_switches_off() {
    let policy = all_on(FleetPolicies::LargeFleets);
    let off = Policy { fleet_policies: FleetPolicies::LargeFleets, ..Policy::default() };
    assert_eq!(policy.in_fleet(false), off);
    assert_eq!(policy.in_fleet(true), policy);
}

#[test]
fn policies_that_always_apply_do_not_depend_on_the_fleet() {
    let policy = all_on(FleetPolicies::Always);
    assert_eq!(policy.in_fleet(false), policy);
    assert_eq!(policy.in_fleet(true), policy);
}
