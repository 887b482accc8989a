//! Fake object store over HTTP: PUT and GET of whole objects by path, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use boragepass_server::Tasks;
use http_types::{Method, Request, Response, StatusCode};

use crate::fake_http::serve;

/// Fake object store on a loopback socket.
#[derive(Clone, Default)]
pub struct FakeObjectStore {
    objects: Arc<Mutex<BTreeMap<String, String>>>,
    tasks: Tasks,
}

impl FakeObjectStore {
    /// Starts to listen. Returns the bound address.
    pub async fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        serve(address, &self.tasks, move |request| handle_request(store.clone(), request)).await
    }
}

async fn handle_request(store: FakeObjectStore, mut request: Request) -> Option<Response> {
    let key = request.url().path().to_owned();
    match request.method() {
        Method::Put => {
            let body = request.body_string().await.ok()?;
            store.objects.lock().expect("no holder of this lock panics").insert(key, body);
            Some(Response::new(StatusCode::Ok))
        }
        Method::Get => {
            let object = store.objects.lock().expect("no holder of this lock panics").get(&key).cloned();
            let Some(object) = object else {
                return Some(Response::new(StatusCode::NotFound));
            };
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(object);
            Some(response)
        }
        _ => Some(Response::new(StatusCode::MethodNotAllowed)),
    }
}
