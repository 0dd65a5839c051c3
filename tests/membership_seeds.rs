//! Seeds that nodes publish for those that start later.

use {
    dogwoodbridge::membership::SeedsRecord,
    std::{collections::BTreeSet, net::SocketAddr},
};

fn addresses(count: u8) -> BTreeSet<SocketAddr> {
    (0..count)
        .map(|index| SocketAddr::from(([10, 0, 0, index], 7001)))
        .collect()
}

/// All processes of a fleet are killed at once. Each one that starts knows only
/// itself. If it published that, nodes would not find each other, and every
/// node would admit a workspace's whole rate.
#[test]
fn a_node_that_has_just_started_replaces_no_seeds() {
    struct Case {
        name: &'static str,
        stored: Option<u8>,
        present: u8,
        uptime_ms: u64,
        written: Option<usize>,
    }
    let cases = [
        Case {
            name: "no record stored yet",
            stored: None,
            present: 1,
            uptime_ms: 100,
            written: Some(1),
        },
        Case {
            name: "just started and alone",
            stored: Some(4),
            present: 1,
            uptime_ms: 100,
            written: None,
        },
        Case {
            name: "settled, one node is gone",
            stored: Some(4),
            present: 3,
            uptime_ms: 60_000,
            written: Some(3),
        },
        Case {
            name: "settled, record is current",
            stored: Some(4),
            present: 4,
            uptime_ms: 60_000,
            written: None,
        },
        Case {
            name: "settled, one node joined",
            stored: Some(4),
            present: 5,
            uptime_ms: 60_000,
            written: Some(5),
        },
    ];
    for case in cases {
        let stored = case.stored.map(|count| SeedsRecord {
            member_count: usize::from(count),
            addresses: addresses(count),
        });
        let present = addresses(case.present);
        let revised = SeedsRecord::revised(stored.as_ref(), &present, case.uptime_ms);
        let written = revised.as_ref().map(|record| record.member_count);
        assert_eq!(written, case.written, "{}", case.name);
        if let Some(record) = revised {
            assert!(record.addresses.len() <= 4, "{}", case.name);
            assert!(record.addresses.is_subset(&present), "{}", case.name);
        }
    }
}
