//! Writes a configuration into the platform, whatever happens to the answers.

use {
    crate::{
        backoff::Backoff,
        conf::{ConfigurationRecord, Publication},
        documents::DocumentKind,
        platform::{Platform, PlatformError, WriteOutcome},
    },
    serde::Serialize,
    uuid::Uuid,
};

const WRITE_ATTEMPTS: usize = 5;
const LOOK_ATTEMPTS: usize = 3;
const FIRST_BACKOFF_MS: u64 = 100;
const LONGEST_BACKOFF_MS: u64 = 1_000;

/// The publication that is in force instead of the own one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Winner {
    /// Its version.
    pub version: u64,
    /// Who published it and when; absent when it could not be read.
    pub publication: Option<Publication>,
}

/// What became of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum PublishOutcome {
    /// It is published with this version.
    Published {
        /// The version.
        version: u64,
    },
    /// It is not published: another operator was first.
    Conflict {
        /// The other one.
        winner: Winner,
    },
    /// It is not in force: another one came after the answer to this one was
    /// lost. This one may have been in force in between.
    Overtaken {
        /// The other one.
        winner: Winner,
    },
    /// It is not published.
    NotPublished {
        /// Why.
        reason: String,
    },
    /// No answer came: it may be published, or come to be.
    Unknown {
        /// Writes that were tried.
        attempt_count: usize,
        /// The last failure.
        reason: String,
    },
}

/// Publishes a configuration on the condition that nobody published since the
/// call began, or since the given version.
// The answer to a write can be lost after it took effect. Reporting a failure
// would send the operator into publishing again over a colleague's later
// work; reporting a success could leave old rules in force unnoticed. So the
// same write is sent again: it carries the same condition, so that only one
// of them can take effect, and a conflict is resolved by the publish id.
pub async fn publish_record(
    platform: &Platform,
    record: &ConfigurationRecord,
    if_version: Option<u64>,
) -> PublishOutcome {
    let base_version = match if_version {
        Some(version) => version,
        None => match current_version(platform).await {
            Ok(version) => version,
            Err(error) => return not_published(&error),
        },
    };
    let publish_id = record.publication.publish_id;
    let content = serde_json::to_vec(record).expect("the record is plain data");
    let mut backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
    let mut lost_answer = None;
    let mut last_error = None;
    for _ in 0..WRITE_ATTEMPTS {
        let name = DocumentKind::Configuration.name();
        match platform.write(name, base_version, content.clone()).await {
            WriteOutcome::Written(version) => return PublishOutcome::Published { version },
            WriteOutcome::Conflict(version) if lost_answer.is_none() => {
                let winner = read_winner(platform, version).await;
                return PublishOutcome::Conflict { winner };
            }
            WriteOutcome::Conflict(version) => {
                let winner = read_winner(platform, version).await;
                if let Some(outcome) = resolve(winner, publish_id, base_version) {
                    return outcome;
                }
            }
            WriteOutcome::Refused(error @ PlatformError::Unreachable(_)) => {
                last_error = Some(error);
            }
            WriteOutcome::Refused(error) => return not_published(&error),
            WriteOutcome::Unknown(error) => lost_answer = Some(error),
        }
        backoff.wait().await;
        if lost_answer.is_some()
            && let Some(version) = find_published(platform, publish_id).await
        {
            return PublishOutcome::Published { version };
        }
    }
    match (lost_answer, last_error) {
        (Some(error), _) => PublishOutcome::Unknown {
            attempt_count: WRITE_ATTEMPTS,
            reason: error.to_string(),
        },
        (None, Some(error)) => not_published(&error),
        (None, None) => unreachable!("every attempt ends in an outcome or an error"),
    }
}

/// What a conflict after a lost answer means; nothing when the winner could
/// not be read.
fn resolve(winner: Winner, publish_id: Uuid, base_version: u64) -> Option<PublishOutcome> {
    let publication = winner.publication.as_ref()?;
    let version = winner.version;
    if publication.publish_id == publish_id {
        return Some(PublishOutcome::Published { version });
    }
    if version == base_version + 1 {
        return Some(PublishOutcome::Conflict { winner });
    }
    Some(PublishOutcome::Overtaken { winner })
}

fn not_published(error: &PlatformError) -> PublishOutcome {
    PublishOutcome::NotPublished {
        reason: error.to_string(),
    }
}

/// Version to build on. While the platform loses the answers to writes, and
/// so to looks, a plain read has to do: were it stale, the write would meet a
/// conflict and change nothing.
async fn current_version(platform: &Platform) -> Result<u64, PlatformError> {
    let mut backoff = Backoff::new(FIRST_BACKOFF_MS, LONGEST_BACKOFF_MS);
    let name = DocumentKind::Configuration.name();
    for _ in 0..LOOK_ATTEMPTS {
        if let Ok(version) = platform.current_version(name).await {
            return Ok(version);
        }
        backoff.wait().await;
    }
    platform.read(name).await.map(|object| object.version)
}

/// Version under which a publication stands in the platform. A read that does
/// not show it proves nothing, since it may be stale; one that does is proof.
async fn find_published(platform: &Platform, publish_id: Uuid) -> Option<u64> {
    let object = platform
        .read(DocumentKind::Configuration.name())
        .await
        .ok()?;
    let record: ConfigurationRecord = serde_json::from_slice(&object.content).ok()?;
    (record.publication.publish_id == publish_id).then_some(object.version)
}

async fn read_winner(platform: &Platform, version: u64) -> Winner {
    let name = DocumentKind::Configuration.name();
    let object = platform.read_at_least(name, version).await;
    let record = object.as_ref().ok().map(|object| {
        let record = serde_json::from_slice::<ConfigurationRecord>(&object.content);
        (object.version, record.ok().map(|record| record.publication))
    });
    match record {
        Some((version, publication)) => Winner {
            version,
            publication,
        },
        None => Winner {
            version,
            publication: None,
        },
    }
}
