//! When a router sheds, rejects or forwards new connections.

mod support;

use mastbay_routing::{OverloadGuard, PeerCapacity, Tick, TickLag};
use std::time::Duration;
use support::at;

const PERIOD: Duration = Duration::from_millis(8);

fn tick(lag_ms: u64) -> Tick {
    Tick {
        period: PERIOD,
        lag: TickLag { busy: Duration::from_millis(lag_ms), idle: Duration::ZERO },
        connections: 0.1,
        peers: PeerCapacity { in_zone: 14, ..PeerCapacity::default() },
    }
}

/// Runs ticks from `start` to `end`, in milliseconds. Returns the changes of shedding with their
/// times.
fn changes(guard: &mut OverloadGuard, start: u64, end: u64, tick: Tick) -> Vec<(u64, bool)> {
    let mut seen = Vec::new();
    let mut now = start;
    while now < end {
        now += (tick.period + tick.lag.total()).as_millis() as u64;
        if let Some(shedding) = guard.on_tick(at(now), tick) {
            seen.push((now, shedding));
        }
    }
    seen
}

/// One router must not stay overloaded with all callers of a tenant while its peers are idle.
#[test]
fn an_overloaded_router_sheds_within_a_second() {
    let mut guard = OverloadGuard::default();
    let seen = changes(&mut guard, 0, 2_000, tick(80));
    assert!(matches!(seen[..], [(when, true)] if when < 700), "{seen:?}");
}

#[test]
fn a_router_that_keeps_up_does_not_shed() {
    let mut guard = OverloadGuard::default();
    assert_eq!(changes(&mut guard, 0, 20_000, tick(4)), []);
}

/// A process that its machine runs for 12 of 100 ms is late all the time and has little to do.
#[test]
fn a_router_that_is_not_run_all_the_time_is_not_overloaded() {
    let mut guard = OverloadGuard::default();
    let lag = TickLag { busy: Duration::ZERO, idle: Duration::from_millis(88) };
    assert_eq!(changes(&mut guard, 0, 20_000, Tick { lag, ..tick(0) }), []);
    assert_eq!((guard.rejected_fraction(), guard.offloaded_fraction()), (0.0, 0.0));
    assert!(!guard.is_under_pressure());
    assert!(guard.lateness().not_run > 0.8);
}

#[test]
fn one_long_pause_is_no_overload() {
    let mut guard = OverloadGuard::default();
    assert_eq!(guard.on_tick(at(500), tick(1_500)), None);
    assert_eq!(changes(&mut guard, 500, 5_000, tick(1)), []);
}

#[test]
fn a_router_that_has_caught_up_stops_shedding() {
    let mut guard = OverloadGuard::default();
    changes(&mut guard, 0, 1_000, tick(80));
    let seen = changes(&mut guard, 1_000, 6_000, tick(1));
    assert!(matches!(seen[..], [(when, false)] if when < 4_500), "{seen:?}");
}

#[test]
fn a_router_that_is_overloaded_again_sheds_for_longer() {
    let mut guard = OverloadGuard::default();
    changes(&mut guard, 0, 1_000, tick(80));
    changes(&mut guard, 1_000, 5_000, tick(1));
    let again = changes(&mut guard, 5_000, 6_500, tick(80));
    assert!(matches!(again[..], [(_, true)]), "{again:?}");
    let seen = changes(&mut guard, 6_500, 20_000, tick(1));
    assert!(matches!(seen[..], [(when, false)] if when - again[0].0 >= 6_000), "{seen:?}");
}

#[test]
fn many_open_connections_are_an_overload_too() {
    let mut guard = OverloadGuard::default();
    let many_connections = Tick { connections: 0.7, ..tick(0) };
    assert_eq!(guard.on_tick(at(8), many_connections), Some(true));
}

/// Load balancers that find most routers of a zone shedding use all of them again, including the
/// overloaded ones.
#[test]
fn most_of_a_zone_stays_ready() {
    let mut guard = OverloadGuard::default();
    let with = |in_zone: usize, shedding: usize| Tick {
        peers: PeerCapacity { in_zone, shedding, ..PeerCapacity::default() },
        ..tick(80)
    };
    assert_eq!(changes(&mut guard, 0, 3_000, with(14, 6)), []);
    assert_eq!(changes(&mut guard, 3_000, 6_000, with(2, 1)), []);
    assert_eq!(changes(&mut guard, 6_000, 9_000, with(0, 0)), []);
    assert_eq!(changes(&mut guard, 9_000, 9_500, with(2, 0)).len(), 1);
}

