//! Variants of a deployment whose routes or workspaces have home regions.

use std::collections::BTreeSet;
use std::sync::Arc;

use boragepass_path::{ApiKey, Workspace};
use boragepass_types::Region;

use super::deployment::{Deployment, Site};

/// Host of the routes with home regions.
const HOME_HOST: &str = "homes.example";
/// API key of clients whose workspace has home regions.
const HOME_KEY: &str = "home-client-key";

fn regions(names: &[&str]) -> Vec<Region> {
    names.iter().map(|name| name.parse().expect("the model's names are valid")).collect()
}

impl Deployment {
    /// A site whose kinds have home regions: the first in two regions, the second in one that its route and its workspace
    /// have in common, the fourth in one of its route. The other kinds have none.
    pub fn with_homes(site: Site) -> Self {
        let mut deployment = Self::of(site);
        deployment.home_workspace = Some(Workspace {
            name: "home-workspace".parse().expect("the model's names are valid"),
            priority: 1,
            keys: vec![ApiKey(Arc::from(HOME_KEY))],
            home_regions: regions(&["region-b", "region-c"]),
        });
        deployment.kinds[1].key = HOME_KEY;
        deployment.set_home_regions(0, &["region-a", "region-b"]);
        deployment.set_home_regions(1, &["region-a", "region-b"]);
        deployment.set_home_regions(3, &["region-c"]);
        deployment
    }

    /// Changes the home regions of a kind's route. They are in force once the configuration is published.
    pub fn set_home_regions(&mut self, kind: usize, names: &[&str]) {
        let route = &mut self.kinds[kind].route;
        route.home_regions = regions(names);
        route.host = HOME_HOST.into();
    }

    /// Whether requests of a kind are on a route with home regions.
    pub(super) fn has_homes(&self, kind: usize) -> bool {
        !self.kinds[kind].route.home_regions.is_empty()
    }

    /// Regions in which requests of a kind may be served.
    pub(super) fn allowed_regions(&self, kind: usize) -> BTreeSet<Region> {
        let kind = &self.kinds[kind];
        let workspace =
            self.home_workspace.iter().filter(|workspace| workspace.keys.contains(&ApiKey(kind.key.into())));
        let lists = workspace.map(|workspace| &workspace.home_regions).chain([&kind.route.home_regions]);
        let lists: Vec<_> = lists.filter(|list| !list.is_empty()).collect();
        let all = self.domains.iter().map(|(_, region)| region.clone());
        all.filter(|region| lists.iter().all(|list| list.contains(region))).collect()
    }
}
