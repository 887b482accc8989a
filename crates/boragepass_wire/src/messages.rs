//! Wire types of the messages between VMs.
//!
//! bincode encodes a variant by its position, so their order is part of the protocol.

use boragepass_core::{
    ClaimStatus, ClaimWrite, ClaimWriteReply, ClaimWriteResult, GatherQuery, PartialAnswer, PeerMessage, Progress,
    RowValue,
};
use boragepass_types::{ContentDigest, ListVersion, OpId, Payload, RowVersion};
use serde::{Deserialize, Serialize};

use crate::error::{parse_field, try_convert_all};
use crate::lists::{WireListChange, WireListsSnapshot};
use crate::members::{WireHeartbeat, WireSharedLoad};
use crate::operators::{WireRequestTrace, WireUsageReport};
use crate::rows::{WireClaimRow, WireRow, WireRowValue, WireRowWrite, WireWriteId, parse_row_key};
use crate::{WireError, WireVerdict, WireVmListEntry};

/// Wire type of [`PeerMessage`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WirePeerMessage {
    Heartbeat(WireHeartbeat),
    Change(Box<WireListChange>),
    ChangesQuery(u64),
    SnapshotQuery,
    Snapshot(WireListsSnapshot),
    Loads(Vec<WireSharedLoad>),
    VmEntries(Vec<WireVmListEntry>),
    Verdict(WireVerdict),
    Verdicts(Vec<WireVerdict>),
    VerdictsQuery,
    ClaimWrites(Vec<WireRowWrite>),
    ClaimReplies(Vec<(WireWriteId, WireClaimWriteResult)>),
    ClaimQuery { key: String, version: u64 },
    ClaimStatus { key: String, version: u64, status: WireClaimStatus },
    Progress(Box<WireProgress>),
    ProgressDone { workspace: String, request: String },
    Gather { op: u64, question: WireGatherQuery },
    Gathered { op: u64, part: WirePartialAnswer },
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WireClaimWriteResult {
    Committed(u64),
    Conflict(Option<WireRow>),
    Unavailable,
    Lost,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WireClaimStatus {
    InProgress,
    WillNotRun,
    NotKnown,
    Answered(String),
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
pub(crate) enum WireGatherQuery {
    Explain(String),
    Usage,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum WirePartialAnswer {
    Explain(Vec<WireRequestTrace>),
    Usage(Box<WireUsageReport>),
}

impl From<&PeerMessage> for WirePeerMessage {
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
            PeerMessage::ClaimWrites(writes) => Self::ClaimWrites(writes.iter().map(wire_claim_write).collect()),
            PeerMessage::ClaimReplies(replies) => {
                Self::ClaimReplies(replies.iter().map(|reply| ((&reply.id).into(), (&reply.result).into())).collect())
            }
            PeerMessage::ClaimQuery { key, version } => Self::ClaimQuery { key: key.to_string(), version: version.0 },
            PeerMessage::ClaimStatus { key, version, status } => {
                Self::ClaimStatus { key: key.to_string(), version: version.0, status: status.clone().into() }
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

impl TryFrom<WirePeerMessage> for PeerMessage {
    type Error = WireError;

    fn try_from(wire: WirePeerMessage) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            WirePeerMessage::Change(change) => Self::Change(Box::new((*change).try_into()?)),
            WirePeerMessage::ChangesQuery(after) => Self::ChangesQuery { after: ListVersion(after) },
            WirePeerMessage::SnapshotQuery => Self::SnapshotQuery,
            WirePeerMessage::Snapshot(snapshot) => {
                Self::Snapshot(std::sync::Arc::new(boragepass_core::ListsSnapshot::try_from(snapshot)?))
            }
            WirePeerMessage::Loads(loads) => Self::Loads(try_convert_all(loads)?),
            WirePeerMessage::VmEntries(entries) => Self::VmEntries(try_convert_all(entries)?),
            WirePeerMessage::Verdict(verdict) => Self::Verdict(verdict.try_into()?),
            WirePeerMessage::Verdicts(verdicts) => Self::Verdicts(try_convert_all(verdicts)?),
            WirePeerMessage::VerdictsQuery => Self::VerdictsQuery,
            WirePeerMessage::ClaimWrites(writes) => {
                Self::ClaimWrites(writes.into_iter().map(parse_claim_write).collect::<Result<_, _>>()?)
            }
            WirePeerMessage::ClaimReplies(replies) => {
                let replies = replies
                    .into_iter()
                    .map(|(id, result)| Ok(ClaimWriteReply { id: id.try_into()?, result: result.try_into()? }));
                Self::ClaimReplies(replies.collect::<Result<_, WireError>>()?)
            }
            WirePeerMessage::ClaimQuery { key, version } => {
                Self::ClaimQuery { key: parse_row_key(&key)?, version: RowVersion(version) }
            }
            WirePeerMessage::ClaimStatus { key, version, status } => {
                Self::ClaimStatus { key: parse_row_key(&key)?, version: RowVersion(version), status: status.into() }
            }
            WirePeerMessage::Progress(progress) => Self::Progress(Box::new((*progress).try_into()?)),
            WirePeerMessage::ProgressDone { workspace, request } => Self::ProgressDone {
                workspace: parse_field("workspace", &workspace)?,
                request: parse_field("request", &request)?,
            },
            WirePeerMessage::Gather { op, question } => Self::Gather { op: OpId(op), question: question.try_into()? },
            WirePeerMessage::Gathered { op, part } => Self::Gathered { op: OpId(op), part: part.try_into()? },
        })
    }
}

fn wire_claim_write(write: &ClaimWrite) -> WireRowWrite {
    WireRowWrite {
        key: write.key.to_string(),
        expect: write.expect.into(),
        id: (&write.id).into(),
        value: WireRowValue::Claim(WireClaimRow::from(&write.row)),
    }
}

fn parse_claim_write(wire: WireRowWrite) -> Result<ClaimWrite, WireError> {
    let write = boragepass_core::RowWrite::try_from(wire)?;
    match write.value {
        RowValue::Claim(row) => Ok(ClaimWrite { key: write.key, expect: write.expect, id: write.id, row }),
        _ => Err(WireError::BadField { field: "value", problem: "must be a claim".to_owned() }),
    }
}

impl From<&ClaimWriteResult> for WireClaimWriteResult {
    fn from(result: &ClaimWriteResult) -> Self {
        match result {
            ClaimWriteResult::Committed(version) => Self::Committed(version.0),
            ClaimWriteResult::Conflict(row) => Self::Conflict(row.as_ref().map(Into::into)),
            ClaimWriteResult::Unavailable => Self::Unavailable,
            ClaimWriteResult::Lost => Self::Lost,
        }
    }
}

impl TryFrom<WireClaimWriteResult> for ClaimWriteResult {
    type Error = WireError;

    fn try_from(wire: WireClaimWriteResult) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireClaimWriteResult::Committed(version) => Self::Committed(RowVersion(version)),
            WireClaimWriteResult::Conflict(row) => Self::Conflict(row.map(TryInto::try_into).transpose()?),
            WireClaimWriteResult::Unavailable => Self::Unavailable,
            WireClaimWriteResult::Lost => Self::Lost,
        })
    }
}

