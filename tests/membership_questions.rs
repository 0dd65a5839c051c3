//! Questions to single members: whether they live, and how old their word is.

#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::membership::{
        CodecError, Datagram, LifeCheck, LifeChecks, Outgoing, OwnState, Packet, PacketCodec,
        PacketKind, Swim, SwimEvent,
    },
    membership_support::record,
    rand::{SeedableRng, rngs::StdRng},
};

const SECRET: &str = "a fleet secret for tests";
/// A question and its answer, several times a second for each member at which
/// requests wait, have to fit into two kilobytes a second.
const LIFE_CHECK_BYTES: usize = 32;

#[test]
fn life_checks_are_short_and_authentic() {
    let codec = PacketCodec::new(SECRET);
    for check in [
        LifeCheck::Question(0),
        LifeCheck::Question(u64::MAX),
        LifeCheck::Answer(7),
    ] {
        let datagram = codec.encode_life_check(check);
        assert!(datagram.len() <= LIFE_CHECK_BYTES, "{}", datagram.len());
        let decoded = codec.decode(&datagram).expect("own checks are valid");
        assert_eq!(decoded, Datagram::LifeCheck(check));
        let stranger = PacketCodec::new("some other secret");
        let rejected = stranger.decode(&datagram);
        assert!(matches!(rejected, Err(CodecError::NotAuthentic)));
    }
    let cut = codec.tagged(&[0xff]);
    assert!(matches!(
        codec.decode(&cut),
        Err(CodecError::BadLifeCheck(_))
    ));
}

/// An answer is repeated, late or made up. Counted again, it would make a node
/// that swallows requests look alive.
#[test]
fn an_answer_counts_once_and_in_time() {
    let mut checks = LifeChecks::new(u64::MAX);
    let LifeCheck::Question(first) = checks.ask("a".to_owned(), 0) else {
        panic!("a question is asked");
    };
    let LifeCheck::Question(second) = checks.ask("b".to_owned(), 10) else {
        panic!("a question is asked");
    };
    assert_eq!(checks.answered(second).as_deref(), Some("b"));
    assert_eq!(checks.answered(second), None);
    assert_eq!(checks.answered(1234), None);
    // Forgotten when another one is asked much later.
    checks.ask("a".to_owned(), 5000);
    assert_eq!(checks.answered(first), None);
}

struct Pair {
    asker: Swim,
    relay: Swim,
    rng: StdRng,
}

impl Pair {
    /// Two members that know each other.
    fn new() -> Self {
        let mut pair = Self {
            asker: Swim::new(record("n1", 1, 1), Vec::new()),
            relay: Swim::new(record("n2", 1, 2), Vec::new()),
            rng: StdRng::seed_from_u64(5),
        };
        let hello = Packet {
            sender: record("n2", 1, 2),
            sequence: 0,
            kind: PacketKind::SyncPart,
            versions: Default::default(),
            platform_age_ms: None,
            is_origin_failing: false,
            table_hash: 0,
            updates: Vec::new(),
            revocations: Vec::new(),
        };
        pair.deliver_to_asker(&hello, 0);
        pair
    }

    fn deliver_to_asker(&mut self, packet: &Packet, now_ms: u64) -> Vec<SwimEvent> {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        let from = packet.sender.gossip_address();
        self.asker
            .receive(packet, from, now_ms, &mut self.rng, &mut out, &mut events);
        events
    }

    /// What the relay replies at this time to a question asked at that one.
    fn reply(&mut self, asked_ms: u64, replied_ms: u64) -> Packet {
        let mut out = Vec::new();
        self.asker.ask_stamp("n2", asked_ms, &mut out);
        let Outgoing { packet, .. } = out.pop().expect("a question is sent");
        let (mut replies, mut events) = (Vec::new(), Vec::new());
        let from = packet.sender.gossip_address();
        self.relay.receive(
            &packet,
            from,
            replied_ms,
            &mut self.rng,
            &mut replies,
            &mut events,
        );
        replies.pop().expect("a reply is sent").packet
    }
}

/// A relay is paused between working out the age of its look and sending it.
/// An age counted from the arrival would make the look seconds younger, and a
/// key that was removed since would be honoured.
#[test]
fn a_relay_that_was_paused_tells_no_younger_look() {
    const SEEN_MS: u64 = 9_500;
    const ASKED_MS: u64 = 10_000;
    for pause_ms in [0, 200, 900, 5_000] {
        let mut pair = Pair::new();
        let state = OwnState {
            platform_seen_ms: Some(SEEN_MS),
            ..OwnState::default()
        };
        pair.relay
            .set_own_state(state, SEEN_MS, &mut pair.rng, &mut Vec::new());
        let reply = pair.reply(ASKED_MS, ASKED_MS + 20);
        let arrived_ms = ASKED_MS + 20 + pause_ms;
        let (mut out, mut events) = (Vec::new(), Vec::new());
        pair.asker
            .tick(arrived_ms, &mut pair.rng, &mut out, &mut events);
        let events = pair.deliver_to_asker(&reply, arrived_ms);
        for event in events {
            if let SwimEvent::Stamp(stamp) = event {
                let seen_ms = stamp.platform_seen_ms.expect("the relay has looked");
                assert!(seen_ms <= SEEN_MS, "{seen_ms} after {pause_ms} ms");
                assert!(pause_ms < 5_000, "a reply that late counts for nothing");
            }
        }
    }
}
