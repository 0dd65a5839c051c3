//! Single hard cases of leases and loans.

use dogwoodbridge::{
    model::WorkspaceKey,
    quota::{
        BorrowRequest, BorrowResponse, BorrowedTokens, LeaseRequest, LeaseResponse, PoolRef,
        Process, QuotaOwner, Rate, TokenPool, UNITS_PER_TOKEN,
        limits::{LEASE_TTL_MS, LOAN_TTL_MS, QUOTA_MARGIN_MS, us},
    },
    slices::SliceIndex,
};

const WORKSPACE: WorkspaceKey = WorkspaceKey::new(0);
const BANK_ID: u64 = 77;
/// A rate of nothing shows the burst alone.
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

fn whole_lease() -> LeaseResponse {
    LeaseResponse {
        slice_count: 4096,
        level: 40 * UNITS_PER_TOKEN,
        ttl_ms: LEASE_TTL_MS,
        ..LeaseResponse::default()
    }
}

fn ask(need_count: u32) -> BorrowRequest {
    BorrowRequest {
        workspace: WORKSPACE,
        borrower: process("b"),
        bank_id: BANK_ID,
        last_loan: 0,
        held_count: 0,
        returned_count: 0,
        need_count,
        extra_count: 0,
    }
}

/// An answer of an owner lay in a stopped process for longer than the lease.
/// The owner uses the share again by now; both would admit on it.
#[test]
fn a_lease_that_arrives_late_counts_from_the_ask() {
    let mut bank = TokenPool::new(BANK_ID, 0);
    bank.leased("o", 0, whole_lease(), RATE, us(LEASE_TTL_MS));
    assert_eq!(
        bank.borrow(&ask(1), RATE, us(LEASE_TTL_MS)).granted_count,
        0
    );
    bank.leased("o", 0, whole_lease(), RATE, us(LEASE_TTL_MS) - 1);
    // No loan would end before the lease does.
    assert_eq!(
        bank.borrow(&ask(1), RATE, us(LEASE_TTL_MS) - 1)
            .granted_count,
        0
    );
}

/// Lent tokens that are not spent yet must not be lent again, or a burst
/// would count twice.
#[test]
fn what_is_lent_lowers_the_capacity_until_it_is_spent_or_over() {
    let refill = Rate {
        rate_per_s: 1_000_000,
        ..RATE
    };
    let mut bank = TokenPool::new(BANK_ID, 0);
    bank.leased("o", 0, whole_lease(), refill, 0);
    let first = bank.borrow(&ask(40), refill, 0);
    assert_eq!((first.granted_count, first.loan), (40, 1));
    assert_eq!(bank.borrow(&ask(1), refill, 1000).granted_count, 0);
    let states = |last_loan, held_count| BorrowRequest {
        last_loan,
        held_count,
        ..ask(40)
    };
    let second = bank.borrow(&states(1, 25), refill, 2000);
    assert_eq!(second.granted_count, 0, "15 spent, room accrues from here");
    let second = bank.borrow(&states(1, 25), refill, 3000);
    assert_eq!((second.granted_count, second.loan), (15, 2));
    bank.borrow(&states(2, 40), refill, 4000);
    // The first statement again, late: it must not free what is held by now.
    bank.borrow(&states(1, 25), refill, 5000);
    assert_eq!(bank.borrow(&states(1, 0), refill, 6000).granted_count, 0);
}

#[test]
fn returned_tokens_are_lent_again_once() {
    let mut bank = TokenPool::new(BANK_ID, 0);
    bank.leased("o", 0, whole_lease(), RATE, 0);
    bank.borrow(&ask(10), RATE, 0);
    let back = BorrowRequest {
        last_loan: 1,
        returned_count: 6,
        ..ask(0)
    };
    bank.borrow(&back, RATE, 1000);
    bank.borrow(&back, RATE, 2000);
    assert_eq!(bank.borrow(&ask(99), RATE, 3000).granted_count, 36);
}

