//! Reads whole bodies of replies. An endpoint in trouble may send bytes without end, so all bodies that are read at
//! the same time share a limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_std::future::timeout;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest body that is read.
const BODY_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Bytes of all bodies that are read at the same time.
const ALL_BODIES_BYTES_MAX: usize = 48 * 1_024 * 1_024;

/// Why a body was not read in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection was lost.
    ConnectionLost,
    /// The body exceeds a limit.
    TooLarge,
}

/// Bytes of the bodies that are being read.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyReader {
    buffered_bytes: Rc<Cell<usize>>,
}

/// Share of one body in the buffered bytes, which ends when this is dropped.
struct BufferedBody<'a> {
    all_bytes: &'a Cell<usize>,
    counted_bytes: usize,
    bytes: BytesMut,
}

impl BufferedBody<'_> {
    fn extend(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let all_bytes = self.all_bytes.get() + data.len();
        if self.bytes.len() + data.len() > BODY_BYTES_MAX || all_bytes > ALL_BODIES_BYTES_MAX {
            return Err(BodyError::TooLarge);
        }
        self.all_bytes.set(all_bytes);
        self.counted_bytes += data.len();
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.all_bytes.set(self.all_bytes.get() - self.counted_bytes);
    }
}

impl BodyReader {
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
        let mut buffered = BufferedBody { all_bytes: &self.buffered_bytes, counted_bytes: 0, bytes: BytesMut::new() };
        while let Some(frame) = timeout(stall_timeout, body.frame()).await.map_err(|_| BodyError::ConnectionLost)? {
            let frame = frame.map_err(|_| BodyError::ConnectionLost)?;
            if let Some(data) = frame.data_ref() {
                buffered.extend(data)?;
            }
        }
        Ok(std::mem::take(&mut buffered.bytes).freeze())
    }
}
