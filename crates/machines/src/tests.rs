use crate::{Machine, MachineBoard, MachineList, MachineState};
use std::net::SocketAddr;

fn list(revision: u64, address: &str, state: MachineState) -> MachineList {
    let address = address.parse().expect("an address");
    MachineList { revision, machines: vec![Machine { address, zone: "a".to_owned(), state }] }
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

#[test]
fn an_older_list_does_not_undo_a_notice() {
    let mut board = MachineBoard::default();
    assert!(board.offer(list(2, "10.0.0.1:80", MachineState::Leaving)));
    assert!(!board.offer(list(1, "10.0.0.1:80", MachineState::Live)));
    assert!(board.is_leaving(address("10.0.0.1:80")));
    assert!(!board.is_leaving(address("10.0.0.1:81")));
}

#[test]
fn port_zero_speaks_for_the_whole_machine() {
    let mut board = MachineBoard::default();
    board.offer(list(1, "10.0.0.1:0", MachineState::Leaving));
    assert!(board.is_leaving(address("10.0.0.1:81")));
    assert!(!board.is_leaving(address("10.0.0.2:81")));
}
