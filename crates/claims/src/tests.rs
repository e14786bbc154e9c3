use crate::{
    CallFailure, ClaimKeeper, ClaimKey, ClaimRequest, ClaimShard, ClaimState, Intent, KeeperConfig,
    Operation, OperationKind, ShardIndex, Verdict,
};
use mastbay_types::{ProcessId, RequestId, ServiceName, TenantName, Timestamp};
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::time::Duration;

const UNIX_TIME: u64 = 1_000;

/// What the platform does with the next write.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Takes effect, but the answer is lost.
    AnswerLost,
    /// Has no effect and no answer.
    Down,
}

#[derive(Default)]
struct Platform {
    objects: BTreeMap<ShardIndex, (u64, Vec<u8>)>,
    writes: usize,
}

impl Platform {
    fn carry_out(
        &mut self,
        now: Timestamp,
        keeper: &mut ClaimKeeper,
        call: Operation,
        fault: Fault,
    ) {
        match call.kind {
            OperationKind::Read => {
                let found = self.objects.get(&call.shard).map(|(version, bytes)| {
                    (*version, ClaimShard::decode(bytes).expect("a shard"))
                });
                let outcome =
                    if fault == Fault::Down { Err(CallFailure::NoAnswer) } else { Ok(found) };
                keeper.handle_read(now, call.shard, outcome);
            }
            OperationKind::Write { expected, value } => {
                let outcome = self.write(call.shard, expected, value, fault);
                keeper.handle_write(now, call.shard, outcome);
            }
        }
    }

    fn write(
        &mut self,
        shard: ShardIndex,
        expected: Option<u64>,
        value: Vec<u8>,
        fault: Fault,
    ) -> Result<u64, CallFailure> {
        self.writes += 1;
        if fault == Fault::Down {
            return Err(CallFailure::NoAnswer);
        }
        let current = self.objects.get(&shard).map(|(version, _)| *version);
        if current != expected {
            return Err(CallFailure::Conflict);
        }
        let version = current.unwrap_or(0) + 1;
        self.objects.insert(shard, (version, value));
        if fault == Fault::AnswerLost { Err(CallFailure::NoAnswer) } else { Ok(version) }
    }
}

fn request(number: u32) -> RequestId {
    format!("{number:032x}").parse().expect("a request id")
}

fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&TenantName::from("desk"), &ServiceName::from("bookings"), text)
}

fn wish(text: &str, number: u32, intent: Intent) -> ClaimRequest {
    ClaimRequest { key: key(text), request: request(number), intent }
}

fn gateway() -> ProcessId {
    ProcessId::from("gateway")
}

/// Runs a keeper until it answered everything or `span` has passed.
fn run(
    keeper: &mut ClaimKeeper,
    platform: &mut Platform,
    from: Timestamp,
    faults: &mut Vec<Fault>,
) -> Vec<(RequestId, Intent, Verdict)> {
    let mut answers = Vec::new();
    let mut now = from;
    while now < from + Duration::from_secs(4) {
        if let Some(call) = keeper.poll(now, UNIX_TIME) {
            let fault = faults.pop().unwrap_or(Fault::None);
            platform.carry_out(now, keeper, call, fault);
        }
        let ready = keeper.take_answers();
        answers.extend(
            ready
                .into_iter()
                .map(|(_, answer)| (answer.wish.request, answer.wish.intent, answer.verdict)),
        );
        now = now + Duration::from_millis(5);
    }
    answers
}

#[test]
fn one_of_two_requests_with_the_same_key_gets_the_claim() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_wish(Timestamp::ZERO, &gateway(), wish("boat", 1, Intent::Take));
    keeper.handle_wish(Timestamp::ZERO, &gateway(), wish("boat", 2, Intent::Take));
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut Vec::new());
    let taken = Verdict::Taken { by: request(1), state: ClaimState::Held };
    assert_eq!(
        answers,
        [(request(1), Intent::Take, Verdict::Kept), (request(2), Intent::Take, taken)]
    );
}

