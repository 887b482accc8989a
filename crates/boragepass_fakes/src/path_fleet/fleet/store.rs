//! The store: its list of endpoints, who gets its contents and changes, entries that lapse, and a restore from a copy.

use super::stream_rows::StreamRows;
use super::*;

/// Longest time until endpoints that live have written the entries again that a restored store lost. The users' pages
/// allow about two seconds.
const REWRITE_DELAY_MAX_MS: u64 = 1_500;
/// Time after which a VM repeats a call that did not reach the store.
const STORE_RETRY_MS: u64 = 300;

/// Endpoint list of the store.
#[derive(Debug)]
pub(super) struct Store {
    entries: BTreeMap<EndpointId, Endpoint>,
    pub(super) version: u64,
    era: StoreEra,
    /// Software versions of pools, as a VM recorded them, and the version of that row; zero if there is none.
    pool_versions: (u64, RecordedVersions),
    /// Failure domains that the operator evacuates.
    pub(super) evacuated: BTreeSet<FailureDomain>,
    /// Versions of begun streams, as VMs recorded them.
    pub(super) stream_rows: StreamRows,
    /// What the store can be restored from.
    copy: StoreCopy,
    restored_at: Option<TimeMs>,
}

/// Content of the store at some moment.
#[derive(Debug, Clone)]
struct StoreCopy {
    version: u64,
    entries: BTreeMap<EndpointId, Endpoint>,
    pool_versions: (u64, RecordedVersions),
    evacuated: BTreeSet<FailureDomain>,
    stream_rows: StreamRows,
}

impl Store {
    pub(super) fn new(endpoints: &[Endpoint]) -> Self {
        let entries: BTreeMap<_, _> =
            endpoints.iter().map(|endpoint| (endpoint.id.clone(), endpoint.clone())).collect();
        let pool_versions = (0, RecordedVersions::default());
        let evacuated = BTreeSet::new();
        let copy = StoreCopy {
            version: 1,
            entries: entries.clone(),
            pool_versions: pool_versions.clone(),
            evacuated: evacuated.clone(),
            stream_rows: StreamRows::default(),
        };
        Self {
            copy,
            stream_rows: StreamRows::default(),
            entries,
            version: 1,
            era: StoreEra(1),
            pool_versions,
            evacuated,
            restored_at: None,
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion { era: self.era, number: self.version }
    }

    pub(super) fn evacuations(&self) -> Evacuations {
        Evacuations { version: self.version(), domains: self.evacuated.clone() }
    }

    /// Whether the store was restored so recently that VMs need not know yet what it lost.
    pub(super) fn was_restored_lately(&self, now: TimeMs) -> bool {
        self.restored_at.is_some_and(|at| now.since(at).0 < CONTACT_MS + DRAIN_GRACE_MS)
    }
}

impl PathFleet {
    /// Delivers the configuration, the endpoints and the VM list of the store, unless the VM is cut off from it.
    pub(super) fn deliver_store_contents(&mut self, vm: usize) {
        if self.vms[vm].is_cut_from_store {
            return;
        }
        let configuration = Arc::new(self.deployment.configuration(self.configuration_version));
        let endpoints = self.store.entries.values().cloned().collect();
        let update = EndpointUpdate::Snapshot(endpoints, self.store.version());
        let records = self.vm_records();
        for event in [
            Event::EvacuationsUpdated(self.store.evacuations()),
            Event::ConfigurationReceived(configuration),
            Event::EndpointsUpdated(update),
            Event::VmsListed(records),
        ] {
            self.deliver(vm, STORE_DELAY_MS, event);
        }
    }

