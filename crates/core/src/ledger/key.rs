use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};

/// A SHA-256 digest.
///
/// ```
/// use berylgw_core::ledger::Digest;
///
/// let one = Digest::of_key("wash", "yard-app", b"7");
/// let other = Digest::of_key("wash", "yard-app7", b"");
/// assert_ne!(one, other);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a client account, a service and an idempotency key.
    pub fn of_key(account: &str, service: &str, key: &[u8]) -> Self {
        Self::of_parts(&[account.as_bytes(), service.as_bytes(), key])
    }

    /// Returns the digest of several values, each preceded by its length.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }

    /// Creates a digest from its bytes, if there are 32.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Digest)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first eight bytes as a big-endian number.
    pub(super) fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.prefix())
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(self.0))
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes = bytes::deserialize(deserializer)?;
        Digest::from_bytes(&bytes).ok_or_else(|| de::Error::invalid_length(bytes.len(), &"32"))
    }
}

/// Serialization of bytes as base64 text.
pub(super) mod bytes {
    use super::{Deserialize, Deserializer, Engine, STANDARD_NO_PAD, Serialize, Serializer, de};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        STANDARD_NO_PAD.encode(bytes).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(text).map_err(de::Error::custom)
    }
}
