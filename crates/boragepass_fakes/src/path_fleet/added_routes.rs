//! Which added routes each configuration has, and whether requests on them are handled by one that may be in force.
//!
//! A request is judged by how it was handled: it was sent to an endpoint, so its route existed, or it was answered that
//! no route matches. The record knows neither versions at VMs nor what VMs tell each other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use boragepass_types::{SpanMs, TimeMs};

/// Time after its confirmation from which a version is in force at all VMs in touch, as the users' smaller sites state it.
const APPLY_MS: u64 = 2_500;
/// Time from the first effect of a version at a VM from which that VM handles nothing by an older one.
const DOWNGRADE_MS: u64 = 250;

/// Number of an added route.
pub(super) type AddedRoute = u8;

/// How a request on an added route was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Handling {
    /// It was sent to an endpoint.
    Sent,
    /// It was answered that no route matches.
    NoRoute,
}

/// Request on an added route.
#[derive(Debug)]
struct Probe {
    /// VM that the client sent it to, and the incarnation of its process.
    process: (usize, u64),
    route: AddedRoute,
    sent_at: TimeMs,
}

/// Added routes over time, requests on them, and what VMs have shown.
#[derive(Debug, Default)]
pub(super) struct AddedRoutes {
    /// Time of confirmation and added routes of each version, in order.
    versions: Vec<(TimeMs, BTreeSet<AddedRoute>)>,
    probes: BTreeMap<Arc<str>, Probe>,
    /// Earliest version that explains what a process has sent so far, and since when that is known.
    shown: BTreeMap<(usize, u64), (usize, TimeMs)>,
}

impl AddedRoutes {
    /// Records a new version.
    pub(super) fn on_confirmed(&mut self, now: TimeMs, routes: BTreeSet<AddedRoute>) {
        self.versions.push((now, routes));
    }

    /// Records that a client sent a request on an added route to a process.
    pub(super) fn on_sent(&mut self, now: TimeMs, client_id: &Arc<str>, process: (usize, u64), route: AddedRoute) {
        self.probes.insert(client_id.clone(), Probe { process, route, sent_at: now });
    }

    /// VM that a request on an added route was sent to.
    pub(super) fn vm_of(&self, client_id: &Arc<str>) -> Option<usize> {
        self.probes.get(client_id).map(|probe| probe.process.0)
    }

    /// Added route that a request is on.
    pub(super) fn route_of(&self, client_id: &Arc<str>) -> Option<AddedRoute> {
        self.probes.get(client_id).map(|probe| probe.route)
    }

    /// Checks how a request was handled; returns what is wrong with that.
    pub(super) fn check(
        &mut self,
        now: TimeMs,
        client_id: &Arc<str>,
        handling: Handling,
        in_touch: bool,
    ) -> Option<&'static str> {
        let probe = self.probes.get(client_id)?;
        let explains = |routes: &BTreeSet<AddedRoute>| routes.contains(&probe.route) == (handling == Handling::Sent);
        let explaining: Vec<usize> = self
            .versions
            .iter()
            .enumerate()
            .filter(|(_, (_, routes))| explains(routes))
            .map(|(index, _)| index)
            .collect();
        let in_force = self.versions.iter().rposition(|(at, _)| probe.sent_at > *at + SpanMs(APPLY_MS)).unwrap_or(0);
        let newest_explaining = explaining.last().copied();
        let shown = self.shown.get(&probe.process).copied();
        let is_outdated = in_touch && newest_explaining < Some(in_force);
        let has_gone_back = shown.is_some_and(|(version, since)| {
            probe.sent_at > since + SpanMs(DOWNGRADE_MS) && newest_explaining < Some(version)
        });
        if handling == Handling::Sent {
            let shown_before = shown.map_or(0, |(version, _)| version);
            let version = explaining.iter().copied().find(|version| *version >= shown_before);
            if let Some(version) = version.filter(|version| *version > shown_before) {
                self.shown.insert(probe.process, (version, now));
            }
        }
        if has_gone_back {
            Some("a VM went back to an older configuration")
        } else if is_outdated {
            Some("a request was handled by a configuration that was no longer in force")
        } else {
            None
        }
    }

    /// Routes of the newest version.
    pub(super) fn newest(&self) -> BTreeSet<AddedRoute> {
        self.versions.last().map(|(_, routes)| routes.clone()).unwrap_or_default()
    }
}
