//! Failure domains whose endpoints the operators want unused, for planned work there.

use std::collections::BTreeSet;

use boragepass_types::FailureDomain;

use super::StoreVersion;

/// Evacuated failure domains at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Version of the store at which they were read.
    pub version: StoreVersion,
    /// Failure domains.
    pub domains: BTreeSet<FailureDomain>,
}
