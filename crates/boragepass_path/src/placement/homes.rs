//! Home regions: where a request may be served, cached and stored.
//!
//! A route and a workspace may each list regions; both lists bind. What has no list is allowed everywhere. Whatever
//! places a request asks here: the choice of an endpoint, of a stage's region, of a pool leader and of a relay, and the
//! answers about addresses. A list holds a few regions of at most tens, and each check is one look-up in it, which
//! suits thousands of candidates a second on the smallest VM.

use std::collections::BTreeSet;

use boragepass_types::{FailureDomain, Region};

use super::KnownEndpoint;
use crate::configuration::{Route, Workspace};
use crate::settings::PathSettings;

/// Regions in which a request may be served, cached and stored.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Homes {
    /// `None` if all regions are allowed; an empty set if no region is in all lists.
    regions: Option<BTreeSet<Region>>,
}

impl Homes {
    /// Home regions of a request of a route and, if its client has one, a workspace.
    pub fn of(route: &Route, workspace: Option<&Workspace>) -> Self {
        let of_workspace = workspace.map_or_else(Self::default, |workspace| Self::listed(&workspace.home_regions));
        Self::listed(&route.home_regions).and(&of_workspace)
    }

    /// Home regions that another VM stated, which may be none at all.
    pub fn stated(regions: Option<BTreeSet<Region>>) -> Self {
        Self { regions }
    }

    /// Allowed regions; `None` if all are.
    pub fn regions(&self) -> Option<&BTreeSet<Region>> {
        self.regions.as_ref()
    }

    /// Home regions of one list; an empty list allows all.
    fn listed(regions: &[Region]) -> Self {
        Self { regions: (!regions.is_empty()).then(|| regions.iter().cloned().collect()) }
    }

    /// Regions that both allow.
    pub fn and(&self, other: &Self) -> Self {
        let regions = match (&self.regions, &other.regions) {
            (Some(own), Some(others)) => Some(own.intersection(others).cloned().collect()),
            (Some(regions), None) | (None, Some(regions)) => Some(regions.clone()),
            (None, None) => None,
        };
        Self { regions }
    }

    /// Whether a region is allowed.
    pub fn allows(&self, region: &Region) -> bool {
        self.regions.as_ref().is_none_or(|regions| regions.contains(region))
    }

    /// Whether any list restricts the regions.
    pub fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Names of the allowed regions, for a log line.
    pub(crate) fn names(&self) -> String {
        let names = self.regions.iter().flatten().map(Region::as_str);
        names.collect::<Vec<_>>().join(",")
    }

    /// These home regions by failure domain.
    pub(crate) fn places<'a>(&'a self, settings: &'a PathSettings) -> AllowedPlaces<'a> {
        AllowedPlaces { homes: self, settings }
    }

    /// Whether a VM in `region` may hold the content of a request that came to this VM from its client.
    pub(crate) fn allows_vm_of(&self, region: &Region, local_region: &Region) -> bool {
        self.allows(region) || region == local_region
    }
}

/// Failure domains whose endpoints may serve a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AllowedPlaces<'a> {
    homes: &'a Homes,
    settings: &'a PathSettings,
}

impl AllowedPlaces<'_> {
    pub(crate) fn is_restricted(&self) -> bool {
        self.homes.is_restricted()
    }

    /// Whether an endpoint of a failure domain may serve. One that the settings do not name is in no known region, so a
    /// restricted request does not go there.
    pub(crate) fn allows_domain(&self, domain: &FailureDomain) -> bool {
        let region = || self.settings.regions.iter().find(|(name, _)| name == domain).map(|(_, region)| region);
        !self.homes.is_restricted() || region().is_some_and(|region| self.homes.allows(region))
    }

    pub(crate) fn allows_endpoint(&self, known: &KnownEndpoint) -> bool {
        self.allows_domain(&known.endpoint.failure_domain)
    }
}
