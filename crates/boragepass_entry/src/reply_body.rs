//! Reads whole bodies of replies. An endpoint in trouble may send bytes without end, so bodies draw on the budget for what
//! this VM holds for others.

use std::time::Duration;

use async_std::future::timeout;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory_budget::MemoryBudget;

/// Largest body that is read.
const BODY_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Why a body was not read in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection was lost.
    ConnectionLost,
    /// The body exceeds a limit.
    TooLarge,
}

/// Reads bodies within a budget.
#[derive(Debug, Clone)]
pub(crate) struct BodyReader {
    budget: MemoryBudget,
}

impl BodyReader {
    pub(crate) fn new(budget: MemoryBudget) -> Self {
        Self { budget }
    }

    /// Reads a body to its end.
    pub(crate) async fn read(&self, body: Incoming) -> Result<Bytes, BodyError> {
        self.read_while_progressing(body, Duration::MAX).await
    }

    /// Reads a body to its end, unless no byte arrives for `stall_timeout`.
    pub(crate) async fn read_while_progressing(
        &self,
        mut body: Incoming,
        stall_timeout: Duration,
    ) -> Result<Bytes, BodyError> {
        let len_max = body.size_hint().upper().map_or(BODY_BYTES_MAX, |upper| upper as usize).min(BODY_BYTES_MAX);
        let mut buffer = self.budget.buffer();
        while let Some(frame) = timeout(stall_timeout, body.frame()).await.map_err(|_| BodyError::ConnectionLost)? {
            let frame = frame.map_err(|_| BodyError::ConnectionLost)?;
            if let Some(data) = frame.data_ref() {
                if buffer.bytes().len() + data.len() > BODY_BYTES_MAX {
                    return Err(BodyError::TooLarge);
                }
                buffer.extend(data, len_max).map_err(|_| BodyError::TooLarge)?;
            }
        }
        Ok(buffer.into_bytes())
    }
}
