//! Connections to a back end, divided among the routers of the fleet.

use mastbay_routing::ConnectionBounds;
use quickcheck::quickcheck;

/// Guards against connection bounds that leave slots unused when one router has most of the
/// callers.
#[test]
fn a_router_that_carries_most_of_the_work_can_fill_every_slot() {
    let bounds = ConnectionBounds::new(530, 24, 61);
    assert!(bounds.open >= 24, "{bounds:?}");
}

#[test]
fn idle_connections_of_the_fleet_stay_within_the_bound() {
    let bounds = ConnectionBounds::new(530, 24, 61);
    assert!(bounds.idle * 61 <= 530, "{bounds:?}");
}

quickcheck! {
    fn one_router_never_takes_more_than_a_third_of_the_bound(
        max: u16, slots: u16, routers: u16
    ) -> bool {
        let (max, routers) = (u32::from(max).max(8), usize::from(routers).max(1));
        let bounds = ConnectionBounds::new(max, u32::from(slots), routers);
        bounds.idle <= bounds.open && bounds.open <= max / 3 && bounds.idle >= 1
    }
}
