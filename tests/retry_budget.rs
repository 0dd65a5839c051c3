//! Retries of one original request are bounded over its whole call chain.

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

/// A child's response is lost, duplicated or late, or claims too much. If more came
/// back than was allotted, the chain would exceed its retry budget.
#[test]
fn a_child_returns_its_unspent_allotment_and_no_more() {
    struct Case {
        name: &'static str,
        allotment: u8,
        allotted: u8,
        returned: &'static [u8],
        available: u8,
    }
    let cases = [
        Case {
            name: "nothing spent",
            allotment: 3,
            allotted: 2,
            returned: &[2],
            available: 3,
        },
        Case {
            name: "one spent",
            allotment: 3,
            allotted: 2,
            returned: &[1],
            available: 2,
        },
        Case {
            name: "response lost",
            allotment: 3,
            allotted: 2,
            returned: &[0],
            available: 1,
        },
        Case {
            name: "returns more than it was allotted",
            allotment: 3,
            allotted: 2,
            returned: &[200],
            available: 3,
        },
        Case {
            name: "duplicate response",
            allotment: 3,
            allotted: 2,
            returned: &[1, 2],
            available: 2,
        },
        Case {
            name: "late response after the loss was recorded",
            allotment: 3,
            allotted: 2,
            returned: &[0, 2],
            available: 1,
        },
        Case {
            name: "the last retry is allotted to the child",
            allotment: 1,
            allotted: 1,
            returned: &[1],
            available: 1,
        },
        Case {
            name: "nothing to allot",
            allotment: 0,
            allotted: 0,
            returned: &[1],
            available: 0,
        },
    ];
    for case in cases {
        let mut budget = ChainBudget::new();
        let call = budget.open(case.allotment);
        let child = budget.allot_to_child(call);
        assert_eq!(child.allotment, case.allotted, "{}", case.name);
        for unspent in case.returned {
            budget.return_unspent(child.key, *unspent);
        }
        assert_eq!(budget.close(call), case.available, "{}", case.name);
        assert_eq!(budget.child_allotment_count(), 0, "{}", case.name);
    }
}

/// A parent call ends while its child still runs. If the allotment were returned to
/// the parent's arena slot, another call that reuses the slot would get it.
#[test]
fn allotment_returned_after_the_parent_ended_is_dropped() {
    let mut budget = ChainBudget::new();
    let parent = budget.open(2);
    let child = budget.allot_to_child(parent);
    assert_eq!(budget.close(parent), 1);
    let unrelated_call = budget.open(0);
    budget.return_unspent(child.key, 1);
    assert_eq!(budget.close(unrelated_call), 0);
    assert_eq!(budget.allot_to_child(parent).allotment, 0);
    assert_eq!(budget.close(parent), 0);
}

/// A service fails every call. Without a limit per service, all callers that have
/// budget left would add their retries to its load while it is down.
#[test]
fn retries_at_a_service_stay_within_their_share() {
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
            budget.record_first_attempt(SERVICE, u64::from(index) * 1000);
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
        let granted_count = count_granted(&mut budget, now_us);
        assert_eq!(granted_count, case.retry_count as usize);
        let other_call = budget.open(1);
        assert!(
            budget.try_retry(other_call, ServiceKey::new(1), now_us),
            "another service has its own share"
        );
        let later_us = now_us + 2 * SHARE_WINDOW_US;
        let granted_count = count_granted(&mut budget, later_us);
        assert_eq!(
            granted_count, RETRY_FLOOR_COUNT as usize,
            "the window slides"
        );
    }
}

/// The retry share of a service is exhausted. If a refused retry spent allotment,
/// its call could no longer retry other services.
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

/// Sends one original request through a chain of nodes; the case's bytes decide
/// which attempts fail and which responses are lost.
struct ChainFixture<P> {
    nodes: Vec<P>,
    bytes: Vec<u8>,
    next_index: usize,
    deepest_attempt_count: u32,
    retry_count: u32,
    now_us: u64,
}

impl<P: RetryPolicy> ChainFixture<P> {
    fn new(depth: usize, bytes: Vec<u8>) -> Self {
        let mut nodes: Vec<P> = (0..depth).map(|_| P::new()).collect();
        // Enough first attempts that the share does not limit the retries.
        for node in &mut nodes {
            for _ in 0..100_000 {
                node.record_first_attempt(SERVICE, 0);
            }
        }
        Self {
            nodes,
            bytes,
            next_index: 0,
            deepest_attempt_count: 0,
            retry_count: 0,
            now_us: 0,
        }
    }

