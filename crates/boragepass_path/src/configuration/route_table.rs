//! Lookup of routes by host and longest path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use super::Route;

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum RouteError {
    /// no route has this host
    UnknownHost,
    /// no route of this host has a prefix of this path
    UnknownPath,
}

impl std::error::Error for RouteError {}

/// Routes of one configuration by host, longest prefix first.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteTable {
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    pub(super) fn new(routes: Vec<Route>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    pub(super) fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>, RouteError> {
        let routes = self.by_host.get(host).ok_or(RouteError::UnknownHost)?;
        let has_prefix = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        routes.iter().find(has_prefix).ok_or(RouteError::UnknownPath)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}
