//! Fake table service over HTTP: serves [`TableState`] and injects [`TableFaults`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use boragepass_core::{TableReply, TableRequest};
use boragepass_server::Tasks;
use boragepass_wire::{WireTableReply, WireTableRequest};
use http_types::{Request, Response, StatusCode};

use crate::fake_http::{json_response, serve};
use crate::table::{TableFaults, TableState};

/// Fake table service on a loopback socket.
#[derive(Clone, Default)]
pub struct FakeTable {
    /// Rows and request counts.
    pub state: Arc<Mutex<TableState>>,
    /// Faults in force.
    pub faults: Arc<Mutex<TableFaults>>,
    tasks: Tasks,
}

impl FakeTable {
    /// Starts to listen. Returns the bound address.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let table = self.clone();
        serve(address, &self.tasks, move |request| handle_request(table.clone(), request)).await
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut TableFaults)) {
        change(&mut self.faults.lock().expect("no holder of this lock panics"));
    }

    /// Carries out a request. `None` stands for a lost reply.
    fn apply(&self, request: &TableRequest) -> Option<TableReply> {
        let reply = self.state.lock().expect("no holder of this lock panics").apply(request);
        let is_commit = matches!(request, TableRequest::Commit(_));
        let mut faults = self.faults.lock().expect("no holder of this lock panics");
        if is_commit && faults.replies_to_lose > 0 {
            faults.replies_to_lose -= 1;
            return None;
        }
        Some(reply)
    }
}

async fn handle_request(table: FakeTable, mut request: Request) -> Option<Response> {
    let faults = table.faults.lock().expect("no holder of this lock panics").clone();
    if faults.delay_ms > 0 {
        async_std::task::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.is_down {
        return Some(Response::new(StatusCode::ServiceUnavailable));
    }
    let body = request.body_string().await.ok()?;
    let decoded = serde_json::from_str::<WireTableRequest>(&body).ok();
    let Some(parsed) = decoded.and_then(|wire| TableRequest::try_from(wire).ok()) else {
        return Some(Response::new(StatusCode::BadRequest));
    };
    let reply = table.apply(&parsed)?;
    Some(json_response(StatusCode::Ok, &WireTableReply::from(&reply)))
}
