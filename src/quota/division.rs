//! Division of a workspace's rate over the nodes that ask for it.
//!
//! Every node of the fleet owns an even share of each rate. By reporting, a
//! node lends its share to the divider for a while; the divider keeps one
//! bucket for what it was lent and gives tokens out of it to whoever needs
//! them. Nothing is lent by nodes that cannot be reached, and these admit by
//! their even share alone, so that the sum stays within the rate however the
//! fleet is split.
//!
//! Pattern: a workspace sends nearly what it may, a few requests a second at
//! each node. Buckets at the nodes refuse whatever comes in clumps while those
//! of other nodes overflow, and requests within the rate are lost. One bucket
//! loses nothing.

use {
    super::{Rate, RefillBucket},
    crate::model::{CLASS_COUNT, Class},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// How long a report lends the reporter's share, counted from its arrival;
/// also how long a node relies on a grant, counted from when it asked.
pub const LEASE_US: u64 = 1_000_000;

/// Time of its rate that a new process brings to the bucket, in seconds. All
/// processes may be killed right after a burst; users tolerate an excess of a
/// tenth over five seconds, which is half a second of the rate or more.
const FIRST_TOKENS_S: f64 = 0.4;
/// Most that new processes bring, as a part of the burst.
const FIRST_TOKENS_RATIO: f64 = 0.5;

/// Level of the bucket, as a part of the burst, that a class leaves to the
/// classes above it, from the first to be shed to the last. A workspace's own
/// reads would otherwise use up the rate that its orders need.
const RESERVED_RATIOS: [f64; CLASS_COUNT] = [0.2, 0.1, 0.0];
/// Part of the free level that is given out ahead of need.
const AHEAD_RATIO: f64 = 0.5;

/// Numbers by class, from the first to be shed to the last.
pub type ClassCounts = [u32; CLASS_COUNT];

/// What a node needs of a workspace's rate.
#[derives::value]
#[derive(Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TokenNeed {
    /// Requests that wait for a token.
    pub waiting_counts: ClassCounts,
    /// Tokens wanted for requests that will soon come.
    pub ahead_counts: ClassCounts,
    /// Tokens that the node gives back unused.
    pub returned_count: u32,
}

/// What a node gets of a workspace's rate.
#[derives::value]
#[derive(Copy, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct TokenGrant {
    /// Tokens.
    pub counts: ClassCounts,
    /// When a class that got less than it waits for should ask again; 0 for a
    /// class that got all.
    pub empty_for_ms: ClassCounts,
}

/// A process whose share is lent to the divider.
#[derive(Debug, Clone)]
struct LentShare {
    received_us: u64,
    ahead_counts: HashMap<String, u32>,
}

/// The bucket of one workspace.
#[derive(Debug, Clone)]
struct Account {
    bucket: RefillBucket,
    /// Processes that have asked for tokens; new ones brought some.
    known: HashSet<u64>,
}

/// What reporters have lent to this node; no I/O, no clock.
#[derive(Debug, Clone, Default)]
pub struct Division {
    reporters: BTreeMap<String, LentShare>,
    accounts: HashMap<String, Account>,
    /// Since when shares have been lent without a pause.
    lent_since_us: u64,
    /// Processes that were granted nothing by anyone before they came here.
    new_processes: HashSet<u64>,
}

/// Who reports.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// Name of the node.
    pub node_id: &'a str,
    /// Drawn anew by each process.
    pub process_id: u64,
    /// Whether the process was granted anything before, here or elsewhere.
    pub is_new: bool,
}

impl Division {
    /// Nobody has reported.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report: the reporter's share is lent from now on.
    pub fn report(&mut self, from: Reporter<'_>, needs: &HashMap<String, TokenNeed>, now_us: u64) {
        self.reporters
            .retain(|_, reporter| now_us < reporter.received_us + LEASE_US);
        if self.reporters.is_empty() {
            self.lent_since_us = now_us;
        }
        if from.is_new {
            self.new_processes.insert(from.process_id);
        }
        let ahead_counts = needs
            .iter()
            .map(|(workspace, need)| (workspace.clone(), need.ahead_counts.iter().sum()));
        let reporter = LentShare {
            received_us: now_us,
            ahead_counts: ahead_counts.collect(),
        };
        self.reporters.insert(from.node_id.to_owned(), reporter);
    }

    /// Nodes whose shares are lent at present.
    #[must_use]
    pub fn reporter_count(&self, now_us: u64) -> usize {
        self.live(now_us).count()
    }

    /// Gives a reporter what it needs of a workspace, as far as the bucket has
    /// it, in a fleet of so many nodes.
    pub fn grant(
        &mut self,
        from: Reporter<'_>,
        workspace: &str,
        rate: Rate,
        need: &TokenNeed,
        member_count: usize,
        now_us: u64,
    ) -> TokenGrant {
        let reporter_count = self.reporter_count(now_us).max(1);
        let lent_ratio = reporter_count as f64 / member_count.max(reporter_count) as f64;
        let ahead_total = self.ahead_total(workspace, now_us);
        // A workspace that nobody asked for refills as well: its first requests
        // after a pause may be as many as its burst.
        let lent_since_us = self.lent_since_us;
        let account = self
            .accounts
            .entry(workspace.to_owned())
            .or_insert_with(|| Account {
                bucket: RefillBucket::new(lent_since_us),
                known: HashSet::new(),
            });
        let bucket = &mut account.bucket;
        bucket.skip_to(lent_since_us);
        bucket.advance(rate, lent_ratio, now_us);
        let is_new = self.new_processes.contains(&from.process_id);
        if account.known.insert(from.process_id) && is_new {
            bucket.add(first_tokens(rate) / member_count.max(1) as f64);
        }
        bucket.add(f64::from(need.returned_count));
        let mut grant = TokenGrant::default();
        for class in Class::ALL.into_iter().rev() {
            let place = class.index();
            let wanted = need.waiting_counts[place];
            let given = bucket.take(wanted, RESERVED_RATIOS[place]);
            grant.counts[place] = given;
            if given < wanted {
                grant.empty_for_ms[place] = bucket.empty_for_ms(RESERVED_RATIOS[place]);
            }
        }
        for class in Class::ALL.into_iter().rev() {
            let place = class.index();
            let wanted = need.ahead_counts[place];
            let share = f64::from(wanted) / f64::from(ahead_total.max(wanted).max(1));
            let free = bucket.free(RESERVED_RATIOS[place]) * AHEAD_RATIO * share;
            let given = bucket.take(wanted.min(free as u32), RESERVED_RATIOS[place]);
            grant.counts[place] += given;
        }
        grant
    }

    fn ahead_total(&self, workspace: &str, now_us: u64) -> u32 {
        self.live(now_us)
            .filter_map(|reporter| reporter.ahead_counts.get(workspace))
            .sum()
    }

    fn live(&self, now_us: u64) -> impl Iterator<Item = &LentShare> {
        self.reporters
            .values()
            .filter(move |reporter| now_us < reporter.received_us + LEASE_US)
    }
}

/// Tokens that a whole fleet of new processes begins with.
fn first_tokens(rate: Rate) -> f64 {
    let by_rate = f64::from(rate.rate_per_s) * FIRST_TOKENS_S;
    by_rate.min(f64::from(rate.burst_count) * FIRST_TOKENS_RATIO)
}
