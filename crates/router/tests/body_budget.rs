//! Memory for bodies stays within its budget.

use mastbay_router::body_budget::BodyBudget;
use quickcheck::quickcheck;

quickcheck! {
    fn reservations_never_exceed_the_budget(lengths: Vec<Option<u16>>, limit: u32) -> bool {
        let budget = BodyBudget::new(u64::from(limit));
        let reservations: Vec<_> = lengths.iter().map(|length| budget.try_reserve(length.map(u64::from))).collect();
        let is_within_limit = budget.used() <= u64::from(limit);
        drop(reservations);
        is_within_limit && budget.used() == 0
    }
}

#[test]
fn a_body_over_the_budget_is_rejected_until_another_ends() {
    let budget = BodyBudget::new(100);
    let first = budget.try_reserve(Some(60)).expect("capacity");
    assert!(budget.try_reserve(Some(60)).is_none());
    drop(first);
    assert!(budget.try_reserve(Some(60)).is_some());
}
