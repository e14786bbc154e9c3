//! Connections to a back end, divided over the fleet.

use mastbay_routing::ConnectionBounds;
use quickcheck::quickcheck;

/// Found on a day on which one router of 61 had most of the callers: it was held to six connections to
/// each engine of 24 slots and refused what engines had room for.
#[test]
fn a_router_that_carries_most_of_the_work_can_fill_every_slot() {
    let bounds = ConnectionBounds::new(530, 24, 61);
    assert!(bounds.open >= 24, "{bounds:?}");
}

#[test]
fn resting_connections_of_the_fleet_stay_within_the_bound() {
    let bounds = ConnectionBounds::new(530, 24, 61);
    assert!(bounds.idle * 61 <= 530, "{bounds:?}");
}

quickcheck! {
    fn one_router_never_takes_more_than_a_part_of_the_bound(most: u16, slots: u16, routers: u16) -> bool {
        let (most, routers) = (u32::from(most).max(8), usize::from(routers).max(1));
        let bounds = ConnectionBounds::new(most, u32::from(slots), routers);
        bounds.idle <= bounds.open && bounds.open <= most / 3 && bounds.idle >= 1
    }
}
