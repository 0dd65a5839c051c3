//! Answers that a caller can check.

use {
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::Sleep,
    xxhash_rust::xxh3::xxh3_64,
};

// Long enough that the first half is sent before the connection closes.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// How a downstream call ended.
#[derives::record]
#[derive(Default, Eq)]
pub struct CallResult {
    /// Method and path.
    pub call: String,
    /// Status; 0 if no answer came.
    pub status: u16,
    /// Outcome as told by the node.
    pub outcome: Option<String>,
    /// Reason as told by the node.
    pub reason: Option<String>,
    /// The answer was whole and belonged to this call.
    pub whole: bool,
}

/// Body of a target's answer.
///
/// The checksum covers all other fields, so a caller notices a cut or a mixed
/// answer; method, path, digest and test id show whose it is.
#[derives::record]
#[derive(Default, Eq)]
pub struct WholeAnswer {
    /// Service that answers.
    pub service: String,
    /// Address of the target.
    pub target: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request, as the target saw them.
    pub path: String,
    /// Name that the test gave the request.
    pub test_id: Option<String>,
    /// Digest of the request's body.
    pub body_digest: String,
    /// Downstream calls in their order.
    pub calls: Vec<CallResult>,
    /// Filler.
    pub padding: String,
    /// Digest of this answer with an empty checksum.
    pub checksum: String,
}

/// A body that is not a target's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// Cut or not from a target.
    #[error("not a target's answer: {message}")]
    Malformed {
        /// What the parser says.
        message: String,
    },
    /// The checksum does not fit.
    #[error("the checksum does not fit the answer")]
    Checksum,
    /// The answer to another request.
    #[error("answer to test id {found:?} in place of {expected:?}")]
    OtherRequest {
        /// Test id of the request.
        expected: String,
        /// Test id in the answer.
        found: Option<String>,
    },
}

impl WholeAnswer {
    /// Fills in the checksum.
    #[must_use]
    pub fn with_checksum(mut self) -> Self {
        self.checksum = self.computed_checksum();
        self
    }

    /// Reads a body and checks that it is whole and answers this request.
    pub fn check(body: &[u8], test_id: &str) -> Result<Self, AnswerError> {
        let answer: Self =
            serde_json::from_slice(body).map_err(|error| AnswerError::Malformed {
                message: error.to_string(),
            })?;
        if answer.computed_checksum() != answer.checksum {
            return Err(AnswerError::Checksum);
        }
        if answer.test_id.as_deref() != Some(test_id) {
            return Err(AnswerError::OtherRequest {
                expected: test_id.to_owned(),
                found: answer.test_id,
            });
        }
        Ok(answer)
    }

    fn computed_checksum(&self) -> String {
        let unsigned = Self {
            checksum: String::new(),
            ..self.clone()
        };
        digest(&serde_json::to_vec(&unsigned).unwrap_or_default())
    }
}

/// Digest of a body, in hexadecimal.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// The connection is closed in the middle of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("cut on purpose")]
pub struct CutAnswer;

/// A body that is sent whole, or cut after its first half.
#[derive(Debug, Default)]
pub struct AnswerBody {
    remaining: Bytes,
    cut: Option<Pin<Box<Sleep>>>,
    length_bytes: u64,
}

impl AnswerBody {
    pub(super) fn new(body: Bytes) -> Self {
        Self {
            length_bytes: body.len() as u64,
            remaining: body,
            cut: None,
        }
    }

    pub(super) fn with_cut(mut self) -> Self {
        self.remaining.truncate(self.remaining.len() / 2);
        self.cut = Some(Box::pin(tokio::time::sleep(CUT_PAUSE)));
        self
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutAnswer>>> {
        if !self.remaining.is_empty() {
            let data = std::mem::take(&mut self.remaining);
            if self.cut.is_none() {
                self.length_bytes = 0;
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let Some(cut) = &mut self.cut else {
            return Poll::Ready(None);
        };
        ready!(cut.as_mut().poll(context));
        Poll::Ready(Some(Err(CutAnswer)))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty() && self.cut.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length_bytes)
    }
}
