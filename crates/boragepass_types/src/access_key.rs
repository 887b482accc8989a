//! Bearer keys of callers, VMs and operators, and the salted hashes of callers' keys that plans hold.
//!
//! Keys and hashes are compared in constant time; `Debug` does not print a key.

use std::str::FromStr;

use derive_more::Display;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

/// Bearer key in plain text.
#[derive(Clone, PartialEq, Eq)]
pub struct AccessKey(String);

impl AccessKey {
    /// Creates a key from the text that follows `Bearer ` in the header.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Whether two keys are equal; compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    /// Returns the plain text of the key, to be sent in a header.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for AccessKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AccessKey(..)")
    }
}

/// Salt of a [`KeyHash`].
#[derive(Debug, Default, Clone, PartialEq, Eq, Display)]
pub struct KeySalt(pub String);

/// SHA-256 of the salt, a zero byte and the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes `key` with `salt`.
    pub fn of(salt: &KeySalt, key: &AccessKey) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(salt.0.as_bytes());
        hasher.update([0]);
        hasher.update(key.0.as_bytes());
        Self(hasher.finalize().into())
    }

    /// Whether `key` has this hash; compares in constant time.
    pub fn matches(&self, salt: &KeySalt, key: &AccessKey) -> bool {
        self.0.ct_eq(&Self::of(salt, key).0).into()
    }
}

impl std::fmt::Display for KeyHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong_format = || "must be 64 hexadecimal digits".to_owned();
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(wrong_format());
        }
        let mut bytes = [0; HASH_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| wrong_format())?;
        }
        Ok(Self(bytes))
    }
}
