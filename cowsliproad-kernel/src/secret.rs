//! Secret keys that are never printed to logs.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The length of a secret key.
pub const KEY_BYTES: usize = 32;

/// A secret key that all entry processes and agents of one installation share.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct Secret(pub [u8; KEY_BYTES]);

impl Secret {
    /// Parses a key from 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Secret> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Secret(*hash.as_bytes()))
    }

    /// Derives a separate key for the given purpose.
    pub fn derive(&self, purpose: &str) -> Secret {
        Secret(blake3::derive_key(purpose, &self.0))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl<'de> Deserialize<'de> for Secret {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Secret, D::Error> {
        let text = String::deserialize(from)?;
        Secret::parse(&text).ok_or_else(|| {
            serde::de::Error::custom("expected a key of 64 hexadecimal digits")
        })
    }
}

/// Compares two authentication codes in constant time. Stopping at the first
/// difference would reveal to an attacker how many bytes of a forged code are
/// right.
pub fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0u8, |difference, (a, b)| difference | (a ^ b));
    left.len() == right.len() && difference == 0
}
