//! Hashes for placement, digests of request content, and weights for rendezvous hashing.
//!
//! VMs compare these values with each other, so they must not change between releases.

use derive_more::Display;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

use crate::{PipelineId, WorkspaceId};

/// 64-bit hash for placement; two values may share one, so it never proves that they are equal.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct Hash64(pub u64);

impl Hash64 {
    /// Hashes `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes))
    }
}

/// Digest of a request's content; requests with the same content share it whatever their ids.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:032x}")]
pub struct ContentDigest(pub u128);

impl ContentDigest {
    /// Hashes workspace, pipeline and input, each but the last followed by a zero byte.
    pub fn of(workspace: &WorkspaceId, pipeline: &PipelineId, input: &str) -> Self {
        let mut bytes = Vec::with_capacity(input.len() + workspace.as_str().len() + pipeline.as_str().len() + 2);
        bytes.extend_from_slice(workspace.as_str().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(pipeline.as_str().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(input.as_bytes());
        Self(xxh3_128(&bytes))
    }
}

impl std::str::FromStr for ContentDigest {
    type Err = crate::IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self).map_err(|_| crate::IdError::NotANumber)
    }
}

/// Weight of `holder` for `key` in rendezvous hashing: the holders with the largest weights own the key.
pub fn rendezvous_weight(key: &str, holder: &str) -> u64 {
    xxh3_64_with_seed(holder.as_bytes(), xxh3_64(key.as_bytes()))
}
