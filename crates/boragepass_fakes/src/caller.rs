//! Caller of the entry VMs: queries the addresses of its workspace and sends requests to a VM over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_clients::{CallError, HttpClient};
use boragepass_wire::{AddressesJson, OutcomeJson};
use http_types::Method;

const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Caller of one workspace.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    /// Workspace that it sends for.
    pub workspace: String,
    /// Bearer key that it presents.
    pub key: String,
}

/// Result of sending a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The VM answered with an outcome.
    Outcome(Box<OutcomeJson>),
    /// The request was not sent: there was no connection or no time left.
    NotSent,
    /// The connection broke before the answer, or the answer was not readable.
    ConnectionLost,
}

impl CallerAnswer {
    /// Name of the outcome, or of the failure of the connection.
    pub fn name(&self) -> &str {
        match self {
            Self::Outcome(json) => &json.outcome,
            Self::NotSent => "no connection",
            Self::ConnectionLost => "connection lost",
        }
    }

    /// Output of the pipeline, if the request was answered.
    pub fn output(&self) -> Option<&str> {
        match self {
            Self::Outcome(json) => json.output.as_deref(),
            Self::NotSent | Self::ConnectionLost => None,
        }
    }
}

impl Caller {
    /// Creates a caller of a workspace.
    pub fn new(workspace: &str, key: &str) -> Self {
        Self { client: HttpClient::default(), workspace: workspace.to_owned(), key: key.to_owned() }
    }

    /// Queries a VM for the addresses that the workspace is to use in a region.
    pub async fn addresses(&self, vm: SocketAddr, region: &str) -> Option<AddressesJson> {
        let path = format!("/v1/addresses?workspace={}&region={region}", self.workspace);
        let (_, text) = self.client.exchange(vm, Method::Get, &path, String::new(), REPLY_TIMEOUT).await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Sends a request to a VM and waits for its outcome.
    pub async fn send(
        &self,
        vm: SocketAddr,
        pipeline: &str,
        request_id: &str,
        input: &str,
        idempotency_key: Option<&str>,
    ) -> CallerAnswer {
        let mut body = serde_json::json!({
            "workspace": self.workspace, "pipeline": pipeline, "request_id": request_id, "input": input,
        });
        if let Some(key) = idempotency_key {
            body["idempotency_key"] = key.into();
        }
        let exchange =
            self.client.exchange_with_key(vm, Method::Post, "/v1/requests", body.to_string(), REPLY_TIMEOUT, &self.key);
        match exchange.await {
            Ok((_, text)) => match serde_json::from_str(&text) {
                Ok(json) => CallerAnswer::Outcome(Box::new(json)),
                Err(_) => CallerAnswer::ConnectionLost,
            },
            Err(CallError::NotSent | CallError::Expired) => CallerAnswer::NotSent,
            Err(CallError::ConnectionLost) => CallerAnswer::ConnectionLost,
        }
    }
}
