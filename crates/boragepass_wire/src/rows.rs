//! Rows, requests and replies of the table service.

use boragepass_core::{
    ClaimOwner, ClaimRow, ClaimState, ExpectedVersion, LeaseRow, Row, RowKey, RowValue, RowWrite, TableReply,
    TableRequest, WriteId,
};
use boragepass_types::{ContentDigest, FenceNumber, Incarnation, ListVersion, OpId, Payload, RowVersion};
use serde::{Deserialize, Serialize};

use crate::error::{field, try_all};
use crate::{WireChange, WireError, WireVerdict};

/// Name of a write on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWriteId {
    /// VM.
    pub vm: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Operation.
    pub op: u64,
}

impl From<&WriteId> for WireWriteId {
    fn from(id: &WriteId) -> Self {
        Self { vm: id.vm.to_string(), incarnation: id.incarnation.0, op: id.op.0 }
    }
}

impl TryFrom<WireWriteId> for WriteId {
    type Error = WireError;

    fn try_from(wire: WireWriteId) -> Result<Self, Self::Error> {
        Ok(Self { vm: field("vm", &wire.vm)?, incarnation: Incarnation(wire.incarnation), op: OpId(wire.op) })
    }
}

/// Condition on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireExpect {
    /// No such row.
    Absent,
    /// Row at this version.
    Version(u64),
    /// Anything.
    Any,
}

impl From<ExpectedVersion> for WireExpect {
    fn from(expect: ExpectedVersion) -> Self {
        match expect {
            ExpectedVersion::Absent => Self::Absent,
            ExpectedVersion::Version(version) => Self::Version(version.0),
            ExpectedVersion::Any => Self::Any,
        }
    }
}

impl From<WireExpect> for ExpectedVersion {
    fn from(wire: WireExpect) -> Self {
        match wire {
            WireExpect::Absent => Self::Absent,
            WireExpect::Version(version) => Self::Version(RowVersion(version)),
            WireExpect::Any => Self::Any,
        }
    }
}

/// State of a claim on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireClaimState {
    /// A VM holds it.
    Held {
        /// VM.
        vm: String,
        /// Incarnation.
        incarnation: u64,
        /// Output of a finished stage.
        stage_output: Option<String>,
    },
    /// Free.
    Released,
    /// Answered.
    Answered(String),
    /// Stage done.
    StageDone(String),
    /// Not known.
    Unknown,
}

/// Claim on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaim {
    digest: String,
    state: WireClaimState,
}

impl From<&ClaimRow> for WireClaim {
    fn from(row: &ClaimRow) -> Self {
        let state = match &row.state {
            ClaimState::Held { owner, stage_output } => WireClaimState::Held {
                vm: owner.vm.to_string(),
                incarnation: owner.incarnation.0,
                stage_output: stage_output.as_ref().map(ToString::to_string),
            },
            ClaimState::Released => WireClaimState::Released,
            ClaimState::Answered { output } => WireClaimState::Answered(output.to_string()),
            ClaimState::StageDone { stage_output } => WireClaimState::StageDone(stage_output.to_string()),
            ClaimState::Unknown => WireClaimState::Unknown,
        };
        Self { digest: row.digest.to_string(), state }
    }
}

impl TryFrom<WireClaim> for ClaimRow {
    type Error = WireError;

    fn try_from(wire: WireClaim) -> Result<Self, Self::Error> {
        let state = match wire.state {
            WireClaimState::Held { vm, incarnation, stage_output } => ClaimState::Held {
                owner: ClaimOwner { vm: field("vm", &vm)?, incarnation: Incarnation(incarnation) },
                stage_output: stage_output.map(|text| Payload::new(&text)),
            },
            WireClaimState::Released => ClaimState::Released,
            WireClaimState::Answered(text) => ClaimState::Answered { output: Payload::new(&text) },
            WireClaimState::StageDone(text) => ClaimState::StageDone { stage_output: Payload::new(&text) },
            WireClaimState::Unknown => ClaimState::Unknown,
        };
        Ok(Self { digest: field::<ContentDigest>("digest", &wire.digest)?, state })
    }
}

/// Content of a row on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireRowValue {
    /// Latest version of the lists.
    Head(u64),
    /// One change.
    Change(Box<WireChange>),
    /// Claim.
    Claim(WireClaim),
    /// Lease: holder, incarnation, fencing number, renewal.
    Lease(String, u64, u64, u64),
    /// Contents in quarantine.
    Verdicts(Vec<WireVerdict>),
}

impl From<&RowValue> for WireRowValue {
    fn from(value: &RowValue) -> Self {
        match value {
            RowValue::Head(version) => Self::Head(version.0),
            RowValue::Change(change) => Self::Change(Box::new(change.as_ref().into())),
            RowValue::Claim(claim) => Self::Claim(claim.into()),
            RowValue::Lease(lease) => {
                Self::Lease(lease.holder.to_string(), lease.incarnation.0, lease.fence.0, lease.renewal)
            }
            RowValue::Verdicts(verdicts) => Self::Verdicts(verdicts.iter().map(Into::into).collect()),
        }
    }
}

impl TryFrom<WireRowValue> for RowValue {
    type Error = WireError;

