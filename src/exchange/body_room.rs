//! Bounds the request bodies that a node holds at a time.

use {
    super::body::{Collected, collect_while},
    bytes::Bytes,
    hyper::body::Body,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Room for the request bodies of a node. Clones share it.
///
/// A request without room is refused before it is sent: a node that ran out of memory would lose
/// all requests that it serves.
#[derive(Debug, Clone)]
pub struct BodyRoom {
    limit_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl BodyRoom {
    /// Room for bodies of this size in total.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: Arc::default(),
        }
    }

    /// Total size of the bodies that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Begins to hold a body, which is empty so far.
    #[must_use]
    pub fn hold(&self) -> HeldBody {
        HeldBody {
            room: self.clone(),
            byte_count: 0,
        }
    }

    fn has_room_for(&self, byte_count: usize) -> bool {
        self.held_bytes().saturating_add(byte_count) <= self.limit_bytes
    }

    fn try_take(&self, byte_count: usize) -> bool {
        let update = |held_bytes: usize| {
            let total_bytes = held_bytes.saturating_add(byte_count);
            (total_bytes <= self.limit_bytes).then_some(total_bytes)
        };
        self.held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
            .is_ok()
    }
}

/// A part of the room that is taken until dropped.
#[derive(Debug)]
pub struct HeldBody {
    room: BodyRoom,
    byte_count: usize,
}

impl HeldBody {
    /// Takes room for the first bytes of a body, as far as it is not taken yet; returns whether
    /// there is enough.
    pub fn try_extend_to(&mut self, byte_count: usize) -> bool {
        let missing_bytes = byte_count.saturating_sub(self.byte_count);
        if !self.room.try_take(missing_bytes) {
            return false;
        }
        self.byte_count += missing_bytes;
        true
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.room
            .held_bytes
            .fetch_sub(self.byte_count, Ordering::Relaxed);
    }
}

/// A request body that was read.
#[derive(Debug)]
pub enum HeldCollected {
    /// The complete body; its room is taken while it is held.
    Complete(Bytes, HeldBody),
    /// The body exceeds its size limit.
    TooLarge,
    /// There is no room for the body at the moment.
    NoRoom,
}

/// Reads a body until its end, its size limit or the end of the room.
pub async fn collect_held<B>(
    body: &mut B,
    limit_bytes: usize,
    room: &BodyRoom,
) -> Result<HeldCollected, hyper::Error>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    // What is announced is not held before it arrives: a caller that sends slowly would keep
    // others out.
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > limit_bytes {
        return Ok(HeldCollected::TooLarge);
    }
    if !room.has_room_for(announced_bytes) {
        return Ok(HeldCollected::NoRoom);
    }
    let mut held = room.hold();
    let mut has_room = true;
    let collected = collect_while(body, |byte_count| {
        if byte_count > limit_bytes {
            return false;
        }
        has_room = held.try_extend_to(byte_count);
        has_room
    })
    .await?;
    Ok(match collected {
        Collected::Complete(bytes) => HeldCollected::Complete(bytes, held),
        Collected::TooLarge(_) if has_room => HeldCollected::TooLarge,
        Collected::TooLarge(_) => HeldCollected::NoRoom,
    })
}
