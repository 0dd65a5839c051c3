//! What nodes leave for those that start after them.

use {
    dogwoodbridge::membership::SeedsRecord,
    std::{collections::BTreeSet, net::SocketAddr},
};

fn addresses(count: u8) -> BTreeSet<SocketAddr> {
    (0..count)
        .map(|index| SocketAddr::from(([10, 0, 0, index], 7001)))
        .collect()
}

/// All processes of a fleet are killed at once. Each that starts knows only
/// itself; had it written that, a workspace would be admitted its whole rate by
/// every node, and nodes would not find each other.
#[test]
fn a_node_that_has_just_started_changes_nothing() {
    struct Case {
        name: &'static str,
        held: Option<u8>,
        present: u8,
        uptime_ms: u64,
        written: Option<usize>,
    }
    let cases = [
        Case {
            name: "nothing there yet",
            held: None,
            present: 1,
            uptime_ms: 100,
            written: Some(1),
        },
        Case {
            name: "just started and alone",
            held: Some(4),
            present: 1,
            uptime_ms: 100,
            written: None,
        },
        Case {
            name: "settled, others are gone",
            held: Some(4),
            present: 3,
            uptime_ms: 60_000,
            written: Some(3),
        },
        Case {
            name: "settled and right",
            held: Some(4),
            present: 4,
            uptime_ms: 60_000,
            written: None,
        },
        Case {
            name: "settled, one more",
            held: Some(4),
            present: 5,
            uptime_ms: 60_000,
            written: Some(5),
        },
    ];
    for case in cases {
        let held = case.held.map(|count| SeedsRecord {
            member_count: usize::from(count),
            addresses: addresses(count),
        });
        let present = addresses(case.present);
        let revised = SeedsRecord::revised(held.as_ref(), &present, case.uptime_ms);
        let written = revised.as_ref().map(|record| record.member_count);
        assert_eq!(written, case.written, "{}", case.name);
        if let Some(record) = revised {
            assert!(record.addresses.len() <= 4, "{}", case.name);
            assert!(record.addresses.is_subset(&present), "{}", case.name);
        }
    }
}