    fn try_from(wire: WireRowValue) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireRowValue::Head(version) => Self::Head(ListVersion(version)),
            WireRowValue::Change(change) => Self::Change(Box::new((*change).try_into()?)),
            WireRowValue::Claim(claim) => Self::Claim(claim.try_into()?),
            WireRowValue::Lease(holder, incarnation, fence, renewal) => Self::Lease(LeaseRow {
                holder: field("holder", &holder)?,
                incarnation: Incarnation(incarnation),
                fence: FenceNumber(fence),
                renewal,
            }),
            WireRowValue::Verdicts(verdicts) => Self::Verdicts(try_all(verdicts)?),
        })
    }
}

/// Row on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// Version that rises with every write.
    pub version: u64,
    /// Last writer.
    pub op: WireWriteId,
    /// Content.
    pub value: WireRowValue,
}

impl From<&Row> for WireRow {
    fn from(row: &Row) -> Self {
        Self { version: row.version.0, op: (&row.write_id).into(), value: (&row.value).into() }
    }
}

impl TryFrom<WireRow> for Row {
    type Error = WireError;

    fn try_from(wire: WireRow) -> Result<Self, Self::Error> {
        Ok(Self { version: RowVersion(wire.version), write_id: wire.op.try_into()?, value: wire.value.try_into()? })
    }
}

/// Parses the text form of a row's key.
pub(crate) fn row_key(text: &str) -> Result<RowKey, WireError> {
    let bad = || WireError::BadField { field: "key", problem: format!("names no row: {text:?}") };
    match text {
        "head" => return Ok(RowKey::Head),
        "verdicts" => return Ok(RowKey::Verdicts),
        _ => {}
    }
    let (kind, rest) = text.split_once('/').ok_or_else(bad)?;
    match kind {
        "change" => Ok(RowKey::Change(field("key", rest)?)),
        "plan" => Ok(RowKey::Plan(field("key", rest)?)),
        "allowlist" => Ok(RowKey::Allowlist(field("key", rest)?)),
        "lease" => Ok(RowKey::Lease(field("key", rest)?)),
        "claim" => {
            let (workspace, key) = rest.split_once('/').ok_or_else(bad)?;
            Ok(RowKey::Claim(field("key", workspace)?, field("key", key)?))
        }
        _ => Err(bad()),
    }
}

/// Write on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWrite {
    /// Key.
    pub key: String,
    /// Condition.
    pub expect: WireExpect,
    /// Name of the write.
    pub id: WireWriteId,
    /// New content.
    pub value: WireRowValue,
}

impl From<&RowWrite> for WireWrite {
    fn from(write: &RowWrite) -> Self {
        Self {
            key: write.key.to_string(),
            expect: write.expect.into(),
            id: (&write.id).into(),
            value: (&write.value).into(),
        }
    }
}

impl TryFrom<WireWrite> for RowWrite {
    type Error = WireError;

    fn try_from(wire: WireWrite) -> Result<Self, Self::Error> {
        Ok(Self {
            key: row_key(&wire.key)?,
            expect: wire.expect.into(),
            id: wire.id.try_into()?,
            value: wire.value.try_into()?,
        })
    }
}

/// Request to the table service on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireTableRequest {
    /// All writes or none.
    Commit(Vec<WireWrite>),
    /// Rows by key.
    Read(Vec<String>),
}

impl From<&TableRequest> for WireTableRequest {
    fn from(request: &TableRequest) -> Self {
        match request {
            TableRequest::Commit(writes) => Self::Commit(writes.iter().map(Into::into).collect()),
            TableRequest::Read(keys) => Self::Read(keys.iter().map(ToString::to_string).collect()),
        }
    }
}

impl TryFrom<WireTableRequest> for TableRequest {
    type Error = WireError;

    fn try_from(wire: WireTableRequest) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireTableRequest::Commit(writes) => Self::Commit(try_all(writes)?),
            WireTableRequest::Read(keys) => Self::Read(keys.iter().map(|key| row_key(key)).collect::<Result<_, _>>()?),
        })
    }
}

/// Reply of the table service on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireTableReply {
    /// All writes took effect.
    Committed(Vec<u64>),
    /// Nothing took effect; rows whose condition failed.
    Conflict(Vec<(String, Option<WireRow>)>),
    /// Rows.
    Rows(Vec<Option<WireRow>>),
    /// Nothing took effect.
    Unavailable,
}

impl From<&TableReply> for WireTableReply {
    fn from(reply: &TableReply) -> Self {
        match reply {
            TableReply::Committed(versions) => Self::Committed(versions.iter().map(|version| version.0).collect()),
            TableReply::Conflict(rows) => {
                Self::Conflict(rows.iter().map(|(key, row)| (key.to_string(), row.as_ref().map(Into::into))).collect())
            }
            TableReply::Rows(rows) => Self::Rows(rows.iter().map(|row| row.as_ref().map(Into::into)).collect()),
            TableReply::Unavailable | TableReply::Lost => Self::Unavailable,
        }
    }
}

impl TryFrom<WireTableReply> for TableReply {
    type Error = WireError;

    fn try_from(wire: WireTableReply) -> Result<Self, Self::Error> {
        let to_row = |row: Option<WireRow>| row.map(Row::try_from).transpose();
        Ok(match wire {
            WireTableReply::Committed(versions) => Self::Committed(versions.into_iter().map(RowVersion).collect()),
            WireTableReply::Conflict(rows) => {
                let rows = rows.into_iter().map(|(key, row)| Ok((row_key(&key)?, to_row(row)?)));
                Self::Conflict(rows.collect::<Result<_, WireError>>()?)
            }
            WireTableReply::Rows(rows) => Self::Rows(rows.into_iter().map(to_row).collect::<Result<_, _>>()?),
            WireTableReply::Unavailable => Self::Unavailable,
        })
    }
}
