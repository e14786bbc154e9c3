//! Port blocks of tests.

use mastbay_testbed::PortBlock;
use std::net::TcpListener;

/// A test got the answers of a process that an earlier test had left behind when it was killed.
#[test]
fn a_block_in_which_a_process_still_listens_is_not_used() {
    let mut block = PortBlock::take();
    let first = block.next_address();
    let used = block.next_address();
    drop(block);
    let _left_behind = TcpListener::bind(used).expect("free");
    assert_ne!(PortBlock::take().next_address(), first);
}
