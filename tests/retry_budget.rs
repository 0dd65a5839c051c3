//! Retries of one original request stay bounded across the whole chain.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::{
        model::ServiceKey,
        retry::{
            CallKey, ChainBudget, NaiveRetry, RETRY_FLOOR_COUNT, RetryPolicy, SHARE_WINDOW_US,
        },
    },
    generated::for_each_case,
};

const SERVICE: ServiceKey = ServiceKey::new(0);

#[test]
fn a_child_gives_back_what_it_did_not_spend_and_no_more() {
    struct Case {
        name: &'static str,
        allotment: u8,
        lent: u8,
        given_back: &'static [u8],
        held: u8,
    }
    let cases = [
        Case {
            name: "nothing spent",
            allotment: 3,
            lent: 2,
            given_back: &[2],
            held: 3,
        },
        Case {
            name: "one spent",
            allotment: 3,
            lent: 2,
            given_back: &[1],
            held: 2,
        },
        Case {
            name: "answer lost",
            allotment: 3,
            lent: 2,
            given_back: &[0],
            held: 1,
        },
        Case {
            name: "claims more than it was lent",
            allotment: 3,
            lent: 2,
            given_back: &[200],
            held: 3,
        },
        Case {
            name: "answer comes twice",
            allotment: 3,
            lent: 2,
            given_back: &[1, 2],
            held: 2,
        },
        Case {
            name: "late answer after the loss was noted",
            allotment: 3,
            lent: 2,
            given_back: &[0, 2],
            held: 1,
        },
        Case {
            name: "the last retry goes along",
            allotment: 1,
            lent: 1,
            given_back: &[1],
            held: 1,
        },
        Case {
            name: "nothing to lend",
            allotment: 0,
            lent: 0,
            given_back: &[1],
            held: 0,
        },
    ];
    for case in cases {
        let mut budget = ChainBudget::new();
        let call = budget.open(case.allotment);
        let loan = budget.allot_to_child(call);
        assert_eq!(loan.allotment, case.lent, "{}", case.name);
        for unspent in case.given_back {
            budget.return_unspent(loan.key, *unspent);
        }
        assert_eq!(budget.close(call), case.held, "{}", case.name);
        assert_eq!(budget.loan_count(), 0, "{}", case.name);
    }
}

/// A parent ends while its child still runs. Were the loan kept, the key of
/// another call could get the allotment when the place is used again.
#[test]
fn an_answer_after_the_parents_end_goes_to_nobody() {
    let mut budget = ChainBudget::new();
    let parent = budget.open(2);
    let loan = budget.allot_to_child(parent);
    assert_eq!(budget.close(parent), 1);
    let stranger = budget.open(0);
    budget.return_unspent(loan.key, 1);
    assert_eq!(budget.close(stranger), 0);
    assert_eq!(budget.allot_to_child(parent).allotment, 0);
    assert_eq!(budget.close(parent), 0);
}

/// A service fails every call. Without a share per destination, callers that
/// all have budget left add their retries to its load while it is down.
#[test]
fn retries_at_a_destination_stay_within_their_share() {
    struct Case {
        first_count: u32,
        retry_count: u32,
    }
    let cases = [
        Case {
            first_count: 0,
            retry_count: RETRY_FLOOR_COUNT,
        },
        Case {
            first_count: 100,
            retry_count: RETRY_FLOOR_COUNT + 10,
        },
        Case {
            first_count: 1000,
            retry_count: RETRY_FLOOR_COUNT + 100,
        },
    ];
    for case in cases {
        let mut budget = ChainBudget::new();
        for index in 0..case.first_count {
            budget.first_attempt(SERVICE, u64::from(index) * 1000);
        }
        let count_granted = |budget: &mut ChainBudget, now_us| {
            (0..2000)
                .filter(|_| {
                    let call = budget.open(1);
                    budget.try_retry(call, SERVICE, now_us)
                })
                .count()
        };
        let now_us = u64::from(case.first_count) * 1000;
        let granted = count_granted(&mut budget, now_us);
        assert_eq!(granted, case.retry_count as usize);
        let other = budget.open(1);
        assert!(
            budget.try_retry(other, ServiceKey::new(1), now_us),
            "another destination is not concerned"
        );
        let later_us = now_us + 2 * SHARE_WINDOW_US;
        let granted = count_granted(&mut budget, later_us);
        assert_eq!(granted, RETRY_FLOOR_COUNT as usize, "the window slides");
    }
}

#[test]
fn a_refused_retry_spends_nothing() {
    let mut budget = ChainBudget::new();
    for _ in 0..RETRY_FLOOR_COUNT {
        let call = budget.open(1);
        assert!(budget.try_retry(call, SERVICE, 0));
    }
    let call = budget.open(1);
    assert!(!budget.try_retry(call, SERVICE, 0));
    assert_eq!(budget.close(call), 1);
}

