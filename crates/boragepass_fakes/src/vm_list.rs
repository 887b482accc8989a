//! Fake VM list over HTTP, which shows each change only after a lag.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use boragepass_core::{VmListEntry, VmState};
use boragepass_server::Tasks;
use boragepass_wire::{VmListJson, WireVmListEntry};
use http_types::{Request, Response, StatusCode};

use crate::fake_http::{json_response, serve};

#[derive(Debug)]
struct ListedEntry {
    entry: VmListEntry,
    /// Version of the list that added this state of the entry.
    version: u64,
    visible_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    entries: BTreeMap<String, ListedEntry>,
}

/// Fake VM list on a loopback socket.
#[derive(Clone, Default)]
pub struct FakeVmList {
    state: Arc<Mutex<State>>,
    lag: Duration,
    tasks: Tasks,
}

/// Key of an entry: `vm/NAME` or `endpoint/NAME`.
fn entry_key(entry: &VmListEntry) -> String {
    match entry {
        VmListEntry::EntryVm { vm, .. } => format!("vm/{vm}"),
        VmListEntry::Endpoint { endpoint, .. } => format!("endpoint/{endpoint}"),
    }
}

impl FakeVmList {
    /// Creates an empty list that shows changes after `lag`.
    pub fn with_lag(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Starts to listen. Returns the bound address.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let list = self.clone();
        serve(address, &self.tasks, move |request| handle_request(list.clone(), request)).await
    }

    /// Adds or replaces an entry.
    pub fn put(&self, entry: VmListEntry) {
        let mut state = self.state.lock().expect("no holder of this lock panics");
        state.version += 1;
        let version = state.version;
        let visible_at = Instant::now() + self.lag;
        state.entries.insert(entry_key(&entry), ListedEntry { entry, version, visible_at });
    }

    /// Changes the state of the entry with the key `vm/NAME` or `endpoint/NAME`, if there is one.
    pub fn set_state(&self, key: &str, new_state: VmState) {
        let entry = {
            let state = self.state.lock().expect("no holder of this lock panics");
            state.entries.get(key).map(|listed| listed.entry.clone())
        };
        let Some(mut entry) = entry else {
            return;
        };
        match &mut entry {
            VmListEntry::EntryVm { state, .. } | VmListEntry::Endpoint { state, .. } => *state = new_state,
        }
        self.put(entry);
    }

    /// Entries that changed after `version`, up to the last version before the first change that the lag
    /// still hides.
    fn changes_since(&self, version: u64) -> VmListJson {
        let state = self.state.lock().expect("no holder of this lock panics");
        let now = Instant::now();
        let invisible = state.entries.values().filter(|listed| listed.visible_at > now);
        let visible_version = invisible.map(|listed| listed.version - 1).min().unwrap_or(state.version);
        let is_new_and_visible = |listed: &&ListedEntry| listed.version > version && listed.version <= visible_version;
        let entries =
            state.entries.values().filter(is_new_and_visible).map(|listed| WireVmListEntry::from(&listed.entry));
        VmListJson { version: visible_version, entries: entries.collect() }
    }
}

async fn handle_request(list: FakeVmList, request: Request) -> Option<Response> {
    let since = request.url().query_pairs().find(|(key, _)| key == "since");
    let since = since.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    Some(json_response(StatusCode::Ok, &list.changes_since(since)))
}
