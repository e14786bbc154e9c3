use crate::{ProcessId, RequestId, Timestamp, by_rendezvous};
use std::time::Duration;

#[test]
fn losing_one_candidate_moves_only_its_keys() {
    let candidates: Vec<ProcessId> =
        (0..9).map(|n| ProcessId::from(&*format!("10.0.0.{n}:1"))).collect();
    let lost = &candidates[4];
    let remaining: Vec<ProcessId> = candidates.iter().filter(|id| *id != lost).cloned().collect();
    for key in 0..200 {
        let key = format!("cell-{key}");
        let before = by_rendezvous(&key, &candidates);
        let after = by_rendezvous(&key, &remaining);
        if before[0] != lost {
            assert_eq!(before[0], after[0]);
        } else {
            assert_eq!(before[1], after[0]);
        }
    }
}

#[test]
fn a_request_id_round_trips_through_its_text_and_rejects_other_text() {
    let text = "0123456789abcdef0123456789abcdef";
    let id: RequestId = text.parse().expect("a valid id");
    assert_eq!(id.to_string(), text);
    assert!("0123".parse::<RequestId>().is_err());
    assert!("zz23456789abcdef0123456789abcdef".parse::<RequestId>().is_err());
}

#[test]
fn timestamps_saturate_at_both_ends() {
    assert_eq!(Timestamp::NEVER + Duration::from_secs(1), Timestamp::NEVER);
    assert_eq!(Timestamp::ZERO.since(Timestamp::from_millis(5)), Duration::ZERO);
}
