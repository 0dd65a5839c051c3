//! Edge cases of leases and token batches.

use dogwoodbridge::{
    model::WorkspaceKey,
    quota::{
        BorrowRequest, BorrowResponse, BorrowedTokens, LeaseRequest, LeaseResponse, PoolRef,
        Process, QuotaOwner, Rate, TokenPool, UNITS_PER_TOKEN,
        limits::{BATCH_TTL_MS, CLOCK_MARGIN_MS, LEASE_TTL_MS, ms_to_us},
    },
    slices::SliceIndex,
};

const WORKSPACE: WorkspaceKey = WorkspaceKey::new(0);
const POOL_ID: u64 = 77;
/// A zero rate isolates the burst.
const RATE: Rate = Rate {
    rate_per_s: 0,
    burst_count: 40,
};

fn process(node_id: &str) -> Process {
    Process {
        node_id: node_id.to_owned(),
        started_unix_ms: 1,
    }
}

fn full_lease() -> LeaseResponse {
    LeaseResponse {
        slice_count: 4096,
        level: 40 * UNITS_PER_TOKEN,
        ttl_ms: LEASE_TTL_MS,
        ..LeaseResponse::default()
    }
}

fn borrow_request(need_count: u32) -> BorrowRequest {
    BorrowRequest {
        workspace: WORKSPACE,
        borrower: process("b"),
        pool_id: POOL_ID,
        last_batch_number: 0,
        held_count: 0,
        returned_count: 0,
        need_count,
        extra_count: 0,
    }
}

/// An owner's response is delayed beyond the lease in a paused process. The
/// owner already uses the share again, so both would admit on it.
#[test]
fn a_late_lease_counts_from_its_request() {
    let mut pool = TokenPool::new(POOL_ID, 0);
    pool.apply_lease("o", 0, full_lease(), RATE, ms_to_us(LEASE_TTL_MS));
    assert_eq!(
        pool.borrow(&borrow_request(1), RATE, ms_to_us(LEASE_TTL_MS))
            .granted_count,
        0
    );
    pool.apply_lease("o", 0, full_lease(), RATE, ms_to_us(LEASE_TTL_MS) - 1);
    // No batch would expire before the lease does.
    assert_eq!(
        pool.borrow(&borrow_request(1), RATE, ms_to_us(LEASE_TTL_MS) - 1)
            .granted_count,
        0
    );
}

/// If unspent lent tokens were lent again, a burst would be admitted twice.
#[test]
fn lent_tokens_reduce_capacity_until_spent_or_expired() {
    let refill = Rate {
        rate_per_s: 1_000_000,
        ..RATE
    };
    let mut pool = TokenPool::new(POOL_ID, 0);
    pool.apply_lease("o", 0, full_lease(), refill, 0);
    let first = pool.borrow(&borrow_request(40), refill, 0);
    assert_eq!((first.granted_count, first.batch_number), (40, 1));
    assert_eq!(
        pool.borrow(&borrow_request(1), refill, 1000).granted_count,
        0
    );
    let report = |last_loan, held_count| BorrowRequest {
        last_batch_number: last_loan,
        held_count,
        ..borrow_request(40)
    };
    let second = pool.borrow(&report(1, 25), refill, 2000);
    assert_eq!(
        second.granted_count, 0,
        "15 are spent; capacity accrues from here"
    );
    let second = pool.borrow(&report(1, 25), refill, 3000);
    assert_eq!((second.granted_count, second.batch_number), (15, 2));
    pool.borrow(&report(2, 40), refill, 4000);
    // The first report again, late: it must not free tokens that are held now.
    pool.borrow(&report(1, 25), refill, 5000);
    assert_eq!(pool.borrow(&report(1, 0), refill, 6000).granted_count, 0);
}

/// A return message is duplicated. Counted twice, its tokens would be lent twice.
#[test]
fn returned_tokens_are_lent_again_once() {
    let mut pool = TokenPool::new(POOL_ID, 0);
    pool.apply_lease("o", 0, full_lease(), RATE, 0);
    pool.borrow(&borrow_request(10), RATE, 0);
    let returning_request = BorrowRequest {
        last_batch_number: 1,
        returned_count: 6,
        ..borrow_request(0)
    };
    pool.borrow(&returning_request, RATE, 1000);
    pool.borrow(&returning_request, RATE, 2000);
    assert_eq!(
        pool.borrow(&borrow_request(99), RATE, 3000).granted_count,
        36
    );
}

