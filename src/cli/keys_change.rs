//! Changes the keys document, whatever happens to the answers.

use {
    crate::{
        backoff::Backoff,
        documents::DocumentKind,
        keys::{KeysError, KeysRecord},
        platform::{Platform, PlatformError, Write},
    },
    serde::Serialize,
};

const CHANGE_ATTEMPTS: usize = 6;

/// What became of a change of the keys document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum KeysOutcome {
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

/// Reads, changes and writes the keys document until it holds the change.
///
/// `change` says whether it changed anything; it is applied again to the newer
/// document after a conflict or a lost answer, so that it must be idempotent.
pub async fn change_keys(
    platform: &Platform,
    mut change: impl FnMut(&mut KeysRecord) -> Result<bool, KeysError>,
) -> Result<KeysOutcome, KeysError> {
    let mut backoff = Backoff::new(50, 1_000);
    let mut may_be_written = false;
    let mut reason = String::new();
    for _ in 0..CHANGE_ATTEMPTS {
        match attempt(platform, &mut change).await? {
            Attempt::Written(version) => return Ok(KeysOutcome::Written { version }),
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
        return Ok(KeysOutcome::Unknown { reason });
    }
    Ok(KeysOutcome::NotWritten { reason })
}

enum Attempt {
    Written(u64),
    Conflict,
    Failed(PlatformError),
    Unknown(PlatformError),
}

async fn attempt(
    platform: &Platform,
    change: &mut impl FnMut(&mut KeysRecord) -> Result<bool, KeysError>,
) -> Result<Attempt, KeysError> {
    let name = DocumentKind::Keys.name();
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
    let mut record = KeysRecord::read(&object.content)?;
    if !change(&mut record)? {
        return Ok(Attempt::Written(object.version));
    }
    Ok(
        match platform.write(name, object.version, record.write()).await {
            Write::Written(version) => Attempt::Written(version),
            Write::Conflict(_) => Attempt::Conflict,
            Write::Refused(error) => Attempt::Failed(error),
            Write::Unknown(error) => Attempt::Unknown(error),
        },
    )
}
