//! Memory of bodies stays within its budget.

use mastbay_router::body_budget::BodyBudget;
use quickcheck::quickcheck;

quickcheck! {
    fn what_is_taken_never_passes_the_budget(lengths: Vec<Option<u16>>, most: u32) -> bool {
        let budget = BodyBudget::new(u64::from(most));
        let shares: Vec<_> = lengths.iter().map(|length| budget.try_reserve(length.map(u64::from))).collect();
        let kept_to = budget.used() <= u64::from(most);
        drop(shares);
        kept_to && budget.used() == 0
    }
}

#[test]
fn a_body_too_many_finds_no_room_until_another_ends() {
    let budget = BodyBudget::new(100);
    let first = budget.try_reserve(Some(60)).expect("room");
    assert!(budget.try_reserve(Some(60)).is_none());
    drop(first);
    assert!(budget.try_reserve(Some(60)).is_some());
}
