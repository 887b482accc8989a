//! Messages between VMs.

use boragepass_core::{
    ClaimStatus, ClaimWrite, ClaimWriteReply, ClaimWriteResult, GatherQuery, PartialAnswer, PeerMessage, Progress,
    RowValue,
};
use boragepass_types::{ContentDigest, ListVersion, OpId, Payload, RowVersion};
use serde::{Deserialize, Serialize};

use crate::error::{field, try_all};
use crate::lists::{WireChange, WireSnapshot};
use crate::members::{WireHeartbeat, WireLoad};
use crate::operators::{WireTrace, WireUsage};
use crate::rows::{WireClaim, WireRow, WireRowValue, WireWrite, WireWriteId, row_key};
use crate::{WireEntry, WireError, WireVerdict};

/// Message on the wire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WireMessage {
    Heartbeat(WireHeartbeat),
    Change(Box<WireChange>),
    ChangesQuery(u64),
    SnapshotQuery,
    Snapshot(WireSnapshot),
    Loads(Vec<WireLoad>),
    VmEntries(Vec<WireEntry>),
    Verdict(WireVerdict),
    Verdicts(Vec<WireVerdict>),
    VerdictsQuery,
    ClaimWrites(Vec<WireWrite>),
    ClaimReplies(Vec<(WireWriteId, WireClaimResult)>),
    ClaimQuery { key: String, version: u64 },
    ClaimStatus { key: String, version: u64, status: WireClaimStatus },
    Progress(Box<WireProgress>),
    ProgressDone { workspace: String, request: String },
    Gather { op: u64, question: WireQuestion },
    Gathered { op: u64, part: WirePart },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WireClaimResult {
    Committed(u64),
    Conflict(Option<WireRow>),
    Unavailable,
    Lost,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) enum WireClaimStatus {
    InProgress,
    WillNotRun,
    NotKnown,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WireProgress {
    workspace: String,
    request: String,
    digest: String,
    stage: u8,
    input: String,
    runner: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WireQuestion {
    Explain(String),
    Usage,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WirePart {
    Explain(Vec<WireTrace>),
    Usage(Box<WireUsage>),
}

impl From<&PeerMessage> for WireMessage {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            PeerMessage::Change(change) => Self::Change(Box::new(change.as_ref().into())),
            PeerMessage::ChangesQuery { after } => Self::ChangesQuery(after.0),
            PeerMessage::SnapshotQuery => Self::SnapshotQuery,
            PeerMessage::Snapshot(snapshot) => Self::Snapshot(snapshot.as_ref().into()),
            PeerMessage::Loads(loads) => Self::Loads(loads.iter().map(Into::into).collect()),
            PeerMessage::VmEntries(entries) => Self::VmEntries(entries.iter().map(Into::into).collect()),
            PeerMessage::Verdict(verdict) => Self::Verdict(verdict.into()),
            PeerMessage::Verdicts(verdicts) => Self::Verdicts(verdicts.iter().map(Into::into).collect()),
            PeerMessage::VerdictsQuery => Self::VerdictsQuery,
            PeerMessage::ClaimWrites(writes) => Self::ClaimWrites(writes.iter().map(claim_write).collect()),
            PeerMessage::ClaimReplies(replies) => {
                Self::ClaimReplies(replies.iter().map(|reply| ((&reply.id).into(), (&reply.result).into())).collect())
            }
            PeerMessage::ClaimQuery { key, version } => Self::ClaimQuery { key: key.to_string(), version: version.0 },
            PeerMessage::ClaimStatus { key, version, status } => {
                Self::ClaimStatus { key: key.to_string(), version: version.0, status: (*status).into() }
            }
            PeerMessage::Progress(progress) => Self::Progress(Box::new(progress.as_ref().into())),
            PeerMessage::ProgressDone { workspace, request } => {
                Self::ProgressDone { workspace: workspace.to_string(), request: request.to_string() }
            }
            PeerMessage::Gather { op, question } => Self::Gather { op: op.0, question: question.into() },
            PeerMessage::Gathered { op, part } => Self::Gathered { op: op.0, part: part.into() },
        }
    }
}

impl TryFrom<WireMessage> for PeerMessage {
    type Error = WireError;

    fn try_from(wire: WireMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            WireMessage::Change(change) => Self::Change(Box::new((*change).try_into()?)),
            WireMessage::ChangesQuery(after) => Self::ChangesQuery { after: ListVersion(after) },
            WireMessage::SnapshotQuery => Self::SnapshotQuery,
            WireMessage::Snapshot(snapshot) => {
                Self::Snapshot(std::sync::Arc::new(boragepass_core::ListsSnapshot::try_from(snapshot)?))
            }
            WireMessage::Loads(loads) => Self::Loads(try_all(loads)?),
            WireMessage::VmEntries(entries) => Self::VmEntries(try_all(entries)?),
            WireMessage::Verdict(verdict) => Self::Verdict(verdict.try_into()?),
            WireMessage::Verdicts(verdicts) => Self::Verdicts(try_all(verdicts)?),
            WireMessage::VerdictsQuery => Self::VerdictsQuery,
            WireMessage::ClaimWrites(writes) => {
                Self::ClaimWrites(writes.into_iter().map(to_claim_write).collect::<Result<_, _>>()?)
            }
            WireMessage::ClaimReplies(replies) => {
                let replies = replies
                    .into_iter()
                    .map(|(id, result)| Ok(ClaimWriteReply { id: id.try_into()?, result: result.try_into()? }));
                Self::ClaimReplies(replies.collect::<Result<_, WireError>>()?)
            }
            WireMessage::ClaimQuery { key, version } => {
                Self::ClaimQuery { key: row_key(&key)?, version: RowVersion(version) }
            }
            WireMessage::ClaimStatus { key, version, status } => {
                Self::ClaimStatus { key: row_key(&key)?, version: RowVersion(version), status: status.into() }
            }
            WireMessage::Progress(progress) => Self::Progress(Box::new((*progress).try_into()?)),
            WireMessage::ProgressDone { workspace, request } => {
                Self::ProgressDone { workspace: field("workspace", &workspace)?, request: field("request", &request)? }
            }
            WireMessage::Gather { op, question } => Self::Gather { op: OpId(op), question: question.try_into()? },
            WireMessage::Gathered { op, part } => Self::Gathered { op: OpId(op), part: part.try_into()? },
        })
    }
}

