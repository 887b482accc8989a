//! Counters that a node raises. The displayed text of a counter is its name in the metrics.

use derive_more::Display;

/// Counter of a node, named after what it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum Counter {
    /// Requests that arrived.
    #[display("request.submitted")]
    RequestSubmitted,
    /// Requests admitted.
    #[display("request.admitted")]
    RequestAdmitted,
    /// Requests that joined one in progress with the same id.
    #[display("request.joined")]
    RequestJoined,
    /// Requests answered with the outcome of a finished request with the same id.
    #[display("request.replayed")]
    RequestReplayed,
    /// Calls that ended with the outcome `answered`.
    #[display("outcome.answered")]
    OutcomeAnswered,
    /// Calls that ended with the outcome `not_run`.
    #[display("outcome.not_run")]
    OutcomeNotRun,
    /// Calls that ended with the outcome `failed`.
    #[display("outcome.failed")]
    OutcomeFailed,
    /// Calls that ended with the outcome `unknown`.
    #[display("outcome.unknown")]
    OutcomeUnknown,
    /// Requests refused because the access key is missing or does not open the workspace.
    #[display("access.refused")]
    AccessRefused,
    /// Attempts dispatched.
    #[display("attempt.dispatched")]
    AttemptDispatched,
    /// Attempts that retry a failed one.
    #[display("attempt.retried")]
    AttemptRetried,
    /// Hedges: attempts sent while a slow one is still in progress.
    #[display("attempt.hedged")]
    AttemptHedged,
    /// Hedges that finished first.
    #[display("attempt.hedge_won")]
    HedgeWon,
    /// Attempts that resume a stream at another endpoint.
    #[display("attempt.resumed")]
    AttemptResumed,
    /// Attempts that expired before a byte was sent.
    #[display("attempt.expired")]
    AttemptExpired,
    /// Retries that the retry budget did not allow.
    #[display("retry.over_budget")]
    RetryOverBudget,
    /// Results that arrived after their attempt had ended.
    #[display("result.late")]
    ResultLate,
    /// Results that carry the tag of another attempt.
    #[display("result.foreign")]
    ResultForeign,
    /// Stream parts dropped because their tokens repeat earlier ones.
    #[display("result.token_repeated")]
    ResultTokenRepeated,
    /// Attempts ended because tokens were missing in their stream.
    #[display("result.token_gap")]
    ResultTokenGap,
    /// Endpoints ejected.
    #[display("endpoint.ejected")]
    EndpointEjected,
    /// Ejections that the ejection cap did not allow.
    #[display("endpoint.ejection_capped")]
    EndpointEjectionCapped,
    /// Contents put in quarantine.
    #[display("quarantine.added")]
    QuarantineAdded,
    /// Claims acquired.
    #[display("claim.held")]
    ClaimHeld,
    /// Claims released when their request ended.
    #[display("claim.released")]
    ClaimReleased,
    /// Claims settled with an outcome or a stage output.
    #[display("claim.settled")]
    ClaimSettled,
    /// Claims given up because the table service was unavailable or too slow.
    #[display("claim.unavailable")]
    ClaimUnavailable,
    /// Transactions that commit batched claims.
    #[display("claim.batches")]
    ClaimBatchSent,
    /// Rows in those transactions.
    #[display("claim.rows")]
    ClaimRowSent,
    /// Requests to the table service.
    #[display("table.requests")]
    TableRequestSent,
    /// Requests to the table service that failed or whose reply was lost.
    #[display("table.failed")]
    TableRequestFailed,
    /// List changes and snapshots applied.
    #[display("lists.applied")]
    ListChangeApplied,
    /// List changes ignored because the same or a later version is in force.
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
    /// Orders that an endpoint refused because of an old fencing number.
    #[display("order.fenced")]
    OrderFenced,
    /// Order leases acquired.
    #[display("lease.taken")]
    LeaseTaken,
    /// Order leases that expired before they were renewed.
    #[display("lease.lapsed")]
    LeaseLapsed,
    /// Requests resumed from the progress that another VM had shared.
    #[display("resume.taken_up")]
    RequestResumedFromPeer,
}
