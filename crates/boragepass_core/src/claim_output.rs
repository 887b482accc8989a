//! Actions that the claims request from the node.

use boragepass_types::{OpId, Payload, RowVersion};

use crate::claim_row::ClaimOwner;
use crate::explain::ClaimStep;
use crate::message::ClaimWrite;
use crate::platform::RowKey;
use crate::request_table::RequestKey;

/// Action that the node carries out for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimOutput {
    /// Commit a write, through a committer or from this VM.
    Write { write: ClaimWrite, route: WriteRoute },
    /// Read back the row of the pending write `op`.
    Read { op: OpId, key: RowKey },
    /// The request holds its claim.
    Granted { request: RequestKey, stage_output: Option<Payload> },
    /// The request does not get its claim.
    Refused { request: RequestKey, reason: ClaimRefusal },
    /// Query the owner that the row names.
    QueryOwner { request: RequestKey, key: RowKey, version: RowVersion, owner: ClaimOwner },
    /// Record a step in the request's trace.
    Step { request: RequestKey, step: ClaimStep },
}

/// Which VM commits a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteRoute {
    /// The VM that batches the claims of several VMs.
    Committer,
    /// This VM, since the committer may have died with an earlier attempt.
    Local,
}

/// Why a request does not get its claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ClaimRefusal {
    /// The table service is unavailable.
    Unavailable,
    /// The idempotency key was used for other content.
    KeyConflict,
    /// The request may have run and its result is not known.
    Unknown,
    /// The owner of the claim still runs the request.
    InProgress,
    /// The request was answered already.
    Answered(Payload),
}
