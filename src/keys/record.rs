//! The keys document as stored in the platform.

use super::KeyDigest;

/// Error of reading or changing a keys document.
#[derive(Debug, thiserror::Error)]
pub enum KeysError {
    /// The content is not a keys document.
    #[error("invalid keys document: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The key is granted to another workspace.
    #[error("the key is already granted to workspace {workspace:?}")]
    GrantedElsewhere {
        /// Workspace that holds the key.
        workspace: String,
    },
    /// The key was revoked, which cannot be undone.
    #[error("the key was revoked, which cannot be undone: create a new key")]
    Revoked,
}

/// A granted key.
#[derives::record]
#[derive(Eq)]
pub struct GrantRecord {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Workspace that the key is granted to.
    pub workspace: String,
    /// Time of the grant, in milliseconds since the Unix epoch.
    pub granted_unix_ms: u64,
}

/// A revoked key.
#[derives::record]
#[derive(Eq)]
pub struct RevocationRecord {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Time of the revocation, in milliseconds since the Unix epoch.
    pub revoked_unix_ms: u64,
}

/// All granted and revoked keys.
#[derives::record]
#[derive(Eq, Default)]
pub struct KeysRecord {
    /// Granted keys; a revocation overrides a grant.
    pub granted: Vec<GrantRecord>,
    /// Revoked keys; never removed.
    pub revoked: Vec<RevocationRecord>,
}

impl KeysRecord {
    /// Parses the content of a document; empty content means no keys.
    pub fn read(content: &[u8]) -> Result<Self, KeysError> {
        if content.is_empty() {
            return Ok(Self::default());
        }
        Ok(serde_json::from_slice(content)?)
    }

    /// Serializes the content of the document.
    ///
    /// # Panics
    /// Never: the record has no map keys that JSON can't represent.
    #[must_use]
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the record serializes to JSON")
    }

    /// Whether the key was revoked.
    #[must_use]
    pub fn is_revoked(&self, digest: &KeyDigest) -> bool {
        self.revoked
            .iter()
            .any(|revocation| revocation.digest == *digest)
    }

    /// Grants a key; returns false if already granted to the workspace.
    pub fn grant(
        &mut self,
        digest: KeyDigest,
        workspace: &str,
        granted_unix_ms: u64,
    ) -> Result<bool, KeysError> {
        if self.is_revoked(&digest) {
            return Err(KeysError::Revoked);
        }
        if let Some(grant) = self.granted.iter().find(|grant| grant.digest == digest) {
            if grant.workspace == workspace {
                return Ok(false);
            }
            let workspace = grant.workspace.clone();
            return Err(KeysError::GrantedElsewhere { workspace });
        }
        self.granted.push(GrantRecord {
            digest,
            workspace: workspace.to_owned(),
            granted_unix_ms,
        });
        Ok(true)
    }

    /// Revokes a key permanently, also one never granted, and removes its grant;
    /// returns false if already revoked.
    pub fn revoke(&mut self, digest: KeyDigest, revoked_unix_ms: u64) -> bool {
        self.granted.retain(|grant| grant.digest != digest);
        if self.is_revoked(&digest) {
            return false;
        }
        self.revoked.push(RevocationRecord {
            digest,
            revoked_unix_ms,
        });
        true
    }
}
