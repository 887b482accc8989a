//! Questions to every VM for an operator's answer. VMs that do not answer in time are named, never
//! passed over in silence.

use std::collections::{BTreeMap, BTreeSet};

use boragepass_types::{CallId, OpId, RequestId, SpanMs, TimeMs, VmId};

use crate::effect::Effects;
use crate::explain::RequestTrace;
use crate::message::{GatherQuery, PartialAnswer, PeerMessage};
use crate::node::Node;
use crate::operator::OperatorReply;
use crate::timers::Timer;
use crate::usage::UsageReport;

const WAIT: SpanMs = SpanMs(1_500);

/// Question under way.
#[derive(Debug)]
struct Gather {
    call: CallId,
    question: GatherQuery,
    parts: BTreeMap<VmId, PartialAnswer>,
    silent: BTreeSet<VmId>,
}

/// Questions under way.
#[derive(Debug, Default)]
pub(crate) struct Gathers {
    under_way: BTreeMap<OpId, Gather>,
}

impl Node {
    /// Asks every VM.
    pub(crate) fn gather(&mut self, now: TimeMs, call: CallId, question: GatherQuery, out: &mut Effects) {
        let op = self.new_op();
        let receivers: Vec<_> = self.membership.reachable().cloned().collect();
        let mut parts = BTreeMap::new();
        parts.insert(self.settings.vm.clone(), self.answer(now, &question));
        let silent: BTreeSet<_> = self.membership.members().map(|member| member.record.vm.clone()).collect();
        let gather = Gather { call, question: question.clone(), parts, silent };
        self.gathers.under_way.insert(op, gather);
        for record in receivers {
            self.send_to(&record, PeerMessage::Gather { op, question: question.clone() }, out);
        }
        self.timers.set(now + WAIT, Timer::GatherTimeout(op));
        self.finish_gather_if_complete(op, out);
    }

    fn answer(&self, now: TimeMs, question: &GatherQuery) -> PartialAnswer {
        match question {
            GatherQuery::Explain(request) => PartialAnswer::Explain(self.tracer.find(request)),
            GatherQuery::Usage => {
                let report = self.usage.report(now, &self.settings.vm, self.settings.incarnation);
                PartialAnswer::Usage(Box::new(report))
            }
        }
    }

    /// Another VM asks for an operator.
    pub(crate) fn on_gather_request(
        &mut self,
        now: TimeMs,
        from: &VmId,
        op: OpId,
        question: &GatherQuery,
        out: &mut Effects,
    ) {
        let part = self.answer(now, question);
        self.send_to_vm(from, PeerMessage::Gathered { op, part }, out);
    }

    /// Another VM has answered.
    pub(crate) fn on_gather_reply(&mut self, op: OpId, from: VmId, part: PartialAnswer, out: &mut Effects) {
        if let Some(gather) = self.gathers.under_way.get_mut(&op) {
            gather.silent.remove(&from);
            gather.parts.insert(from, part);
        }
        self.finish_gather_if_complete(op, out);
    }

    fn finish_gather_if_complete(&mut self, op: OpId, out: &mut Effects) {
        if self.gathers.under_way.get(&op).is_some_and(|gather| gather.silent.is_empty()) {
            self.finish_gather(op, out);
        }
    }

    /// Answers the operator with what has come.
    pub(crate) fn finish_gather(&mut self, op: OpId, out: &mut Effects) {
        let Some(gather) = self.gathers.under_way.remove(&op) else {
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

    /// Decisions for a request, from every VM.
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
