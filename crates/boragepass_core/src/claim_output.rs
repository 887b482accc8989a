//! What the claims ask of the node.

use boragepass_types::{OpId, Payload, RowVersion};

use crate::claim_row::ClaimOwner;
use crate::explain::ClaimStep;
use crate::message::ClaimWrite;
use crate::platform::RowKey;
use crate::request_table::RequestKey;

/// What the node has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimOutput {
    /// Commit a write, through a committer or from here.
    Write { write: ClaimWrite, route: WriteRoute },
    /// Read a row for a job.
    Read { job: OpId, key: RowKey },
    /// The request holds its claim.
    Granted { request: RequestKey, stage_output: Option<Payload> },
    /// The request does not get its claim.
    Refused { request: RequestKey, why: ClaimRefusal },
    /// The row names another owner, who must be asked.
    AskOwner { request: RequestKey, key: RowKey, version: RowVersion, owner: ClaimOwner },
    /// Worth a line in the trace.
    Step { request: RequestKey, step: ClaimStep },
}

/// Who commits a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteRoute {
    /// The VM that groups the claims of several.
    Committer,
    /// This VM, since a committer may have died with an earlier write.
    Here,
}

/// Why a request does not get its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    Unavailable,
    KeyConflict,
    Unknown,
    InProgress,
    Answered(Payload),
}
