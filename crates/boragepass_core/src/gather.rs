//! Collects answers from every VM for an operator's command. The reply names each VM that did not answer
//! in time.

use std::collections::{BTreeMap, BTreeSet};

use boragepass_types::{CallId, OpId, RequestId, SpanMs, TimeMs, VmId};

use crate::effect::Effects;
use crate::explain::RequestTrace;
use crate::message::{GatherQuery, PartialAnswer, PeerMessage};
use crate::node::Node;
use crate::operator::OperatorReply;
use crate::timers::Timer;
use crate::usage::UsageReport;

const REPLY_TIMEOUT: SpanMs = SpanMs(1_500);

/// Command that waits for the answers of other VMs.
#[derive(Debug)]
struct PendingGather {
    call: CallId,
    question: GatherQuery,
    parts: BTreeMap<VmId, PartialAnswer>,
    /// VMs that have not answered yet.
    silent: BTreeSet<VmId>,
}

/// Commands that wait for answers, by operation.
#[derive(Debug, Default)]
pub(crate) struct Gathers {
    pending: BTreeMap<OpId, PendingGather>,
}

impl Node {
    /// Sends a question to every reachable VM.
    pub(crate) fn gather(&mut self, now: TimeMs, call: CallId, question: GatherQuery, out: &mut Effects) {
        let op = self.new_op();
        let receivers: Vec<_> = self.membership.reachable().cloned().collect();
        let mut parts = BTreeMap::new();
        parts.insert(self.settings.vm.clone(), self.local_part(now, &question));
        let silent: BTreeSet<_> = self.membership.members().map(|member| member.record.vm.clone()).collect();
        let gather = PendingGather { call, question: question.clone(), parts, silent };
        self.gathers.pending.insert(op, gather);
        for record in receivers {
            self.send_to(&record, PeerMessage::Gather { op, question: question.clone() }, out);
        }
        self.timers.set(now + REPLY_TIMEOUT, Timer::GatherTimeout(op));
        self.finish_gather_if_complete(op, out);
    }

    fn local_part(&self, now: TimeMs, question: &GatherQuery) -> PartialAnswer {
        match question {
            GatherQuery::Explain(request) => PartialAnswer::Explain(self.tracer.find(request)),
            GatherQuery::Usage => {
                let report = self.usage.report(now, &self.settings.vm, self.settings.incarnation);
                PartialAnswer::Usage(Box::new(report))
            }
        }
    }

    /// Answers a question that another VM asks for an operator.
    pub(crate) fn on_gather_request(
        &mut self,
        now: TimeMs,
        from: &VmId,
        op: OpId,
        question: &GatherQuery,
        out: &mut Effects,
    ) {
        let part = self.local_part(now, question);
        self.send_to_vm(from, PeerMessage::Gathered { op, part }, out);
    }

    /// Records the answer of another VM.
    pub(crate) fn on_gather_reply(&mut self, op: OpId, from: VmId, part: PartialAnswer, out: &mut Effects) {
        if let Some(gather) = self.gathers.pending.get_mut(&op) {
            gather.silent.remove(&from);
            gather.parts.insert(from, part);
        }
        self.finish_gather_if_complete(op, out);
    }

    fn finish_gather_if_complete(&mut self, op: OpId, out: &mut Effects) {
        if self.gathers.pending.get(&op).is_some_and(|gather| gather.silent.is_empty()) {
            self.finish_gather(op, out);
        }
    }

    /// Answers the operator with the parts received so far.
    pub(crate) fn finish_gather(&mut self, op: OpId, out: &mut Effects) {
        let Some(gather) = self.gathers.pending.remove(&op) else {
            return;
        };
        let silent: Vec<_> = gather.silent.into_iter().collect();
        let parts = gather.parts.into_values();
        let reply = match gather.question {
            GatherQuery::Explain(_) => OperatorReply::Explained { traces: traces_in(parts), silent },
            GatherQuery::Usage => {
                let plans = self.lists.plans().cloned().collect();
                OperatorReply::Usage { reports: reports_in(parts), silent, plans }
            }
        };
        self.reply_operator(gather.call, reply, out);
    }

    /// Collects the decisions for a request from every VM.
    pub(crate) fn explain(&mut self, now: TimeMs, call: CallId, request: RequestId, out: &mut Effects) {
        self.gather(now, call, GatherQuery::Explain(request), out);
    }
}

fn traces_in(parts: impl Iterator<Item = PartialAnswer>) -> Vec<RequestTrace> {
    parts
        .flat_map(|part| match part {
            PartialAnswer::Explain(traces) => traces,
            PartialAnswer::Usage(_) => Vec::new(),
        })
        .collect()
}

fn reports_in(parts: impl Iterator<Item = PartialAnswer>) -> Vec<UsageReport> {
    parts
        .filter_map(|part| match part {
            PartialAnswer::Usage(report) => Some(*report),
            PartialAnswer::Explain(_) => None,
        })
        .collect()
}
