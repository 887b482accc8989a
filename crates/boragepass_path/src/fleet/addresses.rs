//! Addresses returned to a client that resolves where to connect.

use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Region, SpanMs, TimeMs};

use super::{Fleet, VmRecord};
use crate::placement::Homes;

/// Time since the last heartbeat of a VM after which no answer names it. Answers must not name a VM that ended more than
/// 8 s ago (`contactMs` and 3 s); the half second covers heartbeats under way and the answer itself. In a fleet of 195,
/// a VM of another region counts as dead only after 11.7 s, since its heartbeats are rare.
const NAMED_AFTER_HEARTBEAT_MAX: SpanMs = SpanMs(7_500);

impl Fleet {
    /// Client addresses of the serving VMs in a failure domain that reach endpoints; of its region if there are none,
    /// else of all. If the host's requests have home regions, VMs of the client's region or a home come before others,
    /// even those that reach no endpoint, since they relay.
    pub(crate) fn client_addresses(
        &self,
        now: TimeMs,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
        homes: &Homes,
    ) -> Vec<SocketAddr> {
        let serving = self.named_vms(now);
        let in_domain = serving.iter().filter(|record| Some(&record.failure_domain) == domain);
        let in_domain: Vec<_> = in_domain.map(|record| record.client_address).collect();
        if !in_domain.is_empty() {
            return in_domain;
        }
        let in_region = serving.iter().filter(|record| Some(&record.region) == region);
        let in_region: Vec<_> = in_region.map(|record| record.client_address).collect();
        if !in_region.is_empty() {
            return in_region;
        }
        if homes.is_restricted() {
            let is_heard = |record: &&VmRecord| self.is_heard_within(now, &record.vm, NAMED_AFTER_HEARTBEAT_MAX);
            let all_serving: Vec<_> = self.serving(now).filter(is_heard).collect();
            let is_near = |record: &&&VmRecord| Some(&record.region) == region;
            let is_home = |record: &&&VmRecord| homes.allows(&record.region);
            let choices: [Vec<_>; 3] = [
                serving.iter().filter(is_home).map(|record| record.client_address).collect(),
                all_serving.iter().filter(is_near).map(|record| record.client_address).collect(),
                all_serving.iter().filter(is_home).map(|record| record.client_address).collect(),
            ];
            if let Some(addresses) = choices.into_iter().find(|addresses| !addresses.is_empty()) {
                return addresses;
            }
        }
        serving.iter().map(|record| record.client_address).collect()
    }

    /// VMs that answers may name: serving ones, heard lately, that reach endpoints. The last and then the second condition
    /// is dropped if no VM meets it.
    fn named_vms(&self, now: TimeMs) -> Vec<&VmRecord> {
        let reaching = self.serving_with_endpoints(now);
        let is_heard = |record: &&VmRecord| self.is_heard_within(now, &record.vm, NAMED_AFTER_HEARTBEAT_MAX);
        let heard: Vec<_> = reaching.iter().copied().filter(is_heard).collect();
        if !heard.is_empty() {
            return heard;
        }
        let heard: Vec<_> = self.serving(now).filter(is_heard).collect();
        if heard.is_empty() { reaching } else { heard }
    }
}
