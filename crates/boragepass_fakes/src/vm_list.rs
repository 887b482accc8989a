//! The lagging VM list over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use boragepass_core::{VmListEntry, VmState};
use boragepass_server::Tasks;
use boragepass_wire::{VmListJson, WireVmListEntry};
use http_types::{Request, Response, StatusCode};

use crate::fake_http::{json, serve};

#[derive(Debug)]
struct Listed {
    entry: VmListEntry,
    version: u64,
    visible_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    entries: BTreeMap<String, Listed>,
}

/// VM list on loopback.
#[derive(Clone, Default)]
pub struct FakeVmList {
    state: Arc<Mutex<State>>,
    lag: Duration,
    tasks: Tasks,
}

fn name_of(entry: &VmListEntry) -> String {
    match entry {
        VmListEntry::EntryVm { vm, .. } => format!("vm/{vm}"),
        VmListEntry::Endpoint { endpoint, .. } => format!("endpoint/{endpoint}"),
    }
}

impl FakeVmList {
    /// List that shows changes after `lag`.
    pub fn with_lag(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Starts the service.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let list = self.clone();
        serve(address, &self.tasks, move |request| answer(list.clone(), request)).await
    }

    /// Adds or replaces an entry.
    pub fn put(&self, entry: VmListEntry) {
        let mut state = self.state.lock().expect("no holder of this lock panics");
        state.version += 1;
        let version = state.version;
        let visible_at = Instant::now() + self.lag;
        state.entries.insert(name_of(&entry), Listed { entry, version, visible_at });
    }

    /// Changes the state of an entry by name, `vm/NAME` or `endpoint/NAME`.
    pub fn set_state(&self, name: &str, new: VmState) {
        let entry = {
            let state = self.state.lock().expect("no holder of this lock panics");
            state.entries.get(name).map(|listed| listed.entry.clone())
        };
        let Some(mut entry) = entry else {
            return;
        };
        match &mut entry {
            VmListEntry::EntryVm { state, .. } | VmListEntry::Endpoint { state, .. } => *state = new,
        }
        self.put(entry);
    }

    fn since(&self, version: u64) -> VmListJson {
        let state = self.state.lock().expect("no holder of this lock panics");
        let now = Instant::now();
        let hidden = state.entries.values().filter(|listed| listed.visible_at > now);
        let shown_up_to = hidden.map(|listed| listed.version - 1).min().unwrap_or(state.version);
        let is_news = |listed: &&Listed| listed.version > version && listed.version <= shown_up_to;
        let entries = state.entries.values().filter(is_news).map(|listed| WireVmListEntry::from(&listed.entry));
        VmListJson { version: shown_up_to, entries: entries.collect() }
    }
}

async fn answer(list: FakeVmList, request: Request) -> Option<Response> {
    let since = request.url().query_pairs().find(|(key, _)| key == "since");
    let since = since.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    Some(json(StatusCode::Ok, &list.since(since)))
}
