//! Final answers. A request has exactly one of four outcomes.

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
    /// Whole and correct answer.
    Answered {
        /// Output of the last stage.
        output: Payload,
    },
    /// Nothing of the request ran.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When asking again can help.
        retry_after_ms: Option<SpanMs>,
    },
    /// Some of the request ran and there is no answer.
    Failed {
        /// Stages that ran at least in part.
        executed_stages: Vec<StageId>,
        /// What went wrong.
        cause: FailureCause,
    },
    /// A stage that may not be repeated was sent and its reply has not come.
    Unknown {
        /// The stage.
        stage: StageId,
        /// When asking again can help, because the request is still in progress somewhere.
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

/// Outcome without its details, for counting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub enum OutcomeKind {
    /// Whole and correct answer.
    #[display("answered")]
    Answered,
    /// Nothing ran.
    #[display("not_run")]
    NotRun,
    /// Some of it ran.
    #[display("failed")]
    Failed,
    /// Not known whether it ran.
    #[display("unknown")]
    Unknown,
}

impl Outcome {
    /// Kind of this outcome.
    pub fn kind(&self) -> OutcomeKind {
        match self {
            Self::Answered { .. } => OutcomeKind::Answered,
            Self::NotRun { .. } => OutcomeKind::NotRun,
            Self::Failed { .. } => OutcomeKind::Failed,
            Self::Unknown { .. } => OutcomeKind::Unknown,
        }
    }

    /// Refusal without advice on when to come back.
    pub fn not_run(reason: NotRunReason) -> Self {
        Self::NotRun { reason, retry_after_ms: None }
    }

    /// Refusal that can be tried again after `wait`.
    pub fn not_run_retry(reason: NotRunReason, wait: SpanMs) -> Self {
        Self::NotRun { reason, retry_after_ms: Some(wait) }
    }
}
