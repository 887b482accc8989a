//! Settings of the request path, as resolved by the program that runs it.

use std::net::SocketAddr;

use boragepass_types::{FailureDomain, Incarnation, Millicores, Region, SpanMs, VmId};

/// Limits on retries, which all VMs share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Allowed retries per request of a pool, as a share.
    pub ratio: f64,
    /// Number of retries allowed in addition to that share.
    pub slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub window_ms: SpanMs,
}

/// Requests in one second that a cold endpoint bears, from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate that its pool states.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self { overage: 1.0, slack: 0.0 }
    }
}

/// Who composes the calls of a stage pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, derive_more::Display, derive_more::FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Batching {
    /// One leader VM for each pool and region.
    #[default]
    Led,
    /// Each VM for its own requests; serves as the baseline in benchmarks.
    Alone,
}

/// Settings of one VM's request path.
#[derive(Debug, Clone)]
pub struct PathSettings {
    /// Id of this VM.
    pub vm: VmId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Region of this VM.
    pub region: Region,
    /// Failure domain of this VM.
    pub failure_domain: FailureDomain,
    /// Address at which clients connect.
    pub client_address: SocketAddr,
    /// Address at which other VMs connect.
    pub peer_address: SocketAddr,
    /// Address at which other VMs relay requests.
    pub relay_address: SocketAddr,
    /// Processor capacity of this VM.
    pub processor: Millicores,
    /// Region of each failure domain.
    pub regions: Vec<(FailureDomain, Region)>,
    /// Limits on retries.
    pub retries: RetryLimits,
    /// Requests that a cold endpoint bears.
    pub cold_bounds: ColdBounds,
    /// Time from the request to stop until the process has to exit.
    pub stop_grace_ms: SpanMs,
    /// Who composes the calls of a stage pool.
    pub batching: Batching,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl PathSettings {
    /// Region of a failure domain; this VM's own region if the settings do not name the domain.
    pub fn region_of(&self, failure_domain: &FailureDomain) -> &Region {
        let found = self.regions.iter().find(|(name, _)| name == failure_domain);
        found.map_or(&self.region, |(_, region)| region)
    }

    /// Distance from this VM to a failure domain.
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

/// Network distance between two failure domains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same failure domain.
    SameDomain,
    /// Another failure domain of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Time of one round trip. Links take 0.5 to 1.4 ms one way within a region and 20 ms between regions.
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::SameDomain => 0.5,
            Self::SameRegion => 2.0,
            Self::OtherRegion => 41.0,
        }
    }
}
