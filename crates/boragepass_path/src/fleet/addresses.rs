//! Addresses returned to a client that resolves where to connect.

use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Region, TimeMs};

use super::Fleet;

impl Fleet {
    /// Client addresses of the serving VMs in a failure domain that reach endpoints; of its region if there are none,
    /// else of all.
    pub(crate) fn client_addresses(
        &self,
        now: TimeMs,
        region: Option<&Region>,
        domain: Option<&FailureDomain>,
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
        serving.iter().map(|record| record.client_address).collect()
    }
}