    fn next_byte(&mut self) -> u8 {
        self.next_index += 1;
        self.bytes.get(self.next_index - 1).copied().unwrap_or(0)
    }

    /// Executes the request at a hop; returns whether it succeeded and its unspent
    /// allotment, or `None` if the response is lost.
    fn run_hop(&mut self, depth: usize, allotment: u8) -> Option<(bool, u8)> {
        if depth == self.nodes.len() {
            self.deepest_attempt_count += 1;
            let byte = self.next_byte();
            // Fails often, so that budgets are exhausted.
            return (!byte.is_multiple_of(8)).then_some((byte % 8 == 1, allotment));
        }
        let call = self.nodes[depth].open(allotment);
        let child_count = 1 + self.next_byte() % 2;
        let mut is_success = true;
        for _ in 0..child_count {
            is_success &= self.run_child(depth, call);
        }
        let unspent = self.nodes[depth].close(call);
        let is_lost = self.next_byte().is_multiple_of(8);
        (!is_lost).then_some((is_success, unspent))
    }

    /// Executes one child call with its retries; returns whether it succeeded.
    fn run_child(&mut self, depth: usize, call: CallKey) -> bool {
        let child = self.nodes[depth].allot_to_child(call);
        let child_call = self.nodes[depth].open(child.allotment);
        let is_success = self.run_attempts(depth, child_call);
        let unspent = self.nodes[depth].close(child_call);
        self.nodes[depth].return_unspent(child.key, unspent);
        is_success
    }

    /// Attempts a call at the next hop until it succeeds or may not be retried.
    fn run_attempts(&mut self, depth: usize, call: CallKey) -> bool {
        self.nodes[depth].record_first_attempt(SERVICE, self.now_us);
        loop {
            let child = self.nodes[depth].allot_to_child(call);
            let response = self.run_hop(depth + 1, child.allotment);
            let unspent = response.map_or(0, |(_, unspent)| unspent);
            self.nodes[depth].return_unspent(child.key, unspent);
            if response.is_some_and(|(is_success, _)| is_success) {
                return true;
            }
            if !self.nodes[depth].try_retry(call, SERVICE, self.now_us) {
                return false;
            }
            self.retry_count += 1;
        }
    }
}

/// Calls fail and responses are lost at random in a tree of calls. If allotment
/// were copied, retries would multiply with the depth.
#[test]
fn retries_of_a_tree_of_calls_never_exceed_the_allotment() {
    let (mut retry_count, mut success_count) = (0, 0);
    for_each_case(2000, |(depth, allotment, bytes): (u8, u8, [u8; 256])| {
        let depth = 1 + usize::from(depth % 8);
        let allotment = allotment % 6;
        let mut chain = ChainFixture::<ChainBudget>::new(depth, bytes.to_vec());
        let response = chain.run_hop(0, allotment);
        let unspent = response.map_or(0, |(_, unspent)| unspent);
        success_count += u32::from(response.is_some_and(|(is_success, _)| is_success));
        assert!(chain.retry_count + u32::from(unspent) <= u32::from(allotment));
        retry_count += chain.retry_count;
        for node in &chain.nodes {
            assert_eq!((node.call_count(), node.child_allotment_count()), (0, 0));
        }
    });
    println!("2000 trees, {retry_count} retries, {success_count} successes");
    assert!(retry_count > 1000, "too few retries in the generated cases");
}

/// The deepest service fails every call. Retries at each hop would multiply its
/// load per hop; with one budget of K retries it gets at most 1 + K attempts.
#[test]
fn attempts_at_the_deepest_service_are_bounded_by_the_budget() {
    const DEPTH: usize = 4;
    const RETRY_LIMIT: u8 = 3;
    // Byte 2: one child per hop, no lost response, failure at the deepest hop.
    let always_failing = vec![2; 4096];
    let mut budget = ChainFixture::<ChainBudget>::new(DEPTH, always_failing.clone());
    budget.run_hop(0, RETRY_LIMIT);
    let mut naive = ChainFixture::<NaiveRetry>::new(DEPTH, always_failing);
    naive.run_hop(0, RETRY_LIMIT);
    println!(
        "deepest attempts over {DEPTH} hops: budget {}, naive {}",
        budget.deepest_attempt_count, naive.deepest_attempt_count
    );
    assert!(budget.deepest_attempt_count <= 1 + u32::from(RETRY_LIMIT));
    // The topmost call keeps the third retry for other children.
    assert_eq!(budget.deepest_attempt_count, 3);
    assert!(naive.deepest_attempt_count >= 3 * budget.deepest_attempt_count);
}
