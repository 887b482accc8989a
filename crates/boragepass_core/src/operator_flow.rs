//! Executes operator commands; commits go to `list_commit`, queries of all VMs go to `gather`.

use boragepass_types::{CallId, ContentDigest, SpanMs, TimeMs};

use crate::effect::Effects;
use crate::message::{GatherQuery, VerdictKind};
use crate::node::Node;
use crate::operator::{EndpointStatus, FleetStatus, OperatorCommand, OperatorReply, VmStatus};
use crate::platform::VmState;

impl Node {
    /// Executes a command and sends the reply, at once or when the commit or gather ends.
    pub(crate) fn on_operator_command(
        &mut self,
        now: TimeMs,
        call: CallId,
        command: OperatorCommand,
        out: &mut Effects,
    ) {
        let version = self.lists.version().unwrap_or_default();
        let reply = match command {
            OperatorCommand::Commit { expect, edit } => return self.commit(now, call, expect, edit, out),
            OperatorCommand::Explain(request) => return self.explain(now, call, request, out),
            OperatorCommand::Usage => return self.gather(now, call, GatherQuery::Usage, out),
            OperatorCommand::Plans => OperatorReply::Plans(version, self.lists.plans().cloned().collect()),
            OperatorCommand::Plan(workspace) => {
                OperatorReply::Plans(version, self.lists.plan(&workspace).cloned().into_iter().collect())
            }
            OperatorCommand::Allowlists => {
                OperatorReply::Allowlists(version, self.lists.allowlists().cloned().collect())
            }
            OperatorCommand::Allowlist(workspace) => {
                OperatorReply::Allowlists(version, self.lists.allowlist(&workspace).cloned().into_iter().collect())
            }
            OperatorCommand::Status => OperatorReply::Status(Box::new(self.status(now))),
            OperatorCommand::Quarantine => OperatorReply::Quarantine(self.quarantine.entries(now)),
            OperatorCommand::QuarantineClear(digest) => OperatorReply::Cleared(self.clear_quarantine(now, digest, out)),
        };
        self.reply_operator(call, reply, out);
    }

    /// Releases content from quarantine on all VMs; returns the number of entries.
    fn clear_quarantine(&mut self, now: TimeMs, digest: Option<ContentDigest>, out: &mut Effects) -> usize {
        let entries = self.quarantine.entries(now);
        let released_entries: Vec<_> =
            entries.into_iter().filter(|entry| digest.is_none_or(|digest| digest == entry.digest)).collect();
        for entry in &released_entries {
            self.quarantine.release(now, entry.digest);
            self.broadcast_verdict(entry.digest, &entry.workspace, VerdictKind::Released, SpanMs(0), out);
        }
        if !released_entries.is_empty() {
            self.save_verdicts(now, out);
        }
        released_entries.len()
    }

    fn status(&self, now: TimeMs) -> FleetStatus {
        let local_record = &self.membership.local_record;
        let local_vm = (local_record, self.lists.version().unwrap_or_default());
        let others = self.membership.members().map(|member| (&member.record, self.membership.lists_of(member)));
        let vms = std::iter::once(local_vm).chain(others).map(|(record, lists)| VmStatus {
            vm: record.vm.clone(),
            region: record.region.clone(),
            state: record.state,
            lists,
        });
        let endpoints = self.endpoints.iter().filter(|(_, endpoint)| endpoint.state != VmState::Gone);
        let endpoints = endpoints.map(|(_, endpoint)| EndpointStatus {
            endpoint: endpoint.id.clone(),
            region: endpoint.region.clone(),
            is_open: endpoint.is_open(),
            is_ejected: endpoint.health.is_ejected(now),
            in_flight: endpoint.in_flight,
            reported: endpoint.load.running + endpoint.load.queued,
            age_ms: endpoint.reported_at.map(|at| now.since(at)),
        });
        let highest = self.lists.highest_known;
        FleetStatus {
            vm: local_record.vm.clone(),
            lists: self.lists.version(),
            highest,
            admits: self.is_ready() && !self.is_isolated(now) && !self.is_draining(),
            table_is_up: self.table_is_up,
            in_progress: self.requests.len(),
            vms: vms.collect(),
            endpoints: endpoints.collect(),
            waiting_for: self.waiting_for(now, highest),
        }
    }
}
