//! Wire types of the table service: rows, requests and replies.
//!
//! Rows are stored in the JSON of these types, so names must stay readable by later releases.

use boragepass_core::{
    ClaimOwner, ClaimRow, ClaimState, ExpectedVersion, LeaseRow, Row, RowKey, RowValue, RowWrite, TableReply,
    TableRequest, WriteId,
};
use boragepass_types::{ContentDigest, FenceNumber, Incarnation, ListVersion, OpId, Payload, RowVersion};
use serde::{Deserialize, Serialize};

use crate::error::{parse_field, try_convert_all};
use crate::{WireError, WireListChange, WireVerdict};

/// Wire type of [`WriteId`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireWriteId {
    /// VM that wrote.
    pub vm: String,
    /// Incarnation that wrote.
    pub incarnation: u64,
    /// Operation within the incarnation.
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
        Ok(Self { vm: parse_field("vm", &wire.vm)?, incarnation: Incarnation(wire.incarnation), op: OpId(wire.op) })
    }
}

/// Wire type of [`ExpectedVersion`]: what a write expects of its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireExpectedVersion {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
    /// Always met.
    Any,
}

impl From<ExpectedVersion> for WireExpectedVersion {
    fn from(expect: ExpectedVersion) -> Self {
        match expect {
            ExpectedVersion::Absent => Self::Absent,
            ExpectedVersion::Version(version) => Self::Version(version.0),
            ExpectedVersion::Any => Self::Any,
        }
    }
}

impl From<WireExpectedVersion> for ExpectedVersion {
    fn from(wire: WireExpectedVersion) -> Self {
        match wire {
            WireExpectedVersion::Absent => Self::Absent,
            WireExpectedVersion::Version(version) => Self::Version(RowVersion(version)),
            WireExpectedVersion::Any => Self::Any,
        }
    }
}

/// Wire type of [`ClaimState`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WireClaimState {
    /// A VM holds the claim.
    Held {
        /// VM that holds it.
        vm: String,
        /// Incarnation that holds it.
        incarnation: u64,
        /// Output of the non-repeatable stage, if an earlier holder finished it.
        stage_output: Option<String>,
    },
    /// Nothing of the request ran; it may be claimed again.
    Released,
    /// The request was answered with this output.
    Answered(String),
    /// The non-repeatable stage finished with this output, a later one did not.
    StageDone(String),
    /// The non-repeatable stage was sent and its result is not known.
    Unknown,
}

/// Wire type of [`ClaimRow`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireClaimRow {
    digest: String,
    state: WireClaimState,
}

impl From<&ClaimRow> for WireClaimRow {
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

impl TryFrom<WireClaimRow> for ClaimRow {
    type Error = WireError;

    fn try_from(wire: WireClaimRow) -> Result<Self, Self::Error> {
        let state = match wire.state {
            WireClaimState::Held { vm, incarnation, stage_output } => ClaimState::Held {
                owner: ClaimOwner { vm: parse_field("vm", &vm)?, incarnation: Incarnation(incarnation) },
                stage_output: stage_output.map(|text| Payload::new(&text)),
            },
            WireClaimState::Released => ClaimState::Released,
            WireClaimState::Answered(text) => ClaimState::Answered { output: Payload::new(&text) },
            WireClaimState::StageDone(text) => ClaimState::StageDone { stage_output: Payload::new(&text) },
            WireClaimState::Unknown => ClaimState::Unknown,
        };
        Ok(Self { digest: parse_field::<ContentDigest>("digest", &wire.digest)?, state })
    }
}

/// Wire type of [`RowValue`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireRowValue {
    /// Latest list version.
    Head(u64),
    /// Change of a plan or an allowlist.
    Change(Box<WireListChange>),
    /// Claim of an idempotency key.
    Claim(WireClaimRow),
    /// Lease: holder, its incarnation, fencing number, number of the renewal.
    Lease(String, u64, u64, u64),
    /// Verdicts on content in quarantine.
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
                holder: parse_field("holder", &holder)?,
                incarnation: Incarnation(incarnation),
                fence: FenceNumber(fence),
                renewal,
            }),
            WireRowValue::Verdicts(verdicts) => Self::Verdicts(try_convert_all(verdicts)?),
        })
    }
}