/// Drives one original request through a chain of hops, each on a node of its
/// own, and decides failures and losses by the case's bytes.
struct Chain<P> {
    nodes: Vec<P>,
    bytes: Vec<u8>,
    next: usize,
    deepest_attempt_count: u32,
    retry_count: u32,
    now_us: u64,
}

impl<P: RetryPolicy> Chain<P> {
    fn new(depth: usize, bytes: Vec<u8>) -> Self {
        let mut nodes: Vec<P> = (0..depth).map(|_| P::new()).collect();
        // Traffic of others, so that the share doesn't bind.
        for node in &mut nodes {
            for _ in 0..100_000 {
                node.first_attempt(SERVICE, 0);
            }
        }
        Self {
            nodes,
            bytes,
            next: 0,
            deepest_attempt_count: 0,
            retry_count: 0,
            now_us: 0,
        }
    }

    fn next_byte(&mut self) -> u8 {
        self.next += 1;
        self.bytes.get(self.next - 1).copied().unwrap_or(0)
    }

    /// A hop with this allotment; returns whether it succeeded and what is
    /// left, unless the answer is lost.
    fn hop(&mut self, depth: usize, allotment: u8) -> Option<(bool, u8)> {
        if depth == self.nodes.len() {
            self.deepest_attempt_count += 1;
            let byte = self.next_byte();
            // Fails often, so that budgets are used up.
            return (!byte.is_multiple_of(8)).then_some((byte % 8 == 1, allotment));
        }
        let call = self.nodes[depth].open(allotment);
        let child_count = 1 + self.next_byte() % 2;
        let mut is_success = true;
        for _ in 0..child_count {
            is_success &= self.child(depth, call);
        }
        let left = self.nodes[depth].close(call);
        let is_lost = self.next_byte().is_multiple_of(8);
        (!is_lost).then_some((is_success, left))
    }

    fn child(&mut self, depth: usize, call: CallKey) -> bool {
        let share = self.nodes[depth].allot_to_child(call);
        let own = self.nodes[depth].open(share.allotment);
        let is_success = self.attempts(depth, own);
        let left = self.nodes[depth].close(own);
        self.nodes[depth].return_unspent(share.key, left);
        is_success
    }

    fn attempts(&mut self, depth: usize, own: CallKey) -> bool {
        self.nodes[depth].first_attempt(SERVICE, self.now_us);
        loop {
            let loan = self.nodes[depth].allot_to_child(own);
            let answer = self.hop(depth + 1, loan.allotment);
            let unspent = answer.map_or(0, |(_, left)| left);
            self.nodes[depth].return_unspent(loan.key, unspent);
            if answer.is_some_and(|(is_success, _)| is_success) {
                return true;
            }
            if !self.nodes[depth].try_retry(own, SERVICE, self.now_us) {
                return false;
            }
            self.retry_count += 1;
        }
    }
}

/// Calls fail and answers are lost at random over a tree of calls. If an
/// allotment could be copied, retries would multiply with the depth.
#[test]
fn retries_of_a_tree_of_calls_never_exceed_the_allotment() {
    let (mut total_count, mut success_count) = (0, 0);
    for_each_case(2000, |(depth, allotment, bytes): (u8, u8, [u8; 256])| {
        let depth = 1 + usize::from(depth % 8);
        let allotment = allotment % 6;
        let mut chain = Chain::<ChainBudget>::new(depth, bytes.to_vec());
        let answer = chain.hop(0, allotment);
        let left = answer.map_or(0, |(_, left)| left);
        success_count += u32::from(answer.is_some_and(|(is_success, _)| is_success));
        assert!(chain.retry_count + u32::from(left) <= u32::from(allotment));
        total_count += chain.retry_count;
        for node in &chain.nodes {
            assert_eq!((node.call_count(), node.loan_count()), (0, 0));
        }
    });
    println!("2000 trees, {total_count} retries, {success_count} successes");
    assert!(total_count > 1000, "the cases hardly retry");
}

/// The deepest service fails every call. With retries at each hop its load is
/// multiplied once a hop; with one budget it sees the first attempt and at most K more.
#[test]
fn attempts_at_the_deepest_service_are_bounded_by_the_budget() {
    const DEPTH: usize = 4;
    const RETRY_LIMIT: u8 = 3;
    // 2: one child a hop at even bytes; the deepest fails with an answer.
    let always_failing = vec![2; 4096];
    let mut budget = Chain::<ChainBudget>::new(DEPTH, always_failing.clone());
    budget.hop(0, RETRY_LIMIT);
    let mut naive = Chain::<NaiveRetry>::new(DEPTH, always_failing);
    naive.hop(0, RETRY_LIMIT);
    println!(
        "deepest attempts over {DEPTH} hops: budget {}, naive {}",
        budget.deepest_attempt_count, naive.deepest_attempt_count
    );
    assert!(budget.deepest_attempt_count <= 1 + u32::from(RETRY_LIMIT));
    // The third retry stays with the topmost call, for further children.
    assert_eq!(budget.deepest_attempt_count, 3);
    assert!(naive.deepest_attempt_count >= 3 * budget.deepest_attempt_count);
}
