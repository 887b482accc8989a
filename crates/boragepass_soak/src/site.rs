//! What the operators of the soak configure, and the settings of its VMs.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host of all routes.
pub(crate) const HOST: &str = "gigs.example";
/// Key of every client, and the workspace that holds it.
pub(crate) const KEY: &str = "key-of-a-client";
/// Workspace of that key.
pub(crate) const WORKSPACE: &str = "bozi300";
/// Failure domains, all in one region.
pub(crate) const DOMAINS: [&str; 2] = ["lagos-a", "lagos-b"];
/// Grace period of a VM that is asked to stop.
pub(crate) const GRACE_S: u64 = 8;

/// Configuration of a version: the fixture's routes and one that only this version has.
pub(crate) fn configuration(version: u64) -> Vec<u8> {
    let mut value: Value = serde_json::from_str(include_str!("../../../platform/tests/fixtures/site.json"))
        .expect("the platform's fixture is JSON");
    value["version"] = json!(version);
    if let Some(routes) = value["routes"].as_array_mut() {
        let mut extra = routes.last().cloned().unwrap_or_default();
        extra["name"] = json!(format!("extra-{version}"));
        extra["prefix"] = json!(extra_prefix(version));
        routes.push(extra);
    }
    serde_json::to_vec(&value).expect("the configuration is JSON")
}

/// Prefix of the route that only one version has.
pub(crate) fn extra_prefix(version: u64) -> String {
    format!("/extra-{version}/")
}

/// Ports of a VM.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ports {
    pub(crate) clients: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) addresses: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) peers: SocketAddr,
}

/// Settings of a VM in its own format.
pub(crate) fn settings(number: usize, ports: &Ports, store: SocketAddr, seeds: &[SocketAddr]) -> String {
    let domain = DOMAINS[number % DOMAINS.len()];
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let Ports { clients, readiness, addresses, operators, metrics, peers } = ports;
    format!(
        "[node]\nvm = entry-{number}\nregion = lagos\nfailure_domain = {domain}\ncores = 0.25\n\n[listen]\nclients = \
         {clients}\nreadiness = {readiness}\naddresses = {addresses}\noperators = {operators}\nmetrics = \
         {metrics}\npeers = {peers}\n\n[store]\naddress = {store}\n\n[peers]\nkey = between-entry-vms\nseeds = \
         {}\n\n[failure_domains]\nlagos-a = lagos\nlagos-b = lagos\n\n[retries]\nratio = 0.2\nslack = 56\nwindow_s = \
         10\n\n[stop]\ngrace_s = {GRACE_S}\n",
        seeds.join(",")
    )
}
