//! Names of all counters.

use derive_more::Display;

/// Counter raised by the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Counter {
    /// Requests that arrived.
    #[display("request.submitted")]
    RequestSubmitted,
    /// Requests admitted.
    #[display("request.admitted")]
    RequestAdmitted,
    /// Requests joined to one in progress with the same id.
    #[display("request.joined")]
    RequestJoined,
    /// Answers taken from a finished request with the same id.
    #[display("request.replayed")]
    RequestReplayed,
    /// Outcome `answered`.
    #[display("outcome.answered")]
    OutcomeAnswered,
    /// Outcome `not_run`.
    #[display("outcome.not_run")]
    OutcomeNotRun,
    /// Outcome `failed`.
    #[display("outcome.failed")]
    OutcomeFailed,
    /// Outcome `unknown`.
    #[display("outcome.unknown")]
    OutcomeUnknown,
    /// Refusals because of a missing or foreign key.
    #[display("access.refused")]
    AccessRefused,
    /// Attempts dispatched.
    #[display("attempt.dispatched")]
    AttemptDispatched,
    /// Attempts that repeat a failed one.
    #[display("attempt.retried")]
    AttemptRetried,
    /// Attempts sent beside a slow one.
    #[display("attempt.hedged")]
    AttemptHedged,
    /// Hedges that finished first.
    #[display("attempt.hedge_won")]
    HedgeWon,
    /// Streams continued at another engine.
    #[display("attempt.resumed")]
    AttemptResumed,
    /// Attempts whose time was over before a byte left.
    #[display("attempt.expired")]
    AttemptExpired,
    /// Retries that the budget refused.
    #[display("retry.over_budget")]
    RetryOverBudget,
    /// Results of attempts that had ended already.
    #[display("result.late")]
    ResultLate,
    /// Results that name another attempt.
    #[display("result.foreign")]
    ResultForeign,
    /// Tokens that repeat earlier ones and were dropped.
    #[display("result.token_repeated")]
    ResultTokenRepeated,
    /// Streams with a gap; the attempt is given up.
    #[display("result.token_gap")]
    ResultTokenGap,
    /// Endpoints ejected.
    #[display("endpoint.ejected")]
    EndpointEjected,
    /// Ejections that the cap refused.
    #[display("endpoint.ejection_capped")]
    EndpointEjectionCapped,
    /// Contents put in quarantine.
    #[display("quarantine.added")]
    QuarantineAdded,
    /// Claims written.
    #[display("claim.held")]
    ClaimHeld,
    /// Claims released before a dispatch.
    #[display("claim.released")]
    ClaimReleased,
    /// Claims settled with an outcome.
    #[display("claim.settled")]
    ClaimSettled,
    /// Claims that could not be written.
    #[display("claim.unavailable")]
    ClaimUnavailable,
    /// Transactions of grouped claims.
    #[display("claim.batches")]
    ClaimBatchSent,
    /// Rows written by grouped claims.
    #[display("claim.rows")]
    ClaimRowSent,
    /// Requests to the table service.
    #[display("table.requests")]
    TableRequestSent,
    /// Requests to the table service that failed or whose reply was lost.
    #[display("table.failed")]
    TableRequestFailed,
    /// List changes applied.
    #[display("lists.applied")]
    ListChangeApplied,
    /// List changes ignored because a later version is in force.
    #[display("lists.stale_ignored")]
    ListChangeStale,
    /// Messages from an earlier incarnation of a VM.
    #[display("peer.stale")]
    PeerMessageStale,
    /// VMs declared dead.
    #[display("member.dead")]
    MemberDead,
    /// Orders sent to endpoints.
    #[display("order.sent")]
    OrderSent,
    /// Orders refused because of an old fencing number.
    #[display("order.fenced")]
    OrderFenced,
    /// Leases taken.
    #[display("lease.taken")]
    LeaseTaken,
    /// Leases given up because they ran out.
    #[display("lease.lapsed")]
    LeaseLapsed,
    /// Requests taken up from another VM's progress.
    #[display("resume.taken_up")]
    RequestResumedFromPeer,
}