/// A pool hands over while an owner's response to it is under way. If it
/// accepted the response, both pools would use the share.
#[test]
fn a_pool_that_handed_over_rejects_earlier_leases() {
    let mut pool = TokenPool::new(POOL_ID, 0);
    pool.apply_lease("o", 0, full_lease(), RATE, 0);
    pool.borrow(&borrow_request(15), RATE, 0);
    let handover = pool.hand_over(78, RATE, 1000);
    assert_eq!(
        (handover.level, handover.lent_count),
        (25 * UNITS_PER_TOKEN, 15)
    );
    assert_eq!(
        pool.pool_id(),
        78,
        "the old id would let owners lease to both pools"
    );
    let mut late_pool = TokenPool::new(98, 0);
    let late_us = ms_to_us(LEASE_TTL_MS) - ms_to_us(BATCH_TTL_MS);
    late_pool.accept_handover(0, handover.clone(), RATE, late_us);
    let response = late_pool.borrow(&borrow_request(1), RATE, late_us);
    assert_eq!(
        response.granted_count, 0,
        "the lease counts from its request"
    );
    pool.apply_lease("o", 1000, full_lease(), RATE, 2000);
    assert_eq!(pool.borrow(&borrow_request(1), RATE, 2000).granted_count, 0);

    let mut successor = TokenPool::new(99, 0);
    successor.accept_handover(500, handover, RATE, 2000);
    assert_eq!(
        successor
            .borrow(&borrow_request(99), RATE, 2000)
            .granted_count,
        25
    );
    let owners = successor.owners_to_query(["o"], 2000);
    assert_eq!(owners, [], "the pool is not active");
    successor.mark_active(2000);
    let owners = successor.owners_to_query(["o"], ms_to_us(LEASE_TTL_MS) - 1000);
    assert_eq!(owners[0].predecessor_id, POOL_ID);
}

struct Case {
    name: &'static str,
    /// Pool id, batch number and arrival time of the response.
    responses: Vec<(u64, u64, u64)>,
    expected_count: u32,
}

/// A borrow response arrives late, twice or out of order. Tokens that the pool
/// already counts as spent would be spent again.
#[test]
fn borrowed_tokens_count_each_batch_once_from_its_request() {
    let end_us = ms_to_us(BATCH_TTL_MS);
    let cases = [
        Case {
            name: "in time",
            responses: vec![(1, 1, 1000)],
            expected_count: 5,
        },
        Case {
            name: "after its expiry",
            responses: vec![(1, 1, end_us)],
            expected_count: 0,
        },
        Case {
            name: "twice",
            responses: vec![(1, 1, 1000), (1, 1, 2000)],
            expected_count: 5,
        },
        Case {
            name: "after a later batch",
            responses: vec![(1, 2, 1000), (1, 1, 2000)],
            expected_count: 5,
        },
        Case {
            name: "twice with another pool in between",
            responses: vec![(1, 1, 1000), (2, 1, 2000), (1, 1, 3000)],
            expected_count: 10,
        },
    ];
    for case in cases {
        let mut tokens = BorrowedTokens::new(WORKSPACE, process("b"));
        let mut now_us = 0;
        for (pool_id, batch_number, arrives_us) in case.responses {
            now_us = arrives_us;
            let response = BorrowResponse {
                pool_id,
                batch_number,
                granted_count: 5,
                ttl_ms: BATCH_TTL_MS,
                empty_for_ms: 0,
            };
            tokens.apply_response(0, response, now_us);
        }
        assert_eq!(tokens.token_count(), case.expected_count, "{}", case.name);
        assert!(
            !tokens.take(now_us.max(end_us)),
            "{}: spent after expiry",
            case.name
        );
    }
}

/// Two pools request the same share, or a request comes before the quarantine
/// ends. Leased to both, the share would be admitted twice.
#[test]
fn a_share_is_leased_to_one_pool_at_a_time_after_the_quarantine() {
    let rate = Rate {
        rate_per_s: 4096,
        burst_count: 4096,
    };
    let quarantine_us = ms_to_us(LEASE_TTL_MS + CLOCK_MARGIN_MS);
    let mut owner = QuotaOwner::new();
    owner.set_slices([(SliceIndex::new(3), 1)], |_| rate, 0);
    let lease = |pool_id| LeaseRequest {
        workspace: WORKSPACE,
        pool: PoolRef {
            node_id: "bank".to_owned(),
            pool_id,
        },
        predecessor_id: 0,
    };
    let early = owner.lease(&lease(1), rate, quarantine_us - 1);
    assert_eq!(early, LeaseResponse::default());
    owner.track([(WORKSPACE, rate)], quarantine_us);
    let now_us = quarantine_us + 500_000;
    let granted = owner.lease(&lease(1), rate, now_us);
    assert_eq!(
        (granted.slice_count, granted.level),
        (1, UNITS_PER_TOKEN / 2)
    );
    let busy = owner.lease(&lease(2), rate, now_us + 1000);
    assert_eq!(
        (busy.slice_count, busy.busy_ms),
        (0, LEASE_TTL_MS + CLOCK_MARGIN_MS - 1)
    );
    let renewed = owner.lease(&lease(1), rate, now_us + 1000);
    assert_eq!(
        (renewed.slice_count, renewed.level),
        (1, 0),
        "the level moved with the first lease"
    );
    let successor = LeaseRequest {
        predecessor_id: 1,
        ..lease(3)
    };
    let taken_over = owner.lease(&successor, rate, now_us + 1000);
    assert_eq!((taken_over.slice_count, taken_over.level), (1, 0));
    let late_response = owner.lease(&lease(1), rate, now_us + 1000);
    assert_eq!(
        (late_response.slice_count, late_response.holder.pool_id),
        (0, 3)
    );
    let over_us = now_us + 1000 + quarantine_us;
    let granted = owner.lease(&lease(2), rate, over_us + 250_000);
    assert_eq!(
        (granted.slice_count, granted.level),
        (1, UNITS_PER_TOKEN / 4)
    );
}
