//! Identity of a caller's request.

use std::fmt;

/// Longest identity that is kept; a UUID in its usual form fits.
const MAX_BYTES: usize = 40;

/// Identifies a caller's original request along the whole chain, as the caller
/// names it or as the ingress made it up.
#[derives::key]
pub struct RequestId {
    bytes: [u8; MAX_BYTES],
    length: u8,
}

impl RequestId {
    /// An identity of visible ASCII characters; `None` for other texts, empty
    /// and longer ones.
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_BYTES || !is_visible {
            return None;
        }
        let mut bytes = [0; MAX_BYTES];
        bytes[..text.len()].copy_from_slice(text.as_bytes());
        Some(Self {
            bytes,
            length: u8::try_from(text.len()).ok()?,
        })
    }

    /// A new identity for a caller that gave none.
    #[must_use]
    pub fn random() -> Self {
        let text = uuid::Uuid::new_v4().to_string();
        Self::new(&text).unwrap_or(Self {
            bytes: [0; MAX_BYTES],
            length: 0,
        })
    }

    /// The identity as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.length)]).unwrap_or("")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
