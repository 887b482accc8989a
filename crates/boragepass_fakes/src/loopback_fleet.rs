//! Installation on loopback sockets: fake platform and endpoints with real daemons, in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use boragepass_clients::HttpClient;
use boragepass_core::{
    Limits, ListChange, ListEdit, RowKey, RowValue, RowWrite, TableRequest, VmListEntry, VmState, WriteId,
};
use boragepass_server::{Daemon, StartError};
use boragepass_settings::{HttpLimits, Settings};
use boragepass_types::{AccessKey, Incarnation, ListVersion, OpId, Pipeline};
use boragepass_wire::{WireFleetStatus, WireOperatorReply};
use http_types::Method;

use crate::endpoint::{FakeEndpoint, FakeEndpointSettings};
use crate::object_store::FakeObjectStore;
use crate::table_server::FakeTable;
use crate::vm_list::FakeVmList;
use crate::workload::{OPERATOR_KEY, PEER_KEY, pipelines};

const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Limits, timing and pipelines of an installation.
#[derive(Debug, Clone)]
pub struct LoopbackFleetSettings {
    /// Limits of the daemons.
    pub limits: Limits,
    /// HTTP limits of the daemons towards callers and operators.
    pub http: HttpLimits,
    /// Time until a change of the VM list becomes visible.
    pub vm_list_lag_ms: u64,
    /// Pipelines that the daemons serve.
    pub pipelines: Vec<Arc<Pipeline>>,
}

impl Default for LoopbackFleetSettings {
    fn default() -> Self {
        Self { limits: Limits::default(), http: HttpLimits::default(), vm_list_lag_ms: 0, pipelines: pipelines() }
    }
}

/// Fake platform and endpoints; daemons join with `add_daemon`.
pub struct LoopbackFleet {
    /// The fake table service.
    pub table: FakeTable,
    /// The fake object store.
    pub objects: FakeObjectStore,
    /// The fake VM list.
    pub vm_list: FakeVmList,
    /// All endpoints that were added.
    pub endpoints: Vec<FakeEndpoint>,
    settings: LoopbackFleetSettings,
    table_address: SocketAddr,
    objects_address: SocketAddr,
    vm_list_address: SocketAddr,
    client: HttpClient,
}