impl From<ClaimStatus> for WireClaimStatus {
    fn from(status: ClaimStatus) -> Self {
        match status {
            ClaimStatus::InProgress => Self::InProgress,
            ClaimStatus::WillNotRun => Self::WillNotRun,
            ClaimStatus::NotKnown => Self::NotKnown,
            ClaimStatus::Answered { output } => Self::Answered(output.to_string()),
        }
    }
}

impl From<WireClaimStatus> for ClaimStatus {
    fn from(status: WireClaimStatus) -> Self {
        match status {
            WireClaimStatus::InProgress => Self::InProgress,
            WireClaimStatus::WillNotRun => Self::WillNotRun,
            WireClaimStatus::NotKnown => Self::NotKnown,
            WireClaimStatus::Answered(output) => Self::Answered { output: Payload::new(&output) },
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
            workspace: parse_field("workspace", &wire.workspace)?,
            request: parse_field("request", &wire.request)?,
            digest: parse_field::<ContentDigest>("digest", &wire.digest)?,
            stage: wire.stage,
            input: Payload::new(&wire.input),
            runner: parse_field("runner", &wire.runner)?,
        })
    }
}

impl From<&GatherQuery> for WireGatherQuery {
    fn from(question: &GatherQuery) -> Self {
        match question {
            GatherQuery::Explain(request) => Self::Explain(request.to_string()),
            GatherQuery::Usage => Self::Usage,
        }
    }
}

impl TryFrom<WireGatherQuery> for GatherQuery {
    type Error = WireError;

    fn try_from(wire: WireGatherQuery) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireGatherQuery::Explain(request) => Self::Explain(parse_field("request", &request)?),
            WireGatherQuery::Usage => Self::Usage,
        })
    }
}

impl From<&PartialAnswer> for WirePartialAnswer {
    fn from(part: &PartialAnswer) -> Self {
        match part {
            PartialAnswer::Explain(traces) => Self::Explain(traces.iter().map(Into::into).collect()),
            PartialAnswer::Usage(report) => Self::Usage(Box::new(report.as_ref().into())),
        }
    }
}

impl TryFrom<WirePartialAnswer> for PartialAnswer {
    type Error = WireError;

    fn try_from(wire: WirePartialAnswer) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePartialAnswer::Explain(traces) => Self::Explain(try_convert_all(traces)?),
            WirePartialAnswer::Usage(report) => Self::Usage(Box::new((*report).try_into()?)),
        })
    }
}
