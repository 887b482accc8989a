//! A caller as the brief describes it: asks for addresses, keeps the answer, connects itself.

use std::net::SocketAddr;
use std::time::Duration;

use boragepass_clients::{CallError, HttpClient};
use boragepass_wire::{AddressesJson, OutcomeJson};
use http_types::Method;

const WITHIN: Duration = Duration::from_secs(30);

/// What a caller sends.
#[derive(Debug, Clone)]
pub struct Caller {
    client: HttpClient,
    /// Workspace.
    pub workspace: String,
    /// Bearer key.
    pub key: String,
}

/// What came back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerAnswer {
    /// An outcome.
    Outcome(Box<OutcomeJson>),
    /// No connection to the VM.
    NotSent,
    /// The connection broke before the answer.
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

    /// The answer, when there is one.
    pub fn output(&self) -> Option<&str> {
        match self {
            Self::Outcome(json) => json.output.as_deref(),
            Self::NotSent | Self::ConnectionLost => None,
        }
    }
}

impl Caller {
    /// Caller of a workspace.
    pub fn new(workspace: &str, key: &str) -> Self {
        Self { client: HttpClient::default(), workspace: workspace.to_owned(), key: key.to_owned() }
    }

    /// Asks a VM which addresses to use.
    pub async fn addresses(&self, vm: SocketAddr, region: &str) -> Option<AddressesJson> {
        let path = format!("/v1/addresses?workspace={}&region={region}", self.workspace);
        let (_, text) = self.client.exchange(vm, Method::Get, &path, String::new(), WITHIN).await.ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Sends a request to a VM.
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
            self.client.exchange_with_key(vm, Method::Post, "/v1/requests", body.to_string(), WITHIN, &self.key);
        match exchange.await {
            Ok((_, text)) => match serde_json::from_str(&text) {
                Ok(json) => CallerAnswer::Outcome(Box::new(json)),
                Err(_) => CallerAnswer::ConnectionLost,
            },
            Err(CallError::NotSent | CallError::Expired) => CallerAnswer::NotSent,
            Err(CallError::Lost) => CallerAnswer::ConnectionLost,
        }
    }
}