/// Loopback address with a port that the operating system chooses.
pub(crate) fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl LoopbackFleet {
    /// Starts the fake platform, without endpoints and daemons.
    pub async fn start(settings: LoopbackFleetSettings) -> std::io::Result<Self> {
        let table = FakeTable::default();
        let objects = FakeObjectStore::default();
        let vm_list = FakeVmList::with_lag(Duration::from_millis(settings.vm_list_lag_ms));
        let table_address = table.start(any_loopback_port()).await?;
        let objects_address = objects.start(any_loopback_port()).await?;
        let vm_list_address = vm_list.start(any_loopback_port()).await?;
        Ok(Self {
            table,
            objects,
            vm_list,
            endpoints: Vec::new(),
            settings,
            table_address,
            objects_address,
            vm_list_address,
            client: HttpClient::default(),
        })
    }

    /// Commits an edit of the lists to the table without a daemon, as set-up before any daemon runs.
    pub fn commit_list_edit(&self, edit: ListEdit) {
        let mut state = self.table.state.lock().expect("no holder of this lock panics");
        let head = state.row(&RowKey::Head).map(|row| row.value.clone());
        let version = match head {
            Some(RowValue::Head(version)) => version.next(),
            _ => ListVersion(1),
        };
        let vm = "seed".parse().expect("the name is valid");
        let id = WriteId { vm, incarnation: Incarnation(1), op: OpId(version.0) };
        let write = |key, value| RowWrite { key, expect: boragepass_core::ExpectedVersion::Any, id: id.clone(), value };
        let change = RowValue::Change(Box::new(ListChange { version, edit }));
        let writes = vec![write(RowKey::Change(version), change), write(RowKey::Head, RowValue::Head(version))];
        state.apply(&TableRequest::Commit(writes));
    }

    /// Starts an endpoint and adds it to the VM list.
    pub async fn add_endpoint(
        &mut self,
        settings: FakeEndpointSettings,
        pool: &str,
        region: &str,
    ) -> std::io::Result<FakeEndpoint> {
        let checks_fence = settings.checks_fence;
        let endpoint = FakeEndpoint::new(settings);
        let address = endpoint.start(any_loopback_port()).await?;
        let build_entry = || {
            Some(VmListEntry::Endpoint {
                endpoint: endpoint.name().parse().ok()?,
                pool: pool.parse().ok()?,
                region: region.parse().ok()?,
                failure_domain: format!("{region}-a").parse().ok()?,
                address,
                checks_fence,
                state: VmState::Live,
            })
        };
        self.vm_list.put(build_entry().expect("the names of the fakes are valid"));
        self.endpoints.push(endpoint.clone());
        Ok(endpoint)
    }

    /// Addresses of the platform: table service, object store, VM list.
    pub fn platform_addresses(&self) -> (SocketAddr, SocketAddr, SocketAddr) {
        (self.table_address, self.objects_address, self.vm_list_address)
    }

    /// Starts a daemon and adds it to the VM list.
    pub async fn add_daemon(&self, vm: &str, region: &str, failure_domain: &str) -> Result<Daemon, StartError> {
        let settings = Settings {
            vm: vm.parse().expect("the names of the fakes are valid"),
            region: region.parse().expect("the names of the fakes are valid"),
            failure_domain: failure_domain.parse().expect("the names of the fakes are valid"),
            caller_address: any_loopback_port(),
            operator_address: any_loopback_port(),
            peer_address: any_loopback_port(),
            table_address: self.table_address,
            object_store_address: self.objects_address,
            vm_list_address: self.vm_list_address,
            operator_key: AccessKey::new(OPERATOR_KEY),
            peer_key: AccessKey::new(PEER_KEY),
            metrics_address: None,
            http: self.settings.http,
            limits: self.settings.limits.clone(),
            pipelines: self.settings.pipelines.clone(),
        };
        let identity = (settings.vm.clone(), settings.region.clone(), settings.failure_domain.clone());
        let daemon = Daemon::start(settings).await?;
        self.vm_list.put(VmListEntry::EntryVm {
            vm: identity.0,
            region: identity.1,
            failure_domain: identity.2,
            peer_address: daemon.peer_address,
            caller_address: daemon.caller_address,
            state: VmState::Live,
        });
        Ok(daemon)
    }

    /// Sends an operator's command to a daemon; `None` if there is no readable reply.
    pub async fn send_operator_command(
        &self,
        daemon: &Daemon,
        method: Method,
        path: &str,
        body: String,
    ) -> Option<WireOperatorReply> {
        let exchange =
            self.client.exchange_with_key(daemon.operator_address, method, path, body, OPERATOR_TIMEOUT, OPERATOR_KEY);
        let (_, text) = exchange.await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Status of the fleet as a daemon reports it.
    pub async fn status(&self, daemon: &Daemon) -> Option<WireFleetStatus> {
        match self.send_operator_command(daemon, Method::Get, "/v1/status", String::new()).await? {
            WireOperatorReply::Status(status) => Some(status),
            _ => None,
        }
    }

    /// Waits until a daemon's status meets a condition; false after `READY_TIMEOUT`.
    pub async fn wait_for_status(&self, daemon: &Daemon, is_met: impl Fn(&WireFleetStatus) -> bool) -> bool {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.status(daemon).await.is_some_and(|status| is_met(&status)) {
                return true;
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until a daemon admits requests, has a load report of each endpoint and sees `vms` live VMs.
    pub async fn wait_ready(&self, daemon: &Daemon, vms: usize) -> bool {
        let endpoints = self.endpoints.len();
        self.wait_for_status(daemon, |status| {
            let reported = status.endpoints.iter().filter(|endpoint| endpoint.age_ms.is_some()).count();
            let alive = status.vms.iter().filter(|vm| vm.state == "alive").count();
            status.admits && reported >= endpoints && alive >= vms
        })
        .await
    }
}
