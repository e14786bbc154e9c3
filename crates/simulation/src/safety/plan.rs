//! Plans of runs: the kind of request, the faults with their steps, and the seed.

use derive_more::Display;

/// Declared retry and claim behaviour of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Promise {
    /// Not repeatable, has an idempotency key, and is refused when its claim cannot be stored.
    #[display("claim required")]
    ClaimRequired,
    /// Not repeatable, has an idempotency key, and runs without a claim when it cannot be stored.
    #[display("claim when available")]
    ClaimWhenAvailable,
    /// Not repeatable and without an idempotency key: the caller does not retry it.
    #[display("no key")]
    NoKey,
    /// Safe to repeat.
    #[display("repeatable")]
    Repeatable,
}

/// Steps of a request at which a fault can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Step {
    /// The gateway has accepted the request.
    #[display("accepted")]
    Accepted,
    /// The gateway requests the claim.
    #[display("claiming")]
    Claiming,
    /// The keeper reads the claim's shard from the platform.
    #[display("claim read")]
    ClaimRead,
    /// The keeper has sent the claim's write to the platform.
    #[display("claim written")]
    ClaimWritten,
    /// The request waits for a grant.
    #[display("queued")]
    Queued,
    /// The request has a grant and the gateway connects to the back end.
    #[display("connecting")]
    Connecting,
    /// Part of the request has been sent.
    #[display("sent in part")]
    SentPart,
    /// The complete request has been sent.
    #[display("sent whole")]
    SentWhole,
    /// The back end runs the request.
    #[display("running")]
    Running,
    /// The answer has begun to arrive.
    #[display("answer begun")]
    AnswerBegun,
    /// The complete answer has arrived.
    #[display("answer whole")]
    AnswerWhole,
}

impl Step {
    /// All steps, in order.
    pub const ALL: [Step; 11] = [
        Step::Accepted,
        Step::Claiming,
        Step::ClaimRead,
        Step::ClaimWritten,
        Step::Queued,
        Step::Connecting,
        Step::SentPart,
        Step::SentWhole,
        Step::Running,
        Step::AnswerBegun,
        Step::AnswerWhole,
    ];
}

/// Kinds of injected faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum FaultKind {
    /// The caller's gateway is killed and does not restart.
    #[display("gateway killed")]
    GatewayKilled,
    /// The caller's gateway freezes and resumes before the deadline.
    #[display("gateway frozen, short")]
    GatewayFrozenShort,
    /// The caller's gateway freezes and resumes after the deadline.
    #[display("gateway frozen, long")]
    GatewayFrozenLong,
    /// The back end is killed and restarts.
    #[display("back end killed")]
    BackendKilled,
    /// The back end freezes and resumes after the deadline.
    #[display("back end frozen")]
    BackendFrozen,
    /// The gateway and the back end are partitioned in both directions.
    #[display("back end cut off")]
    BackendCut,
    /// Messages from the back end to the gateway are dropped.
    #[display("answers cut off")]
    AnswersCut,
    /// The claim's first keeper is killed and does not restart.
    #[display("keeper killed")]
    KeeperKilled,
    /// The claim's first keeper freezes and resumes.
    #[display("keeper frozen")]
    KeeperFrozen,
    /// The platform is unavailable for a limited time.
    #[display("platform down")]
    PlatformDown,
    /// The platform answers later than the keepers' timeout.
    #[display("platform slow")]
    PlatformSlow,
    /// Writes are applied, but their answers are lost.
    #[display("platform loses answers")]
    AnswersLost,
}

impl FaultKind {
    /// All kinds, in the order of the matrix rows.
    pub const ALL: [FaultKind; 12] = [
        FaultKind::GatewayKilled,
        FaultKind::GatewayFrozenShort,
        FaultKind::GatewayFrozenLong,
        FaultKind::BackendKilled,
        FaultKind::BackendFrozen,
        FaultKind::BackendCut,
        FaultKind::AnswersCut,
        FaultKind::KeeperKilled,
        FaultKind::KeeperFrozen,
        FaultKind::PlatformDown,
        FaultKind::PlatformSlow,
        FaultKind::AnswersLost,
    ];
}

/// A fault injected at a step of the first sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// Step at which the fault is injected.
    pub step: Step,
    /// Fault that is injected.
    pub fault_kind: FaultKind,
}

/// A deliberate defect in the code, which shows that the checks can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mutation {
    /// Treats a broken exchange as one in which nothing was written.
    #[display("retry after a byte was sent")]
    RetryAfterSent,
    /// Treats a claim that could not be stored as stored.
    #[display("run without the claim")]
    RunWithoutClaim,
    /// Writes claims unconditionally.
    #[display("unconditional claim write")]
    UnconditionalWrite,
    /// Treats an unanswered write as applied, without reading it back.
    #[display("no read-back after a lost answer")]
    NoReadBack,
    /// Releases the claim of a request with unknown outcome.
    #[display("release on unknown outcome")]
    ReleaseOnUnknown,
    /// Skips the check of the deadline right before sending.
    #[display("send after the deadline")]
    SendAfterDeadline,
    /// Reports an unknown outcome as not run.
    #[display("tell unknown as not run")]
    TellUnknownAsNotRun,
}

impl Mutation {
    /// All mutations.
    pub const ALL: [Mutation; 7] = [
        Mutation::RetryAfterSent,
        Mutation::RunWithoutClaim,
        Mutation::UnconditionalWrite,
        Mutation::NoReadBack,
        Mutation::ReleaseOnUnknown,
        Mutation::SendAfterDeadline,
        Mutation::TellUnknownAsNotRun,
    ];
}

/// Inputs of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Declared retry and claim behaviour of the request.
    pub promise: Promise,
    /// Faults to inject.
    pub faults: Vec<PlannedFault>,
    /// Defect to apply to the code, if any.
    pub mutation: Option<Mutation>,
    /// Seed of the random delays.
    pub seed: u64,
}
