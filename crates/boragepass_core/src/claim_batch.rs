//! Claims of several requests, and of several VMs, in one transaction.
//!
//! A transaction with a failed condition takes no effect at all, so the claims that conflict are
//! answered and the others go into the next one.

use std::collections::{BTreeSet, VecDeque};

use boragepass_types::{OpId, TimeMs, VmId};

use crate::map::Map;
use crate::message::{ClaimWrite, ClaimWriteReply, ClaimWriteResult};
use crate::platform::{RowValue, RowWrite, TableReply};

const WAITING_MAX: usize = 10_000;

/// Claim with the VM that sent it.
#[derive(Debug, Clone)]
pub(crate) struct PendingClaim {
    pub(crate) origin: VmId,
    pub(crate) write: ClaimWrite,
}

/// Reply with the VM that waits for it.
pub(crate) struct Answered {
    pub(crate) origin: VmId,
    pub(crate) reply: ClaimWriteReply,
}

/// Claims that wait for or are in a transaction.
#[derive(Debug, Default)]
pub(crate) struct ClaimBatch {
    waiting: VecDeque<PendingClaim>,
    in_flight: Map<OpId, Vec<PendingClaim>>,
    pub(crate) is_timer_set: bool,
    /// When the last transaction was sent.
    pub(crate) flushed_at: Option<TimeMs>,
}

impl ClaimBatch {
    /// Adds a claim, or answers at once when too many wait.
    pub(crate) fn push(&mut self, waiting: PendingClaim) -> Option<Answered> {
        if self.waiting.len() >= WAITING_MAX {
            return Some(answered(waiting, ClaimWriteResult::Unavailable));
        }
        self.waiting.push_back(waiting);
        None
    }

    /// Number of claims that wait.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits or is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// Takes the claims of the next transaction: at most `max`, each row once.
    pub(crate) fn take(&mut self, op: OpId, max: usize) -> Vec<RowWrite> {
        let mut keys = BTreeSet::new();
        let mut taken = Vec::new();
        let mut left = VecDeque::new();
        while let Some(waiting) = self.waiting.pop_front() {
            if taken.len() < max && keys.insert(waiting.write.key.clone()) {
                taken.push(waiting);
            } else {
                left.push_back(waiting);
            }
        }
        self.waiting = left;
        let writes = taken.iter().map(|waiting| RowWrite {
            key: waiting.write.key.clone(),
            expect: waiting.write.expect,
            id: waiting.write.id.clone(),
            value: RowValue::Claim(waiting.write.row.clone()),
        });
        let writes = writes.collect();
        self.in_flight.insert(op, taken);
        writes
    }

    /// Takes over the fate of a transaction; `None` if it is not one of these.
    pub(crate) fn on_reply(&mut self, op: OpId, reply: TableReply) -> Option<Vec<Answered>> {
        let batch = self.in_flight.remove(&op)?;
        let answers = match reply {
            TableReply::Committed(versions) => batch
                .into_iter()
                .zip(versions)
                .map(|(waiting, version)| answered(waiting, ClaimWriteResult::Committed(version)))
                .collect(),
            TableReply::Conflict(rows) => self.split(batch, rows),
            TableReply::Unavailable => all(batch, &ClaimWriteResult::Unavailable),
            TableReply::Lost | TableReply::Rows(_) => all(batch, &ClaimWriteResult::Lost),
        };
        Some(answers)
    }

    fn split(
        &mut self,
        batch: Vec<PendingClaim>,
        mut rows: Vec<(crate::platform::RowKey, Option<crate::platform::Row>)>,
    ) -> Vec<Answered> {
        let mut answers = Vec::new();
        for waiting in batch.into_iter().rev() {
            match rows.iter().position(|(key, _)| *key == waiting.write.key) {
                Some(index) => {
                    let (_, row) = rows.swap_remove(index);
                    answers.push(answered(waiting, ClaimWriteResult::Conflict(row)));
                }
                None => self.waiting.push_front(waiting),
            }
        }
        answers
    }
}

fn answered(waiting: PendingClaim, result: ClaimWriteResult) -> Answered {
    Answered { origin: waiting.origin, reply: ClaimWriteReply { id: waiting.write.id, result } }
}

fn all(batch: Vec<PendingClaim>, result: &ClaimWriteResult) -> Vec<Answered> {
    batch.into_iter().map(|waiting| answered(waiting, result.clone())).collect()
}
