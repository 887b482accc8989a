//! Content of a claim in the table service.

use boragepass_types::{ContentDigest, Incarnation, Payload, VmId};

/// Claim on a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// Content the key was used for.
    pub digest: ContentDigest,
    /// State.
    pub state: ClaimState,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// A VM runs the request, or ran it and died.
    Held {
        /// Owner.
        owner: ClaimOwner,
        /// Output of the stage that may not be repeated, when an earlier owner finished it.
        stage_output: Option<Payload>,
    },
    /// Nothing of the request ran; it may be claimed anew.
    Released,
    /// The request was answered.
    Answered {
        /// The answer.
        output: Payload,
    },
    /// The stage that may not be repeated is done, a later one is not.
    StageDone {
        /// Output of that stage.
        stage_output: Payload,
    },
    /// The stage was sent and its reply never came. Never runs again.
    Unknown,
}

/// VM that holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimOwner {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