fn claim_write(write: &ClaimWrite) -> WireWrite {
    WireWrite {
        key: write.key.to_string(),
        expect: write.expect.into(),
        id: (&write.id).into(),
        value: WireRowValue::Claim(WireClaim::from(&write.row)),
    }
}

fn to_claim_write(wire: WireWrite) -> Result<ClaimWrite, WireError> {
    let write = boragepass_core::RowWrite::try_from(wire)?;
    match write.value {
        RowValue::Claim(row) => Ok(ClaimWrite { key: write.key, expect: write.expect, id: write.id, row }),
        _ => Err(WireError::BadField { field: "value", problem: "must be a claim".to_owned() }),
    }
}

impl From<&ClaimWriteResult> for WireClaimResult {
    fn from(result: &ClaimWriteResult) -> Self {
        match result {
            ClaimWriteResult::Committed(version) => Self::Committed(version.0),
            ClaimWriteResult::Conflict(row) => Self::Conflict(row.as_ref().map(Into::into)),
            ClaimWriteResult::Unavailable => Self::Unavailable,
            ClaimWriteResult::Lost => Self::Lost,
        }
    }
}

impl TryFrom<WireClaimResult> for ClaimWriteResult {
    type Error = WireError;

    fn try_from(wire: WireClaimResult) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireClaimResult::Committed(version) => Self::Committed(RowVersion(version)),
            WireClaimResult::Conflict(row) => Self::Conflict(row.map(TryInto::try_into).transpose()?),
            WireClaimResult::Unavailable => Self::Unavailable,
            WireClaimResult::Lost => Self::Lost,
        })
    }
}

impl From<ClaimStatus> for WireClaimStatus {
    fn from(status: ClaimStatus) -> Self {
        match status {
            ClaimStatus::InProgress => Self::InProgress,
            ClaimStatus::WillNotRun => Self::WillNotRun,
            ClaimStatus::NotKnown => Self::NotKnown,
        }
    }
}

impl From<WireClaimStatus> for ClaimStatus {
    fn from(status: WireClaimStatus) -> Self {
        match status {
            WireClaimStatus::InProgress => Self::InProgress,
            WireClaimStatus::WillNotRun => Self::WillNotRun,
            WireClaimStatus::NotKnown => Self::NotKnown,
        }
    }
}

impl From<&Progress> for WireProgress {
    fn from(progress: &Progress) -> Self {
        Self {
            workspace: progress.workspace.to_string(),
            request: progress.request.to_string(),
            digest: progress.digest.to_string(),
            stage: progress.stage,
            input: progress.input.to_string(),
            runner: progress.runner.to_string(),
        }
    }
}

impl TryFrom<WireProgress> for Progress {
    type Error = WireError;

    fn try_from(wire: WireProgress) -> Result<Self, Self::Error> {
        Ok(Self {
            workspace: field("workspace", &wire.workspace)?,
            request: field("request", &wire.request)?,
            digest: field::<ContentDigest>("digest", &wire.digest)?,
            stage: wire.stage,
            input: Payload::new(&wire.input),
            runner: field("runner", &wire.runner)?,
        })
    }
}

impl From<&GatherQuery> for WireQuestion {
    fn from(question: &GatherQuery) -> Self {
        match question {
            GatherQuery::Explain(request) => Self::Explain(request.to_string()),
            GatherQuery::Usage => Self::Usage,
        }
    }
}

impl TryFrom<WireQuestion> for GatherQuery {
    type Error = WireError;

    fn try_from(wire: WireQuestion) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireQuestion::Explain(request) => Self::Explain(field("request", &request)?),
            WireQuestion::Usage => Self::Usage,
        })
    }
}

impl From<&PartialAnswer> for WirePart {
    fn from(part: &PartialAnswer) -> Self {
        match part {
            PartialAnswer::Explain(traces) => Self::Explain(traces.iter().map(Into::into).collect()),
            PartialAnswer::Usage(report) => Self::Usage(Box::new(report.as_ref().into())),
        }
    }
}

impl TryFrom<WirePart> for PartialAnswer {
    type Error = WireError;

    fn try_from(wire: WirePart) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePart::Explain(traces) => Self::Explain(try_all(traces)?),
            WirePart::Usage(report) => Self::Usage(Box::new((*report).try_into()?)),
        })
    }
}
