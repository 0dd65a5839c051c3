//! Swaps the answers of two concurrent requests.

use {
    super::server::TargetAnswer,
    std::{sync::Mutex, time::Duration},
    tokio::{sync::oneshot, time},
};

/// How long an answer waits for another one.
const WAIT_LIMIT: Duration = Duration::from_secs(1);

/// An answer that waits, and where the other one goes.
#[derive(Debug)]
struct Waiting {
    answer: TargetAnswer,
    partner: oneshot::Sender<TargetAnswer>,
}

/// Meeting place of two answers.
#[derive(Debug, Default)]
pub(super) struct Crossing(Mutex<Option<Waiting>>);

impl Crossing {
    /// Swaps the answer with the next one that is ready; gives it back after a
    /// while in which there was none.
    pub(super) async fn swap(&self, answer: TargetAnswer) -> TargetAnswer {
        let (partner, mut partner_answer) = oneshot::channel();
        if let Some(waiting) = self.meet(answer, partner) {
            return waiting;
        }
        if let Ok(Ok(swapped)) = time::timeout(WAIT_LIMIT, &mut partner_answer).await {
            return swapped;
        }
        // Looked at under the lock: the other one may have come just now.
        let mut place = self.0.lock().expect("no panic while swapping");
        match partner_answer.try_recv() {
            Ok(swapped) => swapped,
            Err(_) => place.take().map(|own| own.answer).unwrap_or_default(),
        }
    }

    /// Takes the answer that waits and leaves this one in its place, or waits.
    fn meet(
        &self,
        answer: TargetAnswer,
        partner: oneshot::Sender<TargetAnswer>,
    ) -> Option<TargetAnswer> {
        let mut place = self.0.lock().expect("no panic while swapping");
        match place.take() {
            Some(waiting) if !waiting.partner.is_closed() => {
                let _ = waiting.partner.send(answer);
                Some(waiting.answer)
            }
            _ => {
                *place = Some(Waiting { answer, partner });
                None
            }
        }
    }
}