    /// Lets a VM read the list of endpoints and then the versions that the store keeps.
    pub(super) fn confirm_versions(&mut self, vm: usize, incarnation: u64) {
        if self.vms[vm].incarnation != incarnation || self.vms[vm].request_path.is_none() {
            return;
        }
        if self.vms[vm].is_cut_from_store {
            let at = self.now + SpanMs(STORE_RETRY_MS);
            self.schedule(at, Action::ConfirmVersions(vm, incarnation));
            return;
        }
        let endpoints = self.store.entries.values().cloned().collect();
        let update = EndpointUpdate::Snapshot(endpoints, self.store.version());
        self.deliver(vm, STORE_DELAY_MS, Event::EndpointsUpdated(update));
        self.read_recorded_versions(vm, incarnation);
    }

    /// Lets a VM read the entry of an endpoint; one that is cut off from the store gets no answer.
    pub(super) fn read_entry(&mut self, vm: usize, id: EndpointId) {
        if self.vms[vm].is_cut_from_store {
            self.deliver(vm, STORE_RETRY_MS, Event::EndpointEntryRead(id, EndpointEntry::Unknown));
            return;
        }
        let entry = self.store.entries.get(&id);
        let entry = entry.map_or(EndpointEntry::Missing, |it| EndpointEntry::StartedAt(it.started_at_unix_ms));
        self.deliver(vm, STORE_DELAY_MS, Event::EndpointEntryRead(id, entry));
    }

    /// Lets a VM read the versions that the store keeps; one that is cut off from the store tries again until it succeeds.
    pub(super) fn read_recorded_versions(&mut self, vm: usize, incarnation: u64) {
        if self.vms[vm].incarnation != incarnation || self.vms[vm].request_path.is_none() {
            return;
        }
        if self.vms[vm].is_cut_from_store {
            let at = self.now + SpanMs(STORE_RETRY_MS);
            self.schedule(at, Action::ReadRecordedVersions(vm, incarnation));
            return;
        }
        let (row_version, versions) = self.store.pool_versions.clone();
        self.vms[vm].pool_versions_row = row_version;
        self.deliver(vm, STORE_DELAY_MS, Event::VersionsRecorded(versions));
    }

    /// Replaces the versions that the store keeps, unless they changed since the VM read them, and lets the VM read them.
    pub(super) fn record_versions(&mut self, vm: usize, incarnation: u64, versions: RecordedVersions) {
        let is_current = self.vms[vm].pool_versions_row == self.store.pool_versions.0;
        if !self.vms[vm].is_cut_from_store && is_current {
            self.store.version += 1;
            self.store.pool_versions = (self.store.version, versions);
        }
        self.read_recorded_versions(vm, incarnation);
    }

    /// Cuts a VM off from the store, or connects it again.
    pub fn set_cut_from_store(&mut self, vm: usize, is_cut: bool) {
        if self.vms[vm].is_cut_from_store == is_cut {
            return;
        }
        self.vms[vm].is_cut_from_store = is_cut;
        self.vms[vm].store_link_changed_at = self.now;
        self.deliver(vm, STORE_DELAY_MS, Event::StoreReachable(!is_cut));
        self.deliver_store_contents(vm);
    }

    /// Publishes the configuration under a new version.
    pub fn change_configuration(&mut self) {
        self.configuration_version += 1;
        self.store.version += 1;
        self.record_homes();
        self.record_added_routes();
        let configuration = Arc::new(self.deployment.configuration(self.configuration_version));
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_cut_from_store && self.vms[vm].is_store_follower {
                let delay_ms = STORE_DELAY_MS + self.draw_configuration_delay_ms();
                self.deliver(vm, delay_ms, Event::ConfigurationReceived(configuration.clone()));
            }
        }
    }

    /// Time by which a configuration reaches a VM later than usual.
    pub(super) fn draw_configuration_delay_ms(&mut self) -> u64 {
        // Without a delay nothing is drawn, so that runs without one stay as they are.
        match self.configuration_delay_max_ms {
            0 => 0,
            delay_max_ms => self.rng.random_range(0..delay_max_ms),
        }
    }

