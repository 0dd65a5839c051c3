//! Short questions to single members whether they live.
//!
//! A busy node asks each member at which its requests wait several times a
//! second, so a question carries nothing but its number.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// First byte of a life check; packed Cap'n Proto packets never begin with it.
pub const LIFE_CHECK_MARK: u8 = 0xff;

/// Time after which a question without an answer is forgotten.
const FORGET_MS: u64 = 1000;

/// A question or its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LifeCheck {
    /// Asks for an answer of the same number.
    Question(u64),
    /// Answers the question of this number.
    Answer(u64),
}

/// Questions that wait for their answers.
#[derive(Debug)]
pub struct LifeChecks {
    next: u64,
    /// Members that were asked, with the time.
    asked: BTreeMap<u64, (String, u64)>,
}

impl LifeChecks {
    /// Questions from this number on. Drawn at random, it keeps recorded answers
    /// to an earlier process from being taken for new ones.
    #[must_use]
    pub const fn new(first: u64) -> Self {
        Self {
            next: first,
            asked: BTreeMap::new(),
        }
    }

    /// The question to send to a member.
    pub fn ask(&mut self, node_id: String, now_ms: u64) -> LifeCheck {
        self.asked
            .retain(|_, (_, asked_ms)| now_ms < *asked_ms + FORGET_MS);
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.asked.insert(number, (node_id, now_ms));
        LifeCheck::Question(number)
    }

    /// The member that answered the question of this number, once.
    pub fn answered(&mut self, number: u64) -> Option<String> {
        self.asked.remove(&number).map(|(node_id, _)| node_id)
    }
}
