//! Outcomes of requests: every request ends with exactly one of four.
//!
//! The comment of a variant of [`NotRunReason`] or [`FailureCause`] is the reason shown to the caller.

use derive_more::Display;

use crate::{Payload, SpanMs, StageId};

/// Why nothing of a request ran.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum NotRunReason {
    /// this VM is draining
    Draining,
    /// this VM has no list version yet
    NoLists,
    /// this VM hears neither the table service nor another VM
    Isolated,
    /// the key does not open this workspace
    Forbidden,
    /// pipeline {0} does not exist
    UnknownPipeline(String),
    /// the allowlist does not hold {0}
    NotAllowed(String),
    /// a request with this pipeline must carry idempotency_key
    KeyRequired,
    /// the plan's rate is used up
    RateLimited,
    /// the plan's requests in progress are used up
    TooManyInFlight,
    /// predicted {predicted} of {left} left
    DeadlineTooShort {
        /// Predicted time of all stages.
        predicted: SpanMs,
        /// Time left before the deadline.
        left: SpanMs,
    },
    /// more valuable work fills the queue
    Shed,
    /// the deadline passed before an endpoint was free
    DeadlinePassed,
    /// no endpoint can run stage {0}
    NoEndpoint(StageId),
    /// the content is in quarantine
    Quarantined,
    /// another VM is testing whether the content crashes endpoints
    UnderTrial,
    /// the claim could not be written; nothing of this send ran
    ClaimUnavailable,
    /// the key was used for other content
    KeyConflict,
    /// the request is malformed
    Malformed,
    /// the caller went away before anything ran
    CallerDisconnected,
}

/// Final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Complete and correct answer.
    Answered {
        /// Output of the last stage.
        output: Payload,
    },
    /// No stage of the request ran.
    NotRun {
        /// Why it was refused.
        reason: NotRunReason,
        /// Time after which a retry may succeed.
        retry_after_ms: Option<SpanMs>,
    },
    /// Part of the request ran, and it has no answer.
    Failed {
        /// Stages that ran at least in part.
        executed_stages: Vec<StageId>,
        /// Why there is no answer.
        cause: FailureCause,
    },
    /// A stage that must not be repeated was sent and its reply has not arrived.
    Unknown {
        /// Stage that was sent.
        stage: StageId,
        /// Time after which a retry may get the result, if the request is still in progress on a VM.
        retry_after_ms: Option<SpanMs>,
    },
}

/// Why a request that ran in part has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum FailureCause {
    /// the deadline passed
    DeadlinePassed,
    /// no attempt succeeded
    AttemptsExhausted,
    /// the content is in quarantine
    Quarantined,
    /// the endpoint refused the input
    Rejected,
    /// the caller went away
    CallerDisconnected,
}

/// Kind of an outcome, as it is counted and sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum OutcomeKind {
    /// Complete and correct answer.
    #[display("answered")]
    Answered,
    /// No stage ran.
    #[display("not_run")]
    NotRun,
    /// Part of the request ran.
    #[display("failed")]
    Failed,
    /// Whether the non-repeatable stage ran is not known.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Returns the kind of this outcome.
    pub fn kind(&self) -> OutcomeKind {
        match self {
            Self::Answered { .. } => OutcomeKind::Answered,
            Self::NotRun { .. } => OutcomeKind::NotRun,
            Self::Failed { .. } => OutcomeKind::Failed,
            Self::Unknown { .. } => OutcomeKind::Unknown,
        }
    }

    /// Creates a refusal without a retry time.
    pub fn not_run(reason: NotRunReason) -> Self {
        Self::NotRun { reason, retry_after_ms: None }
    }

    /// Creates a refusal after which a retry may succeed once `wait` has passed.
    pub fn not_run_retry(reason: NotRunReason, wait: SpanMs) -> Self {
        Self::NotRun { reason, retry_after_ms: Some(wait) }
    }
}
