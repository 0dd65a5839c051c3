//! Bounds the request bodies that a node holds at a time.

use {
    super::segments::{SegmentWriter, Segments},
    crate::{arena::Arena, arena_key},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Body,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
    tokio_util::sync::CancellationToken,
};

/// Announced size up to which a body may use the room for small ones.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Time after which a body that has not arrived completely gives way to any other, and time
/// without progress after which it does.
const LONGEST_ARRIVAL: Duration = Duration::from_secs(2);
const LONGEST_STALL: Duration = Duration::from_millis(500);
/// An incomplete body gives way at any time to one that is smaller by this factor.
const SIZE_FACTOR: usize = 4;
/// Longest wait for the memory of a body that was given up.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Room for the request bodies of a node. Clones share it.
///
/// A request without room is refused before it is sent: a node that ran out of memory would lose
/// all requests that it serves. Bodies that arrive slowly or not at all give way to others, so that
/// callers that stop short of the end do not keep others out.
#[derive(Debug, Clone)]
pub struct BodyRoom(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    /// Further room for small bodies.
    small_bytes: usize,
    state: Mutex<State>,
    released: Notify,
    given_up_count: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    held_bytes: usize,
    arrivals: Arena<ArrivalKey, Arrival>,
}

arena_key! {
    /// A body that has not arrived completely.
    ArrivalKey
}

#[derive(Debug)]
struct Arrival {
    byte_count: usize,
    began: Instant,
    progressed: Instant,
    given_up: CancellationToken,
}

impl Arrival {
    fn gives_way_to(&self, byte_count: usize, now: Instant) -> bool {
        let is_late = now.saturating_duration_since(self.began) > LONGEST_ARRIVAL;
        let is_stalled = now.saturating_duration_since(self.progressed) > LONGEST_STALL;
        is_late || is_stalled || self.byte_count / SIZE_FACTOR >= byte_count
    }
}

/// There is no room for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the node holds as many bytes of request bodies as it may")]
pub struct NoRoom;

impl BodyRoom {
    /// Room for bodies of this size in total.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self::with_small_bodies(limit_bytes, 0)
    }

    /// The same with further room that only small bodies use.
    #[must_use]
    pub fn with_small_bodies(limit_bytes: usize, small_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            limit_bytes,
            small_bytes,
            state: Mutex::default(),
            released: Notify::new(),
            given_up_count: AtomicU64::new(0),
        }))
    }

    /// Total memory of the bodies that are held, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.locked().held_bytes
    }

    /// Incomplete bodies that gave way so far.
    #[must_use]
    pub fn given_up_count(&self) -> u64 {
        self.0.given_up_count.load(Ordering::Relaxed)
    }

    /// Holds a body without bytes.
    #[must_use]
    pub fn hold_empty(&self) -> HeldBody {
        HeldBody {
            room: self.clone(),
            byte_count: 0,
            expected_bytes: 0,
            limit_bytes: 0,
            arrival: None,
        }
    }

    /// Begins to hold a body of this size, if it is announced, that may have to give way until it
    /// is complete.
    fn hold(&self, announced_bytes: Option<usize>) -> HeldBody {
        let given_up = CancellationToken::new();
        let now = Instant::now();
        let key = self.locked().arrivals.insert(Arrival {
            byte_count: 0,
            began: now,
            progressed: now,
            given_up: given_up.clone(),
        });
        let is_small = announced_bytes.is_some_and(|bytes| bytes <= SMALL_BODY_BYTES);
        let small_bytes = if is_small { self.0.small_bytes } else { 0 };
        HeldBody {
            room: self.clone(),
            byte_count: 0,
            expected_bytes: announced_bytes.unwrap_or(SMALL_BODY_BYTES),
            limit_bytes: self.0.limit_bytes + small_bytes,
            arrival: Some((key, given_up)),
        }
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("lock is not poisoned")
    }
}

/// A part of the room that is taken until dropped.
#[derive(Debug)]
pub struct HeldBody {
    room: BodyRoom,
    byte_count: usize,
    expected_bytes: usize,
    limit_bytes: usize,
    arrival: Option<(ArrivalKey, CancellationToken)>,
}

impl HeldBody {
    /// Takes room for more bytes; gives up other bodies if there is not enough.
    async fn extend(&mut self, byte_count: usize) -> Result<(), NoRoom> {
        while !self.try_extend(byte_count) {
            let room = self.room.clone();
            let released = room.0.released.notified();
            if !self.give_up_other(byte_count) {
                return Err(NoRoom);
            }
            let waiting = tokio::time::timeout(RELEASE_TIMEOUT, released);
            waiting.await.map_err(|_| NoRoom)?;
        }
        Ok(())
    }

    fn try_extend(&mut self, byte_count: usize) -> bool {
        let mut state = self.room.locked();
        let total_bytes = state.held_bytes.saturating_add(byte_count);
        if total_bytes > self.limit_bytes {
            return false;
        }
        state.held_bytes = total_bytes;
        self.byte_count += byte_count;
        let key = self.arrival.as_ref().map(|(key, _)| *key);
        if let Some(arrival) = key.and_then(|key| state.arrivals.get_mut(key)) {
            arrival.byte_count = self.byte_count;
            arrival.progressed = Instant::now();
        }
        true
    }

    /// Gives up the incomplete body that began first among those that give way to this one; returns
    /// whether there is one.
    fn give_up_other(&self, byte_count: usize) -> bool {
        let mut state = self.room.locked();
        let own_key = self.arrival.as_ref().map(|(key, _)| *key);
        let now = Instant::now();
        let needed_bytes = self.expected_bytes.max(self.byte_count + byte_count);
        let candidates = state.arrivals.iter().filter(|(key, arrival)| {
            Some(*key) != own_key && arrival.gives_way_to(needed_bytes, now)
        });
        let first = candidates.min_by_key(|(_, arrival)| arrival.began);
        let Some(key) = first.map(|(key, _)| key) else {
            return false;
        };
        if let Some(arrival) = state.arrivals.remove(key) {
            arrival.given_up.cancel();
            let given_up_count = &self.room.0.given_up_count;
            given_up_count.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    /// Waits until the body has to give way.
    async fn given_up(&self) {
        match &self.arrival {
            Some((_, given_up)) => given_up.cancelled().await,
            None => std::future::pending().await,
        }
    }

    /// Records that the body is complete and no longer gives way.
    fn complete(&mut self) {
        if let Some((key, _)) = self.arrival.take() {
            self.room.locked().arrivals.remove(key);
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.complete();
        if self.byte_count > 0 {
            self.room.locked().held_bytes -= self.byte_count;
            self.room.0.released.notify_waiters();
        }
    }
}

/// A request body that was read.
#[derive(Debug)]
pub enum HeldCollected {
    /// The complete body; its room is taken while it is held.
    Complete(Segments, HeldBody),
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
    if body.is_end_stream() {
        return Ok(HeldCollected::Complete(Segments::new(), room.hold_empty()));
    }
    let exact_bytes = body.size_hint().exact();
    let mut held = room.hold(exact_bytes.map(|_| announced_bytes));
    let mut writer = SegmentWriter::new(announced_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = held.given_up() => return Ok(HeldCollected::NoRoom),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            held.complete();
            return Ok(HeldCollected::Complete(writer.finish(), held));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if writer.len() + data.len() > limit_bytes {
            return Ok(HeldCollected::TooLarge);
        }
        let mut rest: &[u8] = &data;
        while !rest.is_empty() {
            if held.extend(writer.missing_bytes()).await.is_err() {
                return Ok(HeldCollected::NoRoom);
            }
            rest = writer.write(rest);
        }
    }
}
