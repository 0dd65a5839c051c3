//! Digests of tenant keys.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    rand::{TryRngCore, rngs::OsRng},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
};

/// Prefix of every key that `dogwoodctl` creates.
pub const KEY_PREFIX: &str = "dwk_";

const KEY_BYTES: usize = 32;
const DIGEST_BYTES: usize = 32;

/// SHA-256 of a tenant key. Keys themselves are never stored.
///
/// Keys hold 256 random bits, so a plain digest can't be reversed by guessing, and
/// the timing of a lookup by digest reveals nothing about the key.
#[derives::key]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

/// Error for text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid key digest: expected 64 hexadecimal digits")]
pub struct DigestError;

impl KeyDigest {
    /// Placeholder for requests without a key; no key has this digest.
    pub const NONE: Self = Self([0; DIGEST_BYTES]);

    /// Digest of a presented key.
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return Err(DigestError);
            }
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// Creates a key from the operating system's random number generator.
///
/// # Panics
/// If the operating system provides no random numbers: a guessable key would be
/// worse.
#[must_use]
pub fn new_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .expect("the operating system provides random numbers");
    format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}
