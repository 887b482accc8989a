//! Claim row in the table service.

use boragepass_types::{ContentDigest, Incarnation, Payload, VmId};

/// Claim on a request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// Digest of the content the key was used for.
    pub digest: ContentDigest,
    /// Who holds the claim or how it ended.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// A VM runs the request, or ran it and died.
    Held {
        /// VM that holds the claim.
        owner: ClaimOwner,
        /// Output of the stage that must not be repeated, if an earlier owner finished it.
        stage_output: Option<Payload>,
    },
    /// The stage that must not be repeated has not run; the request may be claimed again.
    Released,
    /// The request was answered.
    Answered {
        /// The answer.
        output: Payload,
    },
    /// The stage that must not be repeated is finished, a later one is not.
    StageDone {
        /// Output of that stage.
        stage_output: Payload,
    },
    /// The stage may have run and its result is not known; the request never runs again.
    Unknown,
}

/// Process that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
