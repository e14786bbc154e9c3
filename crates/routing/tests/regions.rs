//! Requests are placed only in the regions that their route and tenant allow.

mod support;

use mastbay_routing::{
    Admission, AllowedRegions, BackEndList, Demand, Dispatcher, DispatcherLimits, Refusal,
    RefusalReason, ZoneRegions,
};
use mastbay_types::Timestamp;
use quickcheck::quickcheck;
use support::{MODEL, PLAIN, at, back_end, configuration, demand, limits, prompt};

const ZONES: [(&str, &str); 4] = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "west")];

/// Returns eight engines and two plain back ends per zone. Zone `e` has no known region.
fn back_ends() -> BackEndList {
    let mut list = BackEndList { revision: 2.into(), back_ends: Vec::new() };
    for zone in ["a", "b", "c", "d", "e"] {
        for index in 0..10 {
            let service = if index < 8 { MODEL } else { PLAIN };
            let mut one = back_end(&format!("{zone}{index}"), service, 4);
            one.zone = zone.to_owned();
            list.back_ends.push(one);
        }
    }
    list
}

fn router() -> Dispatcher {
    let zones = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let regions = ZoneRegions::from_iter(zones);
    let limits = DispatcherLimits { regions, ..limits() };
    let mut router = Dispatcher::new(limits, support::peer(1), support::address(1));
    router.on_configuration(&configuration(None));
    router.on_back_ends(Timestamp::ZERO, &back_ends());
    router
}

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().map(|region| (*region).to_owned()))
}

fn admit(router: &mut Dispatcher, regions: &AllowedRegions, subject: Option<u64>) -> Admission {
    let prompt = subject.map(|subject| prompt(subject, subject, 40));
    let demand = Demand { regions: regions.clone(), ..demand(at(10), prompt, "t") };
    router.admit(at(10), demand, 0.5)
}

/// Fills the fleet with requests. Returns the zones in which any were placed.
fn zones_used(router: &mut Dispatcher, regions: &AllowedRegions, is_plain: bool) -> Vec<String> {
    let mut zones = Vec::new();
    for subject in 0..400 {
        let admission = admit(router, regions, (!is_plain).then_some(subject));
        if let Admission::Placed(placement) = admission {
            zones.push(placement.back_end.zone);
        }
    }
    zones.sort();
    zones.dedup();
    zones
}

#[test]
fn requests_stay_in_their_regions() {
    for is_plain in [true, false] {
        assert_eq!(zones_used(&mut router(), &only(&["south"]), is_plain), ["c"]);
        assert_eq!(zones_used(&mut router(), &only(&["north", "west"]), is_plain), ["a", "b", "d"]);
    }
    assert_eq!(zones_used(&mut router(), &AllowedRegions::default(), false).len(), 5);
}

/// Waiting cannot help a request without an allowed region.
#[test]
fn a_request_that_no_region_may_serve_is_refused_at_once() {
    let mut router = router();
    for regions in [only(&["east"]), only(&[])] {
        for subject in [None, Some(1)] {
            match admit(&mut router, &regions, subject) {
                Admission::Refused(Refusal { reason, .. }) => {
                    assert_eq!(reason, RefusalReason::NoBackEndInRegion);
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

quickcheck! {
    fn a_region_is_allowed_if_route_and_tenant_both_allow_it(route: Option<Vec<u8>>, tenant: Option<Vec<u8>>) -> bool {
        let regions = |named: &Option<Vec<u8>>| match named {
            Some(named) => AllowedRegions::only(named.iter().map(|one| (one % 6).to_string())),
            None => AllowedRegions::default(),
        };
        let (route, tenant) = (regions(&route), regions(&tenant));
        let both = route.and(&tenant);
        (0..6).all(|region| {
            let region = region.to_string();
            both.allow(Some(&region)) == (route.allow(Some(&region)) && tenant.allow(Some(&region)))
        })
    }
}