#[test]
fn many_claims_share_a_write() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    for number in 0..500 {
        let wish = wish(&format!("boat-{number}"), number, Intent::Take);
        keeper.handle_wish(Timestamp::ZERO, &gateway(), wish);
    }
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut Vec::new());
    assert_eq!(answers.len(), 500);
    assert!(answers.iter().all(|(_, _, verdict)| *verdict == Verdict::Kept));
    assert!(platform.writes <= 16, "{} writes", platform.writes);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_wish(Timestamp::ZERO, &gateway(), wish("boat", 1, Intent::Take));
    // The read succeeds, then the write takes effect without an answer.
    let mut faults = vec![Fault::AnswerLost, Fault::None];
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut faults);
    assert_eq!(answers, [(request(1), Intent::Take, Verdict::Kept)]);
    assert_eq!(platform.writes, 1, "the read-back shows the claim; nothing is written again");
}

#[test]
fn a_platform_that_is_down_makes_claims_unavailable_in_time() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_wish(Timestamp::ZERO, &gateway(), wish("boat", 1, Intent::Take));
    let mut faults = vec![Fault::Down; 1_000];
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut faults);
    assert_eq!(answers, [(request(1), Intent::Take, Verdict::Unavailable)]);
}

#[test]
fn a_released_claim_may_be_taken_again_but_not_by_the_request_that_gave_it_up() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    let mut now = Timestamp::ZERO;
    let mut last = Vec::new();
    for (number, intent) in
        [(1, Intent::Take), (1, Intent::Release), (1, Intent::Take), (2, Intent::Take)]
    {
        keeper.handle_wish(now, &gateway(), wish("boat", number, intent));
        last = run(&mut keeper, &mut platform, now, &mut Vec::new());
        if (number, intent) == (1, Intent::Take) && now > Timestamp::ZERO {
            let over = Verdict::Taken { by: request(1), state: ClaimState::Released };
            assert_eq!(last, [(request(1), Intent::Take, over)]);
        }
        now = now + Duration::from_secs(10);
    }
    assert_eq!(last, [(request(2), Intent::Take, Verdict::Kept)]);
}

#[test]
fn two_keepers_that_both_believe_they_own_a_shard_give_a_claim_once() {
    let mut platform = Platform::default();
    let mut keepers =
        [ClaimKeeper::new(KeeperConfig::default()), ClaimKeeper::new(KeeperConfig::default())];
    for (index, keeper) in keepers.iter_mut().enumerate() {
        let wish = wish("boat", index as u32, Intent::Take);
        keeper.handle_wish(Timestamp::ZERO, &gateway(), wish);
        // Both read the empty shard before either writes.
        let read = keeper.poll(Timestamp::ZERO, UNIX_TIME).expect("a read");
        platform.carry_out(Timestamp::ZERO, keeper, read, Fault::None);
    }
    let mut kept = 0;
    for keeper in &mut keepers {
        let answers = run(keeper, &mut platform, Timestamp::from_millis(50), &mut Vec::new());
        kept += answers.iter().filter(|(_, _, verdict)| *verdict == Verdict::Kept).count();
    }
    assert_eq!(kept, 1);
}

quickcheck! {
    /// Whatever faults the platform has, a key is kept for one request at most.
    fn a_key_is_kept_for_one_request_at_most(faults: Vec<u8>, requests: u8) -> bool {
        let mut platform = Platform::default();
        let mut kept = 0;
        let mut faults: Vec<Fault> = faults
            .iter()
            .map(|fault| [Fault::None, Fault::AnswerLost, Fault::Down][usize::from(fault % 3)])
            .collect();
        let mut now = Timestamp::ZERO;
        for number in 0..u32::from(requests % 4) + 1 {
            let mut keeper = ClaimKeeper::new(KeeperConfig::default());
            keeper.handle_wish(now, &gateway(), wish("boat", number, Intent::Take));
            let answers = run(&mut keeper, &mut platform, now, &mut faults);
            kept += answers.iter().filter(|(_, _, verdict)| *verdict == Verdict::Kept).count();
            now = now + Duration::from_secs(10);
        }
        kept <= 1
    }
}
