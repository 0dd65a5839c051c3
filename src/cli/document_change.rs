//! Changes a document that operators share, whatever happens to the answers.

use {
    super::Exit,
    crate::{
        backoff::Backoff,
        conf::Evacuations,
        documents::DocumentKind,
        keys::{KeysError, KeysRecord},
        platform::{Platform, PlatformError, WriteOutcome},
    },
    serde::Serialize,
};

const CHANGE_ATTEMPTS: usize = 6;

/// A document that operators change in part.
pub trait SharedDocument: Sized {
    /// Its kind.
    const KIND: DocumentKind;
    /// Why it cannot be read or changed.
    type Error;

    /// Reads its content; empty while it does not exist.
    fn read(content: &[u8]) -> Result<Self, Self::Error>;

    /// Its content.
    fn write(&self) -> Vec<u8>;
}

impl SharedDocument for KeysRecord {
    const KIND: DocumentKind = DocumentKind::Keys;
    type Error = KeysError;

    fn read(content: &[u8]) -> Result<Self, KeysError> {
        Self::read(content)
    }

    fn write(&self) -> Vec<u8> {
        Self::write(self)
    }
}

impl SharedDocument for Evacuations {
    const KIND: DocumentKind = DocumentKind::Evacuations;
    type Error = serde_json::Error;

    fn read(content: &[u8]) -> serde_json::Result<Self> {
        Self::read(content)
    }

    fn write(&self) -> Vec<u8> {
        Self::write(self)
    }
}

/// What became of a change of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The document holds it, from this version on at the latest.
    Written {
        /// The version.
        version: u64,
    },
    /// The document does not hold it.
    NotWritten {
        /// Why.
        reason: String,
    },
    /// No answer came: the document may hold it, or come to do so.
    Unknown {
        /// The last failure.
        reason: String,
    },
}

impl ChangeOutcome {
    /// How the command ends.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Written { .. } => Exit::Done,
            Self::NotWritten { .. } => Exit::Failed,
            Self::Unknown { .. } => Exit::Unsure,
        }
    }
}

/// Reads, changes and writes a document until it holds the change.
///
/// `change` says whether it changed anything; it is applied again to the newer
/// document after a conflict or a lost answer, so that it must be idempotent.
pub async fn change_document<D: SharedDocument>(
    platform: &Platform,
    mut change: impl FnMut(&mut D) -> Result<bool, D::Error>,
) -> Result<ChangeOutcome, D::Error> {
    let mut backoff = Backoff::new(50, 1_000);
    let mut may_be_written = false;
    let mut reason = String::new();
    for _ in 0..CHANGE_ATTEMPTS {
        match attempt(platform, &mut change).await? {
            Attempt::Written(version) => return Ok(ChangeOutcome::Written { version }),
            Attempt::Conflict => "other operators write all the time".clone_into(&mut reason),
            Attempt::Failed(error) => reason = error.to_string(),
            Attempt::Unknown(error) => {
                may_be_written = true;
                reason = error.to_string();
            }
        }
        backoff.wait().await;
    }
    if may_be_written {
        return Ok(ChangeOutcome::Unknown { reason });
    }
    Ok(ChangeOutcome::NotWritten { reason })
}

enum Attempt {
    Written(u64),
    Conflict,
    Failed(PlatformError),
    Unknown(PlatformError),
}

async fn attempt<D: SharedDocument>(
    platform: &Platform,
    change: &mut impl FnMut(&mut D) -> Result<bool, D::Error>,
) -> Result<Attempt, D::Error> {
    let name = D::KIND.name();
    let object = match platform.current_version(name).await {
        Ok(version) => platform.read_at_least(name, version).await,
        // The answers to looks may be lost as those to writes are. A plain
        // read has to do then: were it stale, the write would meet a conflict.
        Err(_) => platform.read(name).await,
    };
    let object = match object {
        Ok(object) => object,
        Err(error) => return Ok(Attempt::Failed(error)),
    };
    let mut record = D::read(&object.content)?;
    if !change(&mut record)? {
        return Ok(Attempt::Written(object.version));
    }
    Ok(
        match platform.write(name, object.version, record.write()).await {
            WriteOutcome::Written(version) => Attempt::Written(version),
            WriteOutcome::Conflict(_) => Attempt::Conflict,
            WriteOutcome::Refused(error) => Attempt::Failed(error),
            WriteOutcome::Unknown(error) => Attempt::Unknown(error),
        },
    )
}
