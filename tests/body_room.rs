//! Request bodies that share the memory of a node.

use {
    bytes::Bytes,
    dogwoodbridge::exchange::{BodyRoom, HeldCollected, Segments, collect_held},
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{sync::mpsc, task::JoinHandle},
};

const ROOM_BYTES: usize = 1 << 20;
const SMALL_ROOM_BYTES: usize = 128 << 10;
/// Largest body.
const LIMIT_BYTES: usize = 4 << 20;

/// A body whose pieces the test sends.
struct Arriving {
    pieces: mpsc::UnboundedReceiver<Bytes>,
    announced_bytes: Option<u64>,
}

impl Body for Arriving {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let piece = self.pieces.poll_recv(context);
        piece.map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        self.announced_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

type Collecting = JoinHandle<HeldCollected>;

/// Begins to collect a body of which `byte_count` bytes are there; it ends when the sender is
/// dropped.
fn begin(
    room: &BodyRoom,
    byte_count: usize,
    announced_bytes: Option<u64>,
) -> (mpsc::UnboundedSender<Bytes>, Collecting) {
    let (sender, pieces) = mpsc::unbounded_channel();
    sender.send(Bytes::from(vec![b'x'; byte_count])).unwrap();
    let mut body = Arriving {
        pieces,
        announced_bytes,
    };
    let room = room.clone();
    let collecting = tokio::spawn(async move {
        let collected = collect_held(&mut body, LIMIT_BYTES, &room).await;
        collected.expect("the body has no errors")
    });
    (sender, collecting)
}

struct Case {
    name: &'static str,
    /// Size of the body that is there first.
    first_bytes: usize,
    /// Whether it has arrived completely.
    is_first_complete: bool,
    pause: Duration,
    second_bytes: usize,
    /// Whether the length of the second is announced.
    is_announced: bool,
    is_second_held: bool,
    is_first_held: bool,
}

const FIRST: Case = Case {
    name: "both fit",
    first_bytes: 400 << 10,
    is_first_complete: false,
    pause: Duration::from_millis(50),
    second_bytes: 400 << 10,
    is_announced: true,
    is_second_held: true,
    is_first_held: true,
};

const CASES: [Case; 6] = [
    FIRST,
    Case {
        name: "a body that arrives is not given up for one of its size",
        first_bytes: 900 << 10,
        is_second_held: false,
        ..FIRST
    },
    Case {
        name: "a body that has stopped arriving gives way",
        first_bytes: 900 << 10,
        pause: Duration::from_millis(600),
        is_first_held: false,
        ..FIRST
    },
    Case {
        name: "a body that arrives gives way to a much smaller one",
        first_bytes: 1000 << 10,
        second_bytes: 200 << 10,
        is_first_held: false,
        ..FIRST
    },
    Case {
        name: "a complete body does not give way",
        first_bytes: 1000 << 10,
        is_first_complete: true,
        pause: Duration::from_secs(10),
        second_bytes: 200 << 10,
        is_second_held: false,
        ..FIRST
    },
    Case {
        name: "a small body has room beside complete ones",
        first_bytes: 1000 << 10,
        is_first_complete: true,
        second_bytes: 60 << 10,
        ..FIRST
    },
];

const fn is_held(collected: &HeldCollected) -> bool {
    matches!(collected, HeldCollected::Complete(..))
}

/// Guards against bodies that stop short of their end and keep all others out, and against bodies
/// that arrive and are given up for others like them.
#[tokio::test(start_paused = true)]
async fn unfinished_bodies_give_way() {
    for case in CASES {
        let name = case.name;
        let room = BodyRoom::with_small_bodies(ROOM_BYTES, SMALL_ROOM_BYTES);
        let (first_sender, first) = begin(&room, case.first_bytes, None);
        let mut first_sender = Some(first_sender).filter(|_| !case.is_first_complete);
        tokio::time::sleep(case.pause).await;
        let announced = case.is_announced.then_some(case.second_bytes as u64);
        let (second_sender, second) = begin(&room, case.second_bytes, announced);
        drop(second_sender);
        let second = second.await.unwrap();
        assert_eq!(is_held(&second), case.is_second_held, "{name}");
        drop(first_sender.take());
        let first = first.await.unwrap();
        assert_eq!(is_held(&first), case.is_first_held, "{name}");
        drop((first, second));
        assert_eq!(room.held_bytes(), 0, "{name}");
    }
}

/// Guards against pieces that hold more memory than is counted, and against bytes that are lost
/// between two segments.
#[tokio::test]
async fn pieces_of_any_size_are_counted_and_whole() {
    for piece_bytes in [1, 100, 5000, 16 << 10, 70_000] {
        let room = BodyRoom::new(ROOM_BYTES);
        let (sender, collecting) = begin(&room, 0, None);
        let text: Vec<u8> = (0..200_000_u32).map(|number| number as u8).collect();
        for piece in text.chunks(piece_bytes) {
            sender.send(Bytes::copy_from_slice(piece)).unwrap();
        }
        drop(sender);
        let HeldCollected::Complete(body, held) = collecting.await.unwrap() else {
            panic!("pieces of {piece_bytes} bytes have no room");
        };
        assert!(body.to_bytes() == text, "pieces of {piece_bytes} bytes");
        let held_bytes = room.held_bytes();
        assert!(
            (text.len()..text.len() * 9 / 8).contains(&held_bytes),
            "{held_bytes} bytes are held for pieces of {piece_bytes} bytes"
        );
        drop(held);
        assert_eq!(room.held_bytes(), 0);
    }
    assert!(Segments::from(Bytes::new()).is_empty());
}