/// Load balancers move all callers of a tenant together, which would overload one router after the
/// other.
#[test]
fn connections_beyond_the_capacity_are_rejected_at_once() {
    let mut guard = OverloadGuard::default();
    changes(&mut guard, 0, 500, tick(40));
    assert!(guard.rejected_fraction() > 0.3, "{}", guard.rejected_fraction());
    changes(&mut guard, 500, 1_500, tick(2));
    assert_eq!(guard.rejected_fraction(), 0.0);
}

#[test]
fn some_connections_are_accepted_however_late_the_router_is() {
    let mut guard = OverloadGuard::default();
    changes(&mut guard, 0, 5_000, tick(500));
    assert!(guard.rejected_fraction() < 1.0);
}

#[test]
fn a_router_is_under_pressure_before_it_rejects_connections() {
    let mut guard = OverloadGuard::default();
    changes(&mut guard, 0, 1_000, tick(4));
    assert!(guard.is_under_pressure());
    assert_eq!(guard.rejected_fraction(), 0.0);
    changes(&mut guard, 1_000, 2_000, tick(0));
    assert!(!guard.is_under_pressure());
}

/// Load balancers send a client to one router at a time, and only the larger ones may have the CPU
/// to serve it.
#[test]
fn small_routers_shed_for_longer_if_there_are_larger_ones() {
    let mut guard = OverloadGuard::default();
    let larger = PeerCapacity { in_zone: 14, larger: 0.1, ..PeerCapacity::default() };
    changes(&mut guard, 0, 1_100, Tick { peers: larger, ..tick(80) });
    let seen = changes(&mut guard, 1_100, 90_000, Tick { peers: larger, ..tick(1) });
    assert!(matches!(seen[..], [(when, false)] if when > 50_000), "{seen:?}");
}

#[test]
fn a_router_among_smaller_ones_keeps_its_callers() {
    let mut guard = OverloadGuard::default();
    let smaller = PeerCapacity { in_zone: 14, smaller: 0.9, ..PeerCapacity::default() };
    assert_eq!(changes(&mut guard, 0, 5_000, Tick { peers: smaller, ..tick(80) }), []);
    assert!(guard.rejected_fraction() > 0.5);
}

#[test]
fn connections_are_forwarded_to_peers_before_any_is_rejected() {
    let mut guard = OverloadGuard::default();
    assert_eq!(guard.offloaded_fraction(), 0.0);
    changes(&mut guard, 0, 1_000, tick(4));
    assert!(guard.offloaded_fraction() > 0.3);
    assert_eq!(guard.rejected_fraction(), 0.0);
}

/// A load balancer sends one client to the first ready router and uses all routers again if fewer
/// than half are ready. The client must not get stuck at a small router once the maximum number of
/// routers shed: forwarding makes it reach the two large ones behind thirteen small ones.
#[test]
fn a_client_reaches_a_large_router_wherever_the_balancer_sends_it() {
    const ROUTERS: usize = 15;
    const FIRST_LARGE: usize = 13;
    /// Requests per second of the client.
    const REQUEST_RATE: f64 = 900.0;
    /// Requests per second that a small router can serve.
    const SMALL_CAPACITY: f64 = 400.0;
    /// Cost of forwarding a request relative to serving it.
    const FORWARDING_COST: f64 = 0.25;
    let mut guards = vec![OverloadGuard::default(); ROUTERS];
    let mut served = 0.0;
    let ticks = 3_000_u64;
    for tick_number in 0..ticks {
        let shedding = guards.iter().filter(|guard| guard.is_shedding()).count();
        let is_any_used = ROUTERS - shedding < ROUTERS.div_ceil(2);
        let first_ready = guards.iter().position(|guard| !guard.is_shedding());
        let router = if is_any_used { 0 } else { first_ready.unwrap_or(0) };
        let forwarded = REQUEST_RATE * guards[router].offloaded_fraction();
        let kept = REQUEST_RATE - forwarded;
        let work = kept + forwarded * FORWARDING_COST;
        let is_overloaded = router < FIRST_LARGE && work > SMALL_CAPACITY;
        let served_fraction = if is_overloaded { SMALL_CAPACITY / work } else { 1.0 };
        served += served_fraction / ticks as f64;
        for (index, guard) in guards.iter_mut().enumerate() {
            let own = usize::from(guard.is_shedding());
            let peers = PeerCapacity {
                in_zone: 14,
                shedding: shedding - own,
                larger: 2.0 / 14.0,
                smaller: 0.0,
            };
            let lag = if index == router && is_overloaded { 80 } else { 0 };
            guard.on_tick(at(10 * tick_number), Tick { peers, ..tick(lag) });
        }
    }
    assert!(served > 0.8, "{served} of the client's requests are served in 30 s");
}
