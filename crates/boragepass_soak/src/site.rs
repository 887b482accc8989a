//! Configuration of the site under test, and the settings files of its VMs.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host of all routes.
pub(crate) const HOST: &str = "gigs.example";
/// API key of every client.
pub(crate) const API_KEY: &str = "key-of-a-client";
/// Workspace that the API key belongs to.
pub(crate) const WORKSPACE: &str = "bozi300";
/// Failure domains of the VMs and endpoints, all in one region.
pub(crate) const DOMAINS: [&str; 2] = ["lagos-a", "lagos-b"];
/// Time in seconds that a VM has to stop after SIGTERM.
pub(crate) const GRACE_S: u64 = 8;

/// Routes that every fifth version has beside the others.
const MANY_ROUTES: u64 = 1_300;

/// Configuration of a version as JSON: the routes of the platform's fixture and one that only this version has. Some versions
/// have many more routes.
pub(crate) fn configuration(version: u64) -> Vec<u8> {
    let mut value: Value = serde_json::from_str(include_str!("../../../platform/tests/fixtures/site.json"))
        .expect("the platform's fixture is JSON");
    value["version"] = json!(version);
    if let Some(routes) = value["routes"].as_array_mut() {
        let template = routes.last().cloned().unwrap_or_default();
        let mut add = |name: String, prefix: String| {
            let mut route = template.clone();
            (route["name"], route["prefix"]) = (json!(name), json!(prefix));
            routes.push(route);
        };
        add(format!("extra-{version}"), extra_prefix(version));
        if version.is_multiple_of(5) {
            (0..MANY_ROUTES).for_each(|number| add(format!("one-of-many-{number}"), format!("/many-{number}/")));
        }
    }
    serde_json::to_vec(&value).expect("the configuration is JSON")
}

/// Path prefix of the route that only this version of the configuration has.
pub(crate) fn extra_prefix(version: u64) -> String {
    format!("/extra-{version}/")
}

/// Addresses that a VM listens on; each field has the name of its key in the settings' section `[listen]`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenAddresses {
    pub(crate) clients: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) addresses: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) relays: SocketAddr,
}

/// Text of a VM's settings file.
pub(crate) fn settings_text(
    vm_number: usize,
    listen: &ListenAddresses,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> String {
    let domain = DOMAINS[vm_number % DOMAINS.len()];
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let ListenAddresses { clients, readiness, addresses, operators, metrics, peers, relays } = listen;
    format!(
        "[node]\nvm = entry-{vm_number}\nregion = lagos\nfailure_domain = {domain}\ncores = 0.25\n\n[listen]\nclients = \
         {clients}\nreadiness = {readiness}\naddresses = {addresses}\noperators = {operators}\nmetrics = \
         {metrics}\npeers = {peers}\nrelays = {relays}\n\n[store]\naddress = {store}\n\n[peers]\nkey = between-entry-vms\nseeds = \
         {}\n\n[failure_domains]\nlagos-a = lagos\nlagos-b = lagos\n\n[retries]\nratio = 0.2\nslack = 56\nwindow_s = \
         10\n\n[stop]\ngrace_s = {GRACE_S}\n",
        seeds.join(",")
    )
}
