//! Wire types of verdicts on content that is suspected of crashing endpoints; VMs exchange them and the
//! table service stores them.

use boragepass_core::{Verdict, VerdictKind};
use boragepass_types::{ContentDigest, Hash64, SpanMs};
use serde::{Deserialize, Serialize};

use crate::WireError;
use crate::error::parse_field;

/// Wire type of [`Verdict`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireVerdict {
    digest: String,
    workspace: String,
    kind: WireVerdictKind,
    /// Hashes of the ids of the endpoints that were lost while they ran the content.
    lost: Vec<u64>,
    tester: String,
    for_ms: u64,
}

/// Wire type of [`VerdictKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireVerdictKind {
    UnderTrial,
    Cleared,
    Quarantined,
    Released,
}

impl From<&Verdict> for WireVerdict {
    fn from(verdict: &Verdict) -> Self {
        let kind = match verdict.kind {
            VerdictKind::UnderTrial => WireVerdictKind::UnderTrial,
            VerdictKind::Cleared => WireVerdictKind::Cleared,
            VerdictKind::Quarantined => WireVerdictKind::Quarantined,
            VerdictKind::Released => WireVerdictKind::Released,
        };
        Self {
            digest: verdict.digest.to_string(),
            workspace: verdict.workspace.to_string(),
            kind,
            lost: verdict.lost.iter().map(|endpoint| endpoint.0).collect(),
            tester: verdict.tester.to_string(),
            for_ms: verdict.for_ms.0,
        }
    }
}

impl TryFrom<WireVerdict> for Verdict {
    type Error = WireError;

    fn try_from(wire: WireVerdict) -> Result<Self, Self::Error> {
        let kind = match wire.kind {
            WireVerdictKind::UnderTrial => VerdictKind::UnderTrial,
            WireVerdictKind::Cleared => VerdictKind::Cleared,
            WireVerdictKind::Quarantined => VerdictKind::Quarantined,
            WireVerdictKind::Released => VerdictKind::Released,
        };
        Ok(Self {
            digest: parse_field::<ContentDigest>("digest", &wire.digest)?,
            workspace: parse_field("workspace", &wire.workspace)?,
            kind,
            lost: wire.lost.into_iter().map(Hash64).collect(),
            tester: parse_field("tester", &wire.tester)?,
            for_ms: SpanMs(wire.for_ms),
        })
    }
}
