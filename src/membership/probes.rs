//! Questions to single members, apart from gossip's rounds.

use tokio::sync::{broadcast, mpsc};

/// Questions that wait for gossip, and answers that wait for a subscriber.
const CHANNEL_LENGTH: usize = 256;

/// A question to the member of this name.
#[derives::value]
#[derive(Eq)]
pub enum MemberQuestion {
    /// Whether it lives.
    Lives(String),
    /// What it holds and when the documents' origin was last looked at; it
    /// replies with a stamp.
    Stamp(String),
}

/// Asks members and tells who answered; clones share both.
#[derive(Debug, Clone)]
pub struct MemberProbes {
    asked: mpsc::Sender<MemberQuestion>,
    answered: broadcast::Sender<String>,
}

impl MemberProbes {
    /// Probes, and the questions that gossip has to send.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<MemberQuestion>) {
        let (asked, questions) = mpsc::channel(CHANNEL_LENGTH);
        let answered = broadcast::channel(CHANNEL_LENGTH).0;
        (Self { asked, answered }, questions)
    }

    /// Asks whether a member lives. A question that finds no room is left out;
    /// the next one follows soon.
    pub fn ask(&self, node_id: &str) {
        let _ = self
            .asked
            .try_send(MemberQuestion::Lives(node_id.to_owned()));
    }

    /// Asks a member for a stamp; as above.
    pub fn ask_stamp(&self, node_id: &str) {
        let _ = self
            .asked
            .try_send(MemberQuestion::Stamp(node_id.to_owned()));
    }

    /// Members that answer from now on.
    #[must_use]
    pub fn answers(&self) -> broadcast::Receiver<String> {
        self.answered.subscribe()
    }

    /// A member answered.
    pub fn answered(&self, node_id: String) {
        // Without subscribers there is nobody to tell.
        let _ = self.answered.send(node_id);
    }
}
