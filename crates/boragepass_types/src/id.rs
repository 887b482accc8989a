//! Identifiers as newtypes, so that a workspace can never be passed where a VM is meant.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;

const MAX_ID_BYTES: usize = 128;

/// Reason why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum IdError {
    /// must not be empty
    Empty,
    /// must be at most 128 bytes, got {0}
    TooLong(usize),
    /// must contain only letters, digits and `._:-/@`, got {0:?}
    BadCharacter(char),
    /// must be a whole number
    NotANumber,
}

impl std::error::Error for IdError {}

fn check_text(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    let is_bad = |c: &char| !(c.is_ascii_alphanumeric() || "._:-/@".contains(*c));
    match text.chars().find(is_bad) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text(text)?;
                Ok(Self(text.into()))
            }
        }
    )+};
}

macro_rules! number_ids {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
        pub struct $name(pub u64);

        impl $name {
            /// Number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| IdError::NotANumber)
            }
        }
    )+};
}

text_ids! {
    /// Customer with a plan and an allowlist.
    WorkspaceId,
    /// Named sequence of stages.
    PipelineId,
    /// Stage within a pipeline.
    StageId,
    /// Group of endpoints that serve the same stage.
    PoolId,
    /// Model held by an engine.
    ModelId,
    /// Adapter on top of a model.
    AdapterId,
    /// Region of VMs and callers.
    Region,
    /// Failure domain within a region.
    FailureDomain,
    /// Back end that runs stages.
    EndpointId,
    /// Machine that runs `boragepassd`.
    VmId,
    /// Caller's name for one request.
    RequestId,
    /// Caller's name for one request that must not be repeated.
    IdempotencyKey,
}

number_ids! {
    /// Version of both lists together, one step a committed change.
    ListVersion,
    /// Start of a process on a VM; a later start has a larger number.
    Incarnation,
    /// One dispatch of a stage to an endpoint, unique within an incarnation.
    AttemptId,
    /// One call of a caller or operator on this VM.
    CallId,
    /// One write to the table service.
    OpId,
    /// Version of a row in the table service.
    RowVersion,
    /// Fencing number of a lease.
    FenceNumber,
    /// Resumable stream on an engine.
    StreamId,
}
