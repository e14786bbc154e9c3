//! What is tried: which request, which trouble at which step, which seed.

use derive_more::Display;

/// What was declared for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Promise {
    /// May not be repeated, carries a key, is refused when its claim cannot be kept.
    #[display("claim required")]
    ClaimRequired,
    /// May not be repeated, carries a key, runs without claim when that cannot be kept.
    #[display("claim when available")]
    ClaimWhenAvailable,
    /// May not be repeated and carries no key: its caller does not repeat it.
    #[display("no key")]
    NoKey,
    /// May be repeated.
    #[display("repeatable")]
    Repeatable,
}

/// Steps of a request at which trouble may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Step {
    /// Accepted, before anything else.
    #[display("accepted")]
    Accepted,
    /// Its claim is asked for.
    #[display("claiming")]
    Claiming,
    /// The claim's shard is read from the platform.
    #[display("claim read")]
    ClaimRead,
    /// The claim's write is at the platform.
    #[display("claim written")]
    ClaimWritten,
    /// It waits for a grant.
    #[display("queued")]
    Queued,
    /// It has a grant and connects.
    #[display("connecting")]
    Connecting,
    /// A part of it was sent.
    #[display("sent in part")]
    SentPart,
    /// The whole of it was sent.
    #[display("sent whole")]
    SentWhole,
    /// It runs.
    #[display("running")]
    Running,
    /// Its answer has begun to arrive.
    #[display("answer begun")]
    AnswerBegun,
    /// Its answer has arrived whole.
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

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Trouble {
    /// The caller's gateway dies.
    #[display("gateway killed")]
    GatewayKilled,
    /// The caller's gateway stands still for a while within the deadline.
    #[display("gateway frozen, short")]
    GatewayFrozenShort,
    /// The caller's gateway stands still beyond the deadline and wakes.
    #[display("gateway frozen, long")]
    GatewayFrozenLong,
    /// The back end dies and starts again.
    #[display("back end killed")]
    BackendKilled,
    /// The back end stands still beyond the deadline and wakes.
    #[display("back end frozen")]
    BackendFrozen,
    /// Nothing passes between gateway and back end, either way.
    #[display("back end cut off")]
    BackendCut,
    /// Nothing passes from the back end to the gateway.
    #[display("answers cut off")]
    AnswersCut,
    /// The keeper of the claim dies.
    #[display("keeper killed")]
    KeeperKilled,
    /// The keeper of the claim stands still and wakes.
    #[display("keeper frozen")]
    KeeperFrozen,
    /// The platform is down for a while.
    #[display("platform down")]
    PlatformDown,
    /// The platform is slower than its callers wait.
    #[display("platform slow")]
    PlatformSlow,
    /// Writes take effect, but their answers are lost.
    #[display("platform loses answers")]
    AnswersLost,
}

impl Trouble {
    /// All troubles.
    pub const ALL: [Trouble; 12] = [
        Trouble::GatewayKilled,
        Trouble::GatewayFrozenShort,
        Trouble::GatewayFrozenLong,
        Trouble::BackendKilled,
        Trouble::BackendFrozen,
        Trouble::BackendCut,
        Trouble::AnswersCut,
        Trouble::KeeperKilled,
        Trouble::KeeperFrozen,
        Trouble::PlatformDown,
        Trouble::PlatformSlow,
        Trouble::AnswersLost,
    ];
}

/// Trouble at a step of the first request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannedFault {
    /// The step.
    pub step: Step,
    /// The trouble.
    pub trouble: Trouble,
}

/// A deliberate fault of the code, to show that the checks can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Mutation {
    /// A broken exchange counts as one in which nothing was written.
    #[display("retry after a byte was sent")]
    RetryAfterSent,
    /// A claim that could not be kept counts as kept.
    #[display("run without the claim")]
    RunWithoutClaim,
    /// A claim's write is not conditional.
    #[display("unconditional claim write")]
    UnconditionalWrite,
    /// A write without answer counts as written, without reading back.
    #[display("no read-back after a lost answer")]
    NoReadBack,
    /// A request with unknown outcome gives its claim back.
    #[display("release on unknown outcome")]
    ReleaseOnUnknown,
    /// The deadline is not looked at right before sending.
    #[display("send after the deadline")]
    SendAfterDeadline,
    /// An unknown outcome is told as not run.
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

/// One try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What was declared for the request.
    pub promise: Promise,
    /// What goes wrong.
    pub faults: Vec<PlannedFault>,
    /// A deliberate fault of the code.
    pub mutation: Option<Mutation>,
    /// Seed of the delays.
    pub seed: u64,
}
