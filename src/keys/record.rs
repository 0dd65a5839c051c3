//! The keys document as it stands in the platform.

use super::KeyDigest;

/// A keys document that cannot be read or changed as asked.
#[derive(Debug, thiserror::Error)]
pub enum KeysError {
    /// It is not a keys document.
    #[error("not a keys document: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The key stands for another workspace.
    #[error("the key is granted to workspace {workspace:?} already")]
    GrantedElsewhere {
        /// That workspace.
        workspace: String,
    },
    /// The key was revoked, which cannot be undone.
    #[error("the key was revoked, which cannot be undone: create a new one")]
    Revoked,
}

/// A granted key.
#[derives::record]
#[derive(Eq)]
pub struct GrantRecord {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Workspace that it stands for.
    pub workspace: String,
    /// When, in milliseconds since the Unix epoch.
    pub granted_unix_ms: u64,
}

/// A revoked key.
#[derives::record]
#[derive(Eq)]
pub struct RevocationRecord {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// When, in milliseconds since the Unix epoch.
    pub revoked_unix_ms: u64,
}

/// All granted and revoked keys.
#[derives::record]
#[derive(Eq, Default)]
pub struct KeysRecord {
    /// Granted keys; a revocation outweighs the grant.
    pub granted: Vec<GrantRecord>,
    /// Revoked keys; only grows.
    pub revoked: Vec<RevocationRecord>,
}

impl KeysRecord {
    /// Reads a document; an empty one holds no keys.
    pub fn read(content: &[u8]) -> Result<Self, KeysError> {
        if content.is_empty() {
            return Ok(Self::default());
        }
        Ok(serde_json::from_slice(content)?)
    }

    /// Content of the document.
    ///
    /// # Panics
    /// Never: the record has no map keys that JSON can't hold.
    #[must_use]
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the record is plain data")
    }

    /// Whether the key was revoked.
    #[must_use]
    pub fn is_revoked(&self, digest: &KeyDigest) -> bool {
        self.revoked
            .iter()
            .any(|revocation| revocation.digest == *digest)
    }

    /// Grants a key; false when it was granted already.
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

    /// Revokes a key, also one that was never granted; false when it was
    /// revoked already. The grant goes, the revocation stays.
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