    /// Delivers a change of the endpoint list to the VMs that follow the store.
    fn publish(&mut self, update: impl Fn(StoreVersion) -> EndpointUpdate) {
        self.store.version += 1;
        let version = self.store.version();
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_cut_from_store && self.vms[vm].is_store_follower {
                self.deliver(vm, STORE_DELAY_MS + self.feed_delay_ms, Event::EndpointsUpdated(update(version)));
            }
        }
    }

    /// An endpoint writes its entry; one that is down does so once it is up.
    pub(super) fn write_entry(&mut self, id: &EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.is_down(self.now) {
            let at = endpoint.down_until;
            self.schedule(at, Action::WriteEntry(id.clone()));
            return;
        }
        endpoint.is_registered = true;
        let cold_left_ms = endpoint.coldness.as_ref().map(|coldness| coldness.left(self.now));
        endpoint.endpoint.cold_left_ms = cold_left_ms.unwrap_or_default();
        endpoint.removed_at = None;
        if endpoint.endpoint.is_draining {
            endpoint.drain_started_at.get_or_insert(self.now);
        }
        let entry = endpoint.endpoint.clone();
        self.store.entries.insert(id.clone(), entry.clone());
        self.publish(|version| EndpointUpdate::Changed(entry.clone(), version));
    }

    pub(super) fn remove_entry(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_registered = false;
            endpoint.removed_at.get_or_insert(self.now);
        }
        if self.store.entries.remove(id).is_some() {
            self.publish(|version| EndpointUpdate::Removed(id.clone(), version));
        }
    }

    /// Lets the entry of an endpoint lapse; the endpoint serves on and writes it again after a time.
    pub fn lapse_entry(&mut self, id: &EndpointId, duration_ms: u64) {
        self.remove_entry(id);
        let at = self.now + SpanMs(duration_ms);
        self.schedule(at, Action::WriteEntry(id.clone()));
    }

    /// Keeps a copy of the store from which it can be restored.
    pub fn keep_store_copy(&mut self) {
        self.store.copy = StoreCopy {
            version: self.store.version,
            entries: self.store.entries.clone(),
            pool_versions: self.store.pool_versions.clone(),
            evacuated: self.store.evacuated.clone(),
            stream_rows: self.store.stream_rows.clone(),
        };
    }

    /// Restores the store from its copy, in a new era. The endpoints that live write again what it lost.
    pub fn restore_store(&mut self) {
        let StoreCopy { version, entries, pool_versions, evacuated, stream_rows } = self.store.copy.clone();
        let evacuated_before = std::mem::replace(&mut self.store.evacuated, evacuated);
        self.restore_evacuations(&evacuated_before);
        self.store.entries = entries;
        self.store.version = version;
        self.store.pool_versions = pool_versions;
        self.store.stream_rows.restore(stream_rows);
        self.store.era = StoreEra(self.store.era.0 + 1);
        self.store.restored_at = Some(self.now);
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_store_follower {
                self.deliver_store_contents(vm);
            }
        }
        let at = self.now + SpanMs(self.rng.random_range(0..REWRITE_DELAY_MAX_MS));
        self.schedule(at, Action::WriteEntriesAgain);
    }

    /// Brings the entries of a restored store up to date.
    pub(super) fn write_entries_again(&mut self) {
        let is_current =
            |endpoint: &FakeEndpoint| self.store.entries.get(&endpoint.endpoint.id) == Some(&endpoint.endpoint);
        let registered = self.endpoints.values().filter(|endpoint| endpoint.is_registered);
        let lost: Vec<_> = registered.filter(|it| !is_current(it)).map(|it| it.endpoint.id.clone()).collect();
        let is_registered = |id: &EndpointId| self.endpoints.get(id).is_some_and(|endpoint| endpoint.is_registered);
        let stale: Vec<_> = self.store.entries.keys().filter(|id| !is_registered(id)).cloned().collect();
        lost.iter().for_each(|id| self.write_entry(id));
        stale.iter().for_each(|id| self.remove_entry(id));
    }
}
