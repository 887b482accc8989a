//! Settings of the request path, resolved by the program that runs it.

use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Incarnation, Millicores, Region, SpanMs, VmId};

/// Limits on repeated sends, shared by all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeated sends for each request of a pool, as a share.
    pub ratio: f64,
    /// Repeated sends allowed beside that share.
    pub slack: f64,
    /// Window over which they are counted.
    pub window_ms: SpanMs,
}

/// Who composes the calls of a stage pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Batching {
    /// One VM for each pool and failure domain.
    #[default]
    Led,
    /// Each VM for its own requests; the baseline that leads are measured against.
    Alone,
}

/// Settings of one VM's request path.
#[derive(Debug, Clone)]
pub struct PathSettings {
    /// This VM.
    pub vm: VmId,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Its processor.
    pub processor: Millicores,
    /// Region of each failure domain.
    pub regions: Vec<(FailureDomain, Region)>,
    /// Limits on repeated sends.
    pub retries: RetryLimits,
    /// How long a stopped process may go on.
    pub stop_grace_ms: SpanMs,
    /// Who composes the calls of a stage pool.
    pub batching: Batching,
    /// Seed of random choices.
    pub seed: u64,
}

impl PathSettings {
    /// Region of a failure domain; this VM's own for one that the settings do not name.
    pub fn region_of(&self, failure_domain: &FailureDomain) -> &Region {
        let found = self.regions.iter().find(|(name, _)| name == failure_domain);
        found.map_or(&self.region, |(_, region)| region)
    }

    /// How far a failure domain is from this VM.
    pub fn distance_to(&self, failure_domain: &FailureDomain) -> Distance {
        if *failure_domain == self.failure_domain {
            Distance::SameDomain
        } else if *self.region_of(failure_domain) == self.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// How far away something stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Time of one exchange, there and back; the sites' links take 0.5 to 1.4 ms and 20 ms one way.
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::SameDomain => 0.5,
            Self::SameRegion => 2.0,
            Self::OtherRegion => 41.0,
        }
    }
}