/// A bank hands over while an owner's answer to it is under way. Taken in, the
/// share would be used by both.
#[test]
fn a_bank_that_handed_over_takes_in_no_earlier_lease() {
    let mut bank = TokenPool::new(BANK_ID, 0);
    bank.leased("o", 0, whole_lease(), RATE, 0);
    bank.borrow(&ask(15), RATE, 0);
    let estate = bank.retire(78, RATE, 1000);
    assert_eq!(
        (estate.level, estate.lent_count),
        (25 * UNITS_PER_TOKEN, 15)
    );
    assert_eq!(
        bank.bank_id(),
        78,
        "owners must not take it for the old one"
    );
    let mut late = TokenPool::new(98, 0);
    let late_us = us(LEASE_TTL_MS) - us(LOAN_TTL_MS);
    late.inherit(0, estate.clone(), RATE, late_us);
    let answer = late.borrow(&ask(1), RATE, late_us);
    assert_eq!(answer.granted_count, 0, "counted from the ask");
    bank.leased("o", 1000, whole_lease(), RATE, 2000);
    assert_eq!(bank.borrow(&ask(1), RATE, 2000).granted_count, 0);

    let mut successor = TokenPool::new(99, 0);
    successor.inherit(500, estate, RATE, 2000);
    assert_eq!(successor.borrow(&ask(99), RATE, 2000).granted_count, 25);
    let owners = successor.owners_to_ask(["o"], 2000);
    assert_eq!(owners, [], "nobody woke it");
    successor.wake(2000);
    let owners = successor.owners_to_ask(["o"], us(LEASE_TTL_MS) - 1000);
    assert_eq!(owners[0].predecessor_id, BANK_ID);
}

struct Lent {
    name: &'static str,
    /// Bank, loan and when its answer arrives.
    answers: Vec<(u64, u64, u64)>,
    expected_count: u32,
}

#[test]
fn a_purse_counts_each_loan_once_and_from_its_ask() {
    let end_us = us(LOAN_TTL_MS);
    let cases = [
        Lent {
            name: "in time",
            answers: vec![(1, 1, 1000)],
            expected_count: 5,
        },
        Lent {
            name: "after its end",
            answers: vec![(1, 1, end_us)],
            expected_count: 0,
        },
        Lent {
            name: "twice",
            answers: vec![(1, 1, 1000), (1, 1, 2000)],
            expected_count: 5,
        },
        Lent {
            name: "overtaken by a later one",
            answers: vec![(1, 2, 1000), (1, 1, 2000)],
            expected_count: 5,
        },
        Lent {
            name: "twice with another bank in between",
            answers: vec![(1, 1, 1000), (2, 1, 2000), (1, 1, 3000)],
            expected_count: 10,
        },
    ];
    for case in cases {
        let mut purse = BorrowedTokens::new(WORKSPACE, process("b"));
        let mut now_us = 0;
        for (bank_id, loan, arrives_us) in case.answers {
            now_us = arrives_us;
            let answer = BorrowResponse {
                bank_id,
                loan,
                granted_count: 5,
                ttl_ms: LOAN_TTL_MS,
                empty_for_ms: 0,
            };
            purse.lent(0, answer, now_us);
        }
        assert_eq!(purse.token_count(), case.expected_count, "{}", case.name);
        assert!(
            !purse.take(now_us.max(end_us)),
            "{}: used after its end",
            case.name
        );
    }
}

#[test]
fn a_share_serves_one_bank_at_a_time_and_only_after_the_quarantine() {
    let rate = Rate {
        rate_per_s: 4096,
        burst_count: 4096,
    };
    let quarantine_us = us(LEASE_TTL_MS + QUOTA_MARGIN_MS);
    let mut owner = QuotaOwner::new();
    owner.set_slices([(SliceIndex::new(3), 1)], |_| rate, 0);
    let lease = |bank_id| LeaseRequest {
        workspace: WORKSPACE,
        bank: PoolRef {
            node_id: "bank".to_owned(),
            bank_id,
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
        (0, LEASE_TTL_MS + QUOTA_MARGIN_MS - 1)
    );
    let renewed = owner.lease(&lease(1), rate, now_us + 1000);
    assert_eq!(
        (renewed.slice_count, renewed.level),
        (1, 0),
        "its level went along before"
    );
    let successor = LeaseRequest {
        predecessor_id: 1,
        ..lease(3)
    };
    let taken_over = owner.lease(&successor, rate, now_us + 1000);
    assert_eq!((taken_over.slice_count, taken_over.level), (1, 0));
    let late = owner.lease(&lease(1), rate, now_us + 1000);
    assert_eq!((late.slice_count, late.holder.bank_id), (0, 3));
    let over_us = now_us + 1000 + quarantine_us;
    let granted = owner.lease(&lease(2), rate, over_us + 250_000);
    assert_eq!(
        (granted.slice_count, granted.level),
        (1, UNITS_PER_TOKEN / 4)
    );
}
