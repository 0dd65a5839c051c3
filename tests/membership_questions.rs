//! Requests to single members: liveness probes and stamps.

#[path = "membership_support/mod.rs"]
mod membership_support;

use {
    dogwoodbridge::membership::{
        CodecError, Datagram, LivenessProbe, LivenessProbes, Outgoing, OwnState, Packet,
        PacketCodec, PacketKind, Swim, SwimEvent,
    },
    membership_support::record,
    rand::{SeedableRng, rngs::StdRng},
};

const SECRET: &str = "a fleet secret for tests";
/// Limit so that a probe and its response, sent several times per second for
/// each member at which requests wait, fit into two kilobytes per second.
const MAX_PROBE_BYTES: usize = 32;

#[test]
fn liveness_probes_are_short_and_authenticated() {
    let codec = PacketCodec::new(SECRET);
    for probe in [
        LivenessProbe::Question(0),
        LivenessProbe::Question(u64::MAX),
        LivenessProbe::Answer(7),
    ] {
        let datagram = codec.encode_liveness_probe(probe);
        assert!(datagram.len() <= MAX_PROBE_BYTES, "{}", datagram.len());
        let decoded = codec.decode(&datagram).expect("own probes are valid");
        assert_eq!(decoded, Datagram::LivenessProbe(probe));
        let other_fleet = PacketCodec::new("some other secret");
        let rejected = other_fleet.decode(&datagram);
        assert!(matches!(rejected, Err(CodecError::NotAuthentic)));
    }
    let malformed = codec.tagged(&[0xff]);
    assert!(matches!(
        codec.decode(&malformed),
        Err(CodecError::MalformedLivenessProbe(_))
    ));
}

/// A response is repeated, late or forged. If it were counted, a node that
/// accepts requests and never responds would look alive.
#[test]
fn a_response_counts_once_and_only_in_time() {
    let mut probes = LivenessProbes::new(u64::MAX);
    let LivenessProbe::Question(first) = probes.request("a".to_owned(), 0) else {
        panic!("a request is sent");
    };
    let LivenessProbe::Question(second) = probes.request("b".to_owned(), 10) else {
        panic!("a request is sent");
    };
    assert_eq!(probes.record_response(second).as_deref(), Some("b"));
    assert_eq!(probes.record_response(second), None);
    assert_eq!(probes.record_response(1234), None);
    // Forgotten when another probe is sent much later.
    probes.request("a".to_owned(), 5000);
    assert_eq!(probes.record_response(first), None);
}

struct Pair {
    requester: Swim,
    relay: Swim,
    rng: StdRng,
}

impl Pair {
    /// Creates two members that know each other.
    fn new() -> Self {
        let mut pair = Self {
            requester: Swim::new(record("n1", 1, 1), Vec::new()),
            relay: Swim::new(record("n2", 1, 2), Vec::new()),
            rng: StdRng::seed_from_u64(5),
        };
        let introduction = Packet {
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
        pair.deliver_to_requester(&introduction, 0);
        pair
    }

    fn deliver_to_requester(&mut self, packet: &Packet, now_ms: u64) -> Vec<SwimEvent> {
        let (mut out, mut events) = (Vec::new(), Vec::new());
        let from = packet.sender.gossip_address();
        self.requester
            .receive(packet, from, now_ms, &mut self.rng, &mut out, &mut events);
        events
    }

    /// The relay's reply at `replied_ms` to a probe sent at `sent_ms`.
    fn reply(&mut self, sent_ms: u64, replied_ms: u64) -> Packet {
        let mut out = Vec::new();
        self.requester.request_stamp("n2", sent_ms, &mut out);
        let Outgoing { packet, .. } = out.pop().expect("a probe is sent");
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

/// A relay is paused between computing the age of its last poll and sending it.
/// If the age were counted from the arrival, the poll would look seconds
/// younger, and a key that has been removed since would be accepted.
#[test]
fn a_paused_relay_reports_no_younger_platform_poll() {
    const POLLED_MS: u64 = 9_500;
    const SENT_MS: u64 = 10_000;
    for pause_ms in [0, 200, 900, 5_000] {
        let mut pair = Pair::new();
        let state = OwnState {
            platform_seen_ms: Some(POLLED_MS),
            ..OwnState::default()
        };
        pair.relay
            .set_own_state(state, POLLED_MS, &mut pair.rng, &mut Vec::new());
        let reply = pair.reply(SENT_MS, SENT_MS + 20);
        let arrived_ms = SENT_MS + 20 + pause_ms;
        let (mut out, mut events) = (Vec::new(), Vec::new());
        pair.requester
            .tick(arrived_ms, &mut pair.rng, &mut out, &mut events);
        let events = pair.deliver_to_requester(&reply, arrived_ms);
        for event in events {
            if let SwimEvent::Stamp(stamp) = event {
                let polled_ms = stamp.platform_seen_ms.expect("the relay has polled");
                assert!(polled_ms <= POLLED_MS, "{polled_ms} after {pause_ms} ms");
                assert!(pause_ms < 5_000, "a reply that late must be ignored");
            }
        }
    }
}
