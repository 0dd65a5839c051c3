//! Exchange of crash reports: sizes, traffic, and their way through a mesh of nodes.

use dogwoodbridge::{
    membership::{Datagram, PacketCodec},
    quarantine::{
        Completion, CrashKey, CrashReport, MAX_LOST_COUNT, MAX_PACKET_BYTES, ReportPacket,
        ReportQueue, RequestDigest, TRAFFIC_BYTES_PER_S,
    },
};

const SECRET: &str = "fleet-secret-of-the-tests";

fn large_report(crash: u64) -> CrashReport {
    let digests = (0..MAX_LOST_COUNT as u64).map(|index| RequestDigest(u64::MAX - index));
    CrashReport {
        crash: CrashKey(u64::MAX - crash),
        age_ms: 10_000_000,
        digests: digests.collect(),
    }
}

/// Guards against reports that exceed a datagram and are lost as a whole.
#[test]
fn the_largest_crash_fits_in_small_packets() {
    let completions = vec![
        Completion {
            digest: RequestDigest(u64::MAX),
            age_ms: 10_000_000,
        };
        300
    ];
    let packets = ReportPacket::split(vec![large_report(0), large_report(1)], completions);
    let codec = PacketCodec::new(SECRET);
    let mut digest_count = 0;
    let mut completion_count = 0;
    for packet in packets {
        let datagram = codec.encode_reports(&packet);
        assert!(
            datagram.len() <= MAX_PACKET_BYTES + 64,
            "{}",
            datagram.len()
        );
        let Datagram::Reports(decoded) = codec.decode(&datagram).unwrap() else {
            panic!("decoded as another kind of datagram");
        };
        assert_eq!(decoded, packet);
        digest_count += packet
            .crashes
            .iter()
            .map(|crash| crash.digests.len())
            .sum::<usize>();
        completion_count += packet.completions.len();
    }
    assert_eq!((digest_count, completion_count), (2 * MAX_LOST_COUNT, 300));
}

/// Guards against reports that anyone but a node of the fleet can send or change.
#[test]
fn reports_without_the_fleet_secret_are_rejected() {
    let codec = PacketCodec::new(SECRET);
    let packet = ReportPacket::request("node-1");
    let mut datagram = codec.encode_reports(&packet);
    assert!(codec.decode(&datagram).is_ok());
    assert!(
        PacketCodec::new("another-secret-entirely")
            .decode(&datagram)
            .is_err()
    );
    let last = datagram.len() - 1;
    datagram[last] ^= 1;
    assert!(codec.decode(&datagram).is_err());
}

/// Guards against control traffic that grows with the crashes of a bad hour.
#[test]
fn many_crashes_do_not_exceed_the_traffic_limit() {
    const SECONDS: u64 = 600;
    const RECEIVER_COUNT: usize = 16;
    let mut queue = ReportQueue::new();
    let mut sent_bytes = 0;
    let mut last_crash_is_sent = false;
    for now_ms in (0..SECONDS * 1000).step_by(100) {
        if now_ms % 1000 == 0 {
            queue.push_crash(large_report(now_ms), now_ms);
        }
        for packet in queue.next_round(RECEIVER_COUNT, now_ms) {
            sent_bytes += (packet.size_bytes() * RECEIVER_COUNT) as u64;
        }
    }
    // The report that completes a verdict names one request, and goes before larger ones.
    let now_ms = SECONDS * 1000;
    let verdict = CrashReport {
        crash: CrashKey(1),
        age_ms: 0,
        digests: vec![RequestDigest(1)],
    };
    queue.push_crash(verdict, now_ms);
    for packet in queue.next_round(RECEIVER_COUNT, now_ms + 1000) {
        last_crash_is_sent |= packet
            .crashes
            .iter()
            .any(|crash| crash.crash == CrashKey(1));
    }
    assert!(last_crash_is_sent);
    assert!(
        sent_bytes <= SECONDS * TRAFFIC_BYTES_PER_S + 64_000,
        "{sent_bytes}"
    );
}
