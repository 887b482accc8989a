//! Batches the claims of several requests, and of several VMs, into one transaction.
//!
//! A transaction with a failed condition has no effect, so the claims that conflict get their reply and
//! the others go into the next transaction.

use std::collections::{BTreeSet, VecDeque};

use boragepass_types::{OpId, TimeMs, VmId};

use crate::map::Map;
use crate::message::{ClaimWrite, ClaimWriteReply, ClaimWriteResult};
use crate::platform::{RowValue, RowWrite, TableReply};

const QUEUED_CLAIMS_MAX: usize = 10_000;

/// Claim write that waits for its transaction, with the VM that sent it.
#[derive(Debug, Clone)]
pub(crate) struct PendingClaim {
    pub(crate) origin: VmId,
    pub(crate) write: ClaimWrite,
}

/// Reply to a claim write, with the VM to send it to.
pub(crate) struct OutgoingReply {
    pub(crate) origin: VmId,
    pub(crate) reply: ClaimWriteReply,
}

/// Claims that are queued for a transaction or in one.
#[derive(Debug, Default)]
pub(crate) struct ClaimBatch {
    queued: VecDeque<PendingClaim>,
    in_flight: Map<OpId, Vec<PendingClaim>>,
    pub(crate) is_timer_set: bool,
    /// When the last transaction was sent.
    pub(crate) flushed_at: Option<TimeMs>,
}

impl ClaimBatch {
    /// Queues a claim, or returns a refusal if the queue is full.
    pub(crate) fn push(&mut self, claim: PendingClaim) -> Option<OutgoingReply> {
        if self.queued.len() >= QUEUED_CLAIMS_MAX {
            return Some(reply_to(claim, ClaimWriteResult::Unavailable));
        }
        self.queued.push_back(claim);
        None
    }

    /// Number of queued claims.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no claim is queued or in a transaction.
    pub(crate) fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }

    /// Removes the claims of the next transaction from the queue: at most `max`, each row at most once.
    pub(crate) fn take_batch(&mut self, op: OpId, max: usize) -> Vec<RowWrite> {
        let mut keys = BTreeSet::new();
        let mut batch = Vec::new();
        let mut remaining = VecDeque::new();
        while let Some(claim) = self.queued.pop_front() {
            if batch.len() < max && keys.insert(claim.write.key.clone()) {
                batch.push(claim);
            } else {
                remaining.push_back(claim);
            }
        }
        self.queued = remaining;
        let writes = batch.iter().map(|claim| RowWrite {
            key: claim.write.key.clone(),
            expect: claim.write.expect,
            id: claim.write.id.clone(),
            value: RowValue::Claim(claim.write.row.clone()),
        });
        let writes = writes.collect();
        self.in_flight.insert(op, batch);
        writes
    }

    /// Handles the result of a transaction; returns `None` if it was not sent from here.
    pub(crate) fn on_reply(&mut self, op: OpId, reply: TableReply) -> Option<Vec<OutgoingReply>> {
        let batch = self.in_flight.remove(&op)?;
        let replies = match reply {
            TableReply::Committed(versions) => batch
                .into_iter()
                .zip(versions)
                .map(|(claim, version)| reply_to(claim, ClaimWriteResult::Committed(version)))
                .collect(),
            TableReply::Conflict(rows) => self.requeue_unconflicted(batch, rows),
            TableReply::Unavailable => reply_to_all(batch, &ClaimWriteResult::Unavailable),
            TableReply::Lost | TableReply::Rows(_) => reply_to_all(batch, &ClaimWriteResult::Lost),
        };
        Some(replies)
    }

    /// Replies to the claims that conflicted and puts the others back at the front of the queue.
    fn requeue_unconflicted(
        &mut self,
        batch: Vec<PendingClaim>,
        mut rows: Vec<(crate::platform::RowKey, Option<crate::platform::Row>)>,
    ) -> Vec<OutgoingReply> {
        let mut replies = Vec::new();
        for claim in batch.into_iter().rev() {
            match rows.iter().position(|(key, _)| *key == claim.write.key) {
                Some(index) => {
                    let (_, row) = rows.swap_remove(index);
                    replies.push(reply_to(claim, ClaimWriteResult::Conflict(row)));
                }
                None => self.queued.push_front(claim),
            }
        }
        replies
    }
}

fn reply_to(claim: PendingClaim, result: ClaimWriteResult) -> OutgoingReply {
    OutgoingReply { origin: claim.origin, reply: ClaimWriteReply { id: claim.write.id, result } }
}

fn reply_to_all(batch: Vec<PendingClaim>, result: &ClaimWriteResult) -> Vec<OutgoingReply> {
    batch.into_iter().map(|claim| reply_to(claim, result.clone())).collect()
}
