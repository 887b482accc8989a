//! Evacuated failure domains: changes of the set take effect at once for requests, calls and queued pieces, and the VM
//! that reads a change in the store tells all others.

use boragepass_types::{FailureDomain, PoolId, SpanMs, TimeMs};

use super::RequestPath;
use crate::admission::RefusalReason;
use crate::fleet::VmState;
use crate::placement::{EvacuationSource, Evacuations};
use crate::record::Record;

impl RequestPath {
    /// Newest set of evacuated failure domains; `None` before this VM knows one.
    pub fn evacuations(&self) -> Option<&Evacuations> {
        self.endpoint_table.evacuations.newest()
    }

    /// Where the newest set comes from; `None` before this VM knows one.
    pub fn evacuation_source(&self) -> Option<EvacuationSource> {
        self.endpoint_table.evacuations.source()
    }

    /// Evacuated failure domains with how long this VM has known it.
    pub fn evacuated_domains(&self, now: TimeMs) -> impl Iterator<Item = (&FailureDomain, SpanMs)> {
        self.endpoint_table.evacuations.durations(now)
    }

    /// Takes in a set of evacuated failure domains. Work in progress there is left to end.
    pub(super) fn on_evacuations(&mut self, now: TimeMs, read: Evacuations, source: EvacuationSource) {
        let (version, was_known) = (read.version, self.evacuations().is_some());
        let change = self.endpoint_table.evacuations.update(now, read, source);
        for domain in &change.begun {
            let record = Record::new("failure domain evacuated").text("domain", domain).text("source", source);
            self.log(record.text("version", version));
        }
        for (domain, duration) in &change.ended {
            let record = Record::new("failure domain taken back").text("domain", domain).text("source", source);
            self.log(record.text("version", version).number("evacuated_for_ms", duration.0));
        }
        if !was_known {
            self.update_readiness(now);
        }
        if change.begun.is_empty() && change.ended.is_empty() {
            return;
        }
        if source == EvacuationSource::Store && was_known {
            // VMs that do not follow the store would otherwise learn of it from the next regular heartbeat, which takes
            // seconds between regions.
            self.send_heartbeats(now);
        }
        self.update_limit_shares(now);
        self.run_all_pools(now);
    }

    /// Whether this VM still waits for the evacuated failure domains, so that it does not serve yet.
    pub(super) fn awaits_evacuations(&mut self, now: TimeMs) -> bool {
        if self.fleet.local_record.state != VmState::Starting || self.evacuations().is_some() {
            return false;
        }
        self.endpoint_table.evacuations.begin_wait(now);
        let is_awaited = self.endpoint_table.evacuations.is_awaited(now);
        if !is_awaited {
            self.log(Record::new("serving without knowing the evacuated failure domains"));
        }
        is_awaited
    }

    /// Why no endpoint of a pool can be chosen if none takes new work.
    pub(super) fn no_endpoint_reason(&self, pool: &PoolId) -> RefusalReason {
        match self.endpoint_table.is_evacuated(pool) {
            true => RefusalReason::EndpointsEvacuated,
            false => RefusalReason::NoEndpoint,
        }
    }
}
