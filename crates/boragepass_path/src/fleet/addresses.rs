//! Addresses returned to a client that resolves where to connect.

use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Region, TimeMs};

use super::{Fleet, VmRecord};
use crate::placement::Homes;

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
        let serving = self.serving_with_endpoints(now);
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
            let all_serving: Vec<_> = self.serving(now).collect();
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
}
