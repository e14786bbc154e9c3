use crate::{ProcessId, RequestId, Timestamp, by_rendezvous};
use std::time::Duration;

#[test]
fn losing_one_candidate_moves_only_its_keys() {
    let all: Vec<ProcessId> = (0..9).map(|n| ProcessId::from(&*format!("10.0.0.{n}:1"))).collect();
    let lost = &all[4];
    let rest: Vec<ProcessId> = all.iter().filter(|id| *id != lost).cloned().collect();
    for key in 0..200 {
        let key = format!("cell-{key}");
        let before = by_rendezvous(&key, &all);
        let after = by_rendezvous(&key, &rest);
        if before[0] != lost {
            assert_eq!(before[0], after[0]);
        } else {
            assert_eq!(before[1], after[0]);
        }
    }
}

#[test]
fn a_request_id_survives_its_text_form_and_rejects_other_text() {
    let text = "0123456789abcdef0123456789abcdef";
    let id: RequestId = text.parse().expect("a valid id");
    assert_eq!(id.to_string(), text);
    assert!("0123".parse::<RequestId>().is_err());
    assert!("zz23456789abcdef0123456789abcdef".parse::<RequestId>().is_err());
}

#[test]
fn time_saturates_at_both_ends() {
    assert_eq!(Timestamp::NEVER + Duration::from_secs(1), Timestamp::NEVER);
    assert_eq!(Timestamp::ZERO.since(Timestamp::from_millis(5)), Duration::ZERO);
}
