//! Identifiers as newtypes, so that the compiler rejects a workspace where a VM is expected.
//!
//! Text identifiers are validated when they are parsed and are cheap to clone.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;

const ID_BYTES_MAX: usize = 128;

/// Reason why a text is not an identifier or number; the comment of a variant is its message.
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
    /// must be a number of requests per second, zero or more
    NotARate,
}

impl std::error::Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > ID_BYTES_MAX {
        return Err(IdError::TooLong(text.len()));
    }
    let is_forbidden = |c: &char| !(c.is_ascii_alphanumeric() || "._:-/@".contains(*c));
    match text.chars().find(is_forbidden) {
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
            /// Returns the text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_id(text)?;
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
            /// Returns the number after this one.
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
    /// Workspace: owner of a plan, an allowlist and the requests sent under them.
    WorkspaceId,
    /// Pipeline: a named sequence of stages.
    PipelineId,
    /// Stage within a pipeline.
    StageId,
    /// Pool: a group of endpoints that run the same stages.
    PoolId,
    /// Model that an engine has loaded.
    ModelId,
    /// Adapter of a model.
    AdapterId,
    /// Region that VMs, endpoints and callers belong to.
    Region,
    /// Failure domain within a region.
    FailureDomain,
    /// Endpoint that runs stages.
    EndpointId,
    /// VM that runs `boragepassd`.
    VmId,
    /// Identifier that the caller gives a request.
    RequestId,
    /// Key that the caller gives a request that must not be repeated.
    IdempotencyKey,
}

number_ids! {
    /// Common version of plans and allowlists, incremented by every committed change.
    ListVersion,
    /// Start of the process on a VM; a later start has a larger number.
    Incarnation,
    /// One dispatch of a stage to an endpoint, unique within an incarnation of a VM.
    AttemptId,
    /// One call of a caller or operator to this VM.
    CallId,
    /// Operation of a VM on the table service, object store, endpoints or other VMs; its reply carries it.
    OpId,
    /// Version of a row in the table service, which rises with every write.
    RowVersion,
    /// Era of the platform's store, which rises each time that it is restored from an older copy.
    StoreEra,
    /// Fencing number (token) of a lease; endpoints that check it refuse orders with an older one.
    FenceNumber,
    /// Resumable token stream on an engine.
    StreamId,
}
