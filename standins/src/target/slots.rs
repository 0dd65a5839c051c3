//! Slots whose number can change while work is under way.

use {
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The queue for slots has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the queue is full")]
pub(super) struct QueueFull;

#[derive(Debug)]
struct Limit {
    slot_count: usize,
    /// Slots that are taken away as soon as their work ends.
    excess_count: usize,
}

/// Slots and the queue before them; clones share them.
#[derive(Debug, Clone)]
pub(super) struct Slots {
    semaphore: Arc<Semaphore>,
    limit: Arc<Mutex<Limit>>,
    waiting_count: Arc<AtomicUsize>,
    running_count: Arc<AtomicUsize>,
    queue_length: usize,
}

impl Slots {
    pub(super) fn new(slot_count: usize, queue_length: Option<usize>) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slot_count)),
            limit: Arc::new(Mutex::new(Limit {
                slot_count,
                excess_count: 0,
            })),
            waiting_count: Arc::default(),
            running_count: Arc::default(),
            queue_length: queue_length.unwrap_or(usize::MAX),
        }
    }

    pub(super) async fn acquire(&self) -> Result<Slot, QueueFull> {
        if let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned() {
            return Ok(self.occupy(permit));
        }
        let waiting = Counted::new(&self.waiting_count);
        if waiting.earlier_count >= self.queue_length {
            return Err(QueueFull);
        }
        let permit = Arc::clone(&self.semaphore).acquire_owned().await;
        drop(waiting);
        permit
            .map(|permit| self.occupy(permit))
            .map_err(|_| QueueFull)
    }

    pub(super) fn set_count(&self, slot_count: usize) {
        let mut limit = self.limit.lock().expect("no panic while counting");
        if slot_count >= limit.slot_count {
            let more_count = slot_count - limit.slot_count;
            let kept_count = more_count.min(limit.excess_count);
            limit.excess_count -= kept_count;
            self.semaphore.add_permits(more_count - kept_count);
        } else {
            let fewer_count = limit.slot_count - slot_count;
            limit.excess_count += fewer_count - self.semaphore.forget_permits(fewer_count);
        }
        limit.slot_count = slot_count;
    }

    /// Share of the slots that is at work.
    pub(super) fn busy_ratio(&self) -> f64 {
        let limit = self.limit.lock().expect("no panic while counting");
        self.running_count.load(Ordering::Relaxed) as f64 / limit.slot_count.max(1) as f64
    }

    /// Requests that wait for a slot.
    pub(super) fn waiting_count(&self) -> usize {
        self.waiting_count.load(Ordering::Relaxed)
    }

    fn occupy(&self, permit: OwnedSemaphorePermit) -> Slot {
        Slot {
            permit: Some(permit),
            limit: Arc::clone(&self.limit),
            _running: Counted::new(&self.running_count),
        }
    }
}

/// A slot at work; free again when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    permit: Option<OwnedSemaphorePermit>,
    limit: Arc<Mutex<Limit>>,
    _running: Counted,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Ok(mut limit) = self.limit.lock() else {
            return;
        };
        if limit.excess_count > 0
            && let Some(permit) = self.permit.take()
        {
            limit.excess_count -= 1;
            permit.forget();
        }
    }
}

/// Counts itself while it lives.
#[derive(Debug)]
struct Counted {
    count: Arc<AtomicUsize>,
    earlier_count: usize,
}

impl Counted {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        Self {
            earlier_count: count.fetch_add(1, Ordering::Relaxed),
            count: Arc::clone(count),
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
