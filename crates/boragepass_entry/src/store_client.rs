//! HTTP client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use boragepass_platform::decode_store_era;
use boragepass_types::StoreEra;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connections::{Connection, Connections, ExchangeError};
use crate::memory_budget::MemoryBudget;

/// Longest pause in the body of a reply. A large row takes longer than a call may on a small VM's link, so a reply that
/// arrives is not given up.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time of the body of a reply.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a call of the store failed.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum StoreError {
    /// not reached: {0}
    NotReached(String),
    /// no reply, so it may have been done
    NoReply,
    /// status {0}
    Refused(StatusCode),
    /// the history that was asked for is gone
    HistoryGone,
    /// restored from a copy since the last reply
    Restored,
    /// row of this system not understood: {0}
    InvalidRow(String),
    /// {0}
    Unreadable(boragepass_platform::DecodeError),
}

/// Reply of the store.
#[derive(Debug)]
pub(crate) struct StoreReply {
    pub(crate) body: Bytes,
    /// Era in which the store replied; `None` if it states none.
    pub(crate) era: Option<StoreEra>,
}

/// Client with connections of its own. A connection that lost a reply is not reused.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connections: Connections,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, connections: Connections::new(MemoryBudget::unlimited()) }
    }

    pub(crate) async fn get(&self, path: &str, call_timeout: Duration) -> Result<StoreReply, StoreError> {
        self.call(Method::GET, path, Bytes::new(), call_timeout).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        self.call(Method::POST, path, body.into(), call_timeout).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let begun = timeout(call_timeout, self.begin(method, path, body)).await;
        let (connection, response) = begun.unwrap_or(Err(StoreError::NoReply))?;
        let status = response.status();
        let era = decode_store_era(response.headers());
        let read = self.connections.body_reader.read_while_progressing(response.into_body(), BODY_STALL_TIMEOUT);
        let body = timeout(BODY_TIMEOUT, read).await.map_err(|_| StoreError::NoReply)?;
        let body = body.map_err(|_| StoreError::NoReply)?;
        self.connections.release(connection).await;
        match status {
            StatusCode::OK => Ok(StoreReply { body, era }),
            StatusCode::GONE => Err(StoreError::HistoryGone),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Sends a request and waits for the head of its reply.
    async fn begin(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Connection, Response<Incoming>), StoreError> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() =
            path.parse().map_err(|error: http::uri::InvalidUri| StoreError::NotReached(error.to_string()))?;
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        let not_reached = |error: ExchangeError| StoreError::NotReached(error.to_string());
        let mut connection = self.connections.open(self.address, true).await.map_err(not_reached)?;
        match self.connections.exchange(&mut connection, request).await {
            Ok(response) => Ok((connection, response)),
            Err(error @ ExchangeError::NotSent(_)) => Err(StoreError::NotReached(error.to_string())),
            Err(ExchangeError::ConnectionLost(_)) => Err(StoreError::NoReply),
        }
    }
}