/// Wire type of [`Row`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// Version, which rises with every write.
    pub version: u64,
    /// Identifier of the last write.
    pub op: WireWriteId,
    /// Content of the row.
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

/// Parses the text form of a [`RowKey`].
pub(crate) fn parse_row_key(text: &str) -> Result<RowKey, WireError> {
    let not_a_row_key = || WireError::BadField { field: "key", problem: format!("does not name a row: {text:?}") };
    match text {
        "head" => return Ok(RowKey::Head),
        "verdicts" => return Ok(RowKey::Verdicts),
        _ => {}
    }
    let (kind, rest) = text.split_once('/').ok_or_else(not_a_row_key)?;
    match kind {
        "change" => Ok(RowKey::Change(parse_field("key", rest)?)),
        "plan" => Ok(RowKey::Plan(parse_field("key", rest)?)),
        "allowlist" => Ok(RowKey::Allowlist(parse_field("key", rest)?)),
        "lease" => Ok(RowKey::Lease(parse_field("key", rest)?)),
        "claim" => {
            let (workspace, key) = rest.split_once('/').ok_or_else(not_a_row_key)?;
            Ok(RowKey::Claim(parse_field("key", workspace)?, parse_field("key", key)?))
        }
        _ => Err(not_a_row_key()),
    }
}

/// Wire type of [`RowWrite`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRowWrite {
    /// Key of the row.
    pub key: String,
    /// What the row must be for the write to take effect.
    pub expect: WireExpectedVersion,
    /// Identifier of the write.
    pub id: WireWriteId,
    /// New content.
    pub value: WireRowValue,
}

impl From<&RowWrite> for WireRowWrite {
    fn from(write: &RowWrite) -> Self {
        Self {
            key: write.key.to_string(),
            expect: write.expect.into(),
            id: (&write.id).into(),
            value: (&write.value).into(),
        }
    }
}

impl TryFrom<WireRowWrite> for RowWrite {
    type Error = WireError;

    fn try_from(wire: WireRowWrite) -> Result<Self, Self::Error> {
        Ok(Self {
            key: parse_row_key(&wire.key)?,
            expect: wire.expect.into(),
            id: wire.id.try_into()?,
            value: wire.value.try_into()?,
        })
    }
}

/// Wire type of [`TableRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireTableRequest {
    /// Writes that take effect together or not at all.
    Commit(Vec<WireRowWrite>),
    /// Reads the rows with these keys.
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
            WireTableRequest::Commit(writes) => Self::Commit(try_convert_all(writes)?),
            WireTableRequest::Read(keys) => {
                Self::Read(keys.iter().map(|key| parse_row_key(key)).collect::<Result<_, _>>()?)
            }
        })
    }
}

/// Wire type of [`TableReply`]; `Lost` means that no reply arrived, so it has no variant here.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireTableReply {
    /// All writes took effect; new versions of their rows.
    Committed(Vec<u64>),
    /// No write took effect; keys and rows whose condition failed.
    Conflict(Vec<(String, Option<WireRow>)>),
    /// Rows in the order of the keys; none where the row does not exist.
    Rows(Vec<Option<WireRow>>),
    /// No write took effect: the table service is not available.
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
                let rows = rows.into_iter().map(|(key, row)| Ok((parse_row_key(&key)?, to_row(row)?)));
                Self::Conflict(rows.collect::<Result<_, WireError>>()?)
            }
            WireTableReply::Rows(rows) => Self::Rows(rows.into_iter().map(to_row).collect::<Result<_, _>>()?),
            WireTableReply::Unavailable => Self::Unavailable,
        })
    }
}
