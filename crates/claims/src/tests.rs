use crate::{
    CallFailure, ClaimKeeper, ClaimKey, ClaimOutcome, ClaimRequest, ClaimShard, ClaimState, Intent,
    KeeperConfig, Operation, OperationKind, ShardIndex,
};
use mastbay_types::{ProcessId, RequestId, ServiceName, TenantName, Timestamp};
use quickcheck::quickcheck;
use std::collections::BTreeMap;
use std::time::Duration;

const UNIX_TIME: u64 = 1_000;

/// Fault of the platform in its next operation.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The operation takes effect but its answer is lost.
    AnswerLost,
    /// No effect and no answer.
    Down,
}

#[derive(Default)]
struct Platform {
    objects: BTreeMap<ShardIndex, (u64, Vec<u8>)>,
    writes: usize,
}

impl Platform {
    fn execute(&mut self, now: Timestamp, keeper: &mut ClaimKeeper, call: Operation, fault: Fault) {
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

fn claim_request(text: &str, number: u32, intent: Intent) -> ClaimRequest {
    ClaimRequest { key: key(text), request: request(number), intent }
}

fn gateway() -> ProcessId {
    ProcessId::from("gateway")
}

/// Runs a keeper for four seconds. Returns its answers. Faults are taken from the end of `faults`.
fn run(
    keeper: &mut ClaimKeeper,
    platform: &mut Platform,
    from: Timestamp,
    faults: &mut Vec<Fault>,
) -> Vec<(RequestId, Intent, ClaimOutcome)> {
    let mut answers = Vec::new();
    let mut now = from;
    while now < from + Duration::from_secs(4) {
        if let Some(call) = keeper.poll(now, UNIX_TIME) {
            let fault = faults.pop().unwrap_or(Fault::None);
            platform.execute(now, keeper, call, fault);
        }
        let ready = keeper.take_answers();
        answers.extend(
            ready
                .into_iter()
                .map(|(_, answer)| (answer.request.request, answer.request.intent, answer.outcome)),
        );
        now = now + Duration::from_millis(5);
    }
    answers
}

#[test]
fn one_of_two_requests_with_the_same_key_gets_the_claim() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_request(Timestamp::ZERO, &gateway(), claim_request("boat", 1, Intent::Take));
    keeper.handle_request(Timestamp::ZERO, &gateway(), claim_request("boat", 2, Intent::Take));
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut Vec::new());
    let taken = ClaimOutcome::Taken { by: request(1), state: ClaimState::Held };
    assert_eq!(
        answers,
        [(request(1), Intent::Take, ClaimOutcome::Kept), (request(2), Intent::Take, taken)]
    );
}

#[test]
fn many_claims_share_a_write() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    for number in 0..500 {
        let request = claim_request(&format!("boat-{number}"), number, Intent::Take);
        keeper.handle_request(Timestamp::ZERO, &gateway(), request);
    }
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut Vec::new());
    assert_eq!(answers.len(), 500);
    assert!(answers.iter().all(|(_, _, outcome)| *outcome == ClaimOutcome::Kept));
    assert!(platform.writes <= 16, "{} writes", platform.writes);
}

#[test]
fn a_write_whose_answer_was_lost_is_resolved_by_reading() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_request(Timestamp::ZERO, &gateway(), claim_request("boat", 1, Intent::Take));
    // The read succeeds, then the write takes effect without an answer.
    let mut faults = vec![Fault::AnswerLost, Fault::None];
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut faults);
    assert_eq!(answers, [(request(1), Intent::Take, ClaimOutcome::Kept)]);
    assert_eq!(platform.writes, 1, "reading shows the claim, which is not written again");
}

#[test]
fn claims_become_unavailable_in_time_if_the_platform_is_down() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    keeper.handle_request(Timestamp::ZERO, &gateway(), claim_request("boat", 1, Intent::Take));
    let mut faults = vec![Fault::Down; 1_000];
    let answers = run(&mut keeper, &mut platform, Timestamp::ZERO, &mut faults);
    assert_eq!(answers, [(request(1), Intent::Take, ClaimOutcome::Unavailable)]);
}

#[test]
fn a_released_claim_can_be_taken_by_other_requests_only() {
    let (mut keeper, mut platform) =
        (ClaimKeeper::new(KeeperConfig::default()), Platform::default());
    let mut now = Timestamp::ZERO;
    let mut last = Vec::new();
    for (number, intent) in
        [(1, Intent::Take), (1, Intent::Release), (1, Intent::Take), (2, Intent::Take)]
    {
        keeper.handle_request(now, &gateway(), claim_request("boat", number, intent));
        last = run(&mut keeper, &mut platform, now, &mut Vec::new());
        if (number, intent) == (1, Intent::Take) && now > Timestamp::ZERO {
            let released = ClaimOutcome::Taken { by: request(1), state: ClaimState::Released };
            assert_eq!(last, [(request(1), Intent::Take, released)]);
        }
        now = now + Duration::from_secs(10);
    }
    assert_eq!(last, [(request(2), Intent::Take, ClaimOutcome::Kept)]);
}

#[test]
fn two_keepers_that_write_the_same_shard_grant_a_claim_once() {
    let mut platform = Platform::default();
    let mut keepers =
        [ClaimKeeper::new(KeeperConfig::default()), ClaimKeeper::new(KeeperConfig::default())];
    for (index, keeper) in keepers.iter_mut().enumerate() {
        let request = claim_request("boat", index as u32, Intent::Take);
        keeper.handle_request(Timestamp::ZERO, &gateway(), request);
        // Both read the empty shard before either writes.
        let read = keeper.poll(Timestamp::ZERO, UNIX_TIME).expect("a read");
        platform.execute(Timestamp::ZERO, keeper, read, Fault::None);
    }
    let mut kept = 0;
    for keeper in &mut keepers {
        let answers = run(keeper, &mut platform, Timestamp::from_millis(50), &mut Vec::new());
        kept += answers.iter().filter(|(_, _, outcome)| *outcome == ClaimOutcome::Kept).count();
    }
    assert_eq!(kept, 1);
}

quickcheck! {
    /// A key is claimed by at most one request for any sequence of platform faults.
    fn a_key_is_claimed_by_one_request_at_most(faults: Vec<u8>, requests: u8) -> bool {
        let mut platform = Platform::default();
        let mut kept = 0;
        let mut faults: Vec<Fault> = faults
            .iter()
            .map(|fault| [Fault::None, Fault::AnswerLost, Fault::Down][usize::from(fault % 3)])
            .collect();
        let mut now = Timestamp::ZERO;
        for number in 0..u32::from(requests % 4) + 1 {
            let mut keeper = ClaimKeeper::new(KeeperConfig::default());
            keeper.handle_request(now, &gateway(), claim_request("boat", number, Intent::Take));
            let answers = run(&mut keeper, &mut platform, now, &mut faults);
            kept += answers.iter().filter(|(_, _, outcome)| *outcome == ClaimOutcome::Kept).count();
            now = now + Duration::from_secs(10);
        }
        kept <= 1
    }
}
