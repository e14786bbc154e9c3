//! Tests of revision order and address matching of the machine list.

use crate::{Machine, MachineList, MachineListCache, MachineState};
use std::net::SocketAddr;

fn list(revision: u64, address: &str, state: MachineState) -> MachineList {
    let address = address.parse().expect("an address");
    MachineList { revision, machines: vec![Machine { address, zone: "a".to_owned(), state }] }
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn an_older_list_does_not_replace_a_newer_one() {
    let mut cache = MachineListCache::default();
    assert!(cache.update(list(2, "10.0.0.1:80", MachineState::Leaving)));
    assert!(!cache.update(list(1, "10.0.0.1:80", MachineState::Live)));
    assert!(cache.is_leaving(address("10.0.0.1:80")));
    assert!(!cache.is_leaving(address("10.0.0.1:81")));
}

#[test]
fn an_entry_with_port_zero_matches_all_ports() {
    let mut cache = MachineListCache::default();
    cache.update(list(1, "10.0.0.1:0", MachineState::Leaving));
    assert!(cache.is_leaving(address("10.0.0.1:81")));
    assert!(!cache.is_leaving(address("10.0.0.2:81")));
}
