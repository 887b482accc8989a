//! Version of an endpoint's software, as the endpoint states it. Versions have no order.

use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;

use crate::IdError;

const VERSION_BYTES_MAX: usize = 200;

/// Version of the software of an endpoint; not of the weights that it has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the text of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.len() {
            0 => Err(IdError::Empty),
            1..=VERSION_BYTES_MAX => Ok(Self(text.into())),
            len => Err(IdError::TooLong(len)),
        }
    }
}
