//! Requests that were refused at the own target for want of capacity, over the last ten
//! seconds, by class and by workspace.

use {
    crate::model::{CLASS_COUNT, Class, Reason, WorkspaceKey},
    std::cmp::Reverse,
};

/// Seconds that are kept. The current one is incomplete, so that the counts cover nine to
/// ten seconds.
pub const REFUSALS_KEPT_S: u64 = 10;
/// Workspaces that are counted in each second. Counts are exact up to this number of
/// workspaces; the memory of a record is about 32 KB.
pub const WORKSPACES_PER_SECOND: usize = 128;

const BUCKET_COUNT: usize = REFUSALS_KEPT_S as usize;
const SECOND_US: u64 = 1_000_000;

/// Refusals of one workspace.
#[derives::key]
pub struct WorkspaceRefusals {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// Refusals counted.
    pub count: u64,
    /// By how much `count` can be too high; 0 if at most [`WORKSPACES_PER_SECOND`] workspaces
    /// were refused in each second.
    pub excess_max_count: u64,
}

/// Refusals of the last ten seconds.
#[derives::value]
#[derive(Eq, Default)]
pub struct RecentRefusals {
    /// By class, exact.
    pub by_class: [u64; CLASS_COUNT],
    /// By workspace, most refusals first.
    pub by_workspace: Vec<WorkspaceRefusals>,
}

/// Counts refusals in a ring of one-second buckets.
///
/// Each bucket counts workspaces by the space-saving algorithm: a workspace that is not
/// counted yet takes the place of the one with the fewest refusals and inherits its count.
/// In a second with N refusals a count is too high by at most N / [`WORKSPACES_PER_SECOND`] and
/// by at most its `excess_max_count`. Each workspace with more refusals than that is counted, so
/// that the largest stay; what is missing of a smaller one is at most as much.
#[derive(Debug)]
pub struct RefusalRecord {
    buckets: [Bucket; BUCKET_COUNT],
    last_us: Option<u64>,
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    second: u64,
    by_class: [u64; CLASS_COUNT],
    by_workspace: Vec<WorkspaceRefusals>,
}

impl Default for RefusalRecord {
    fn default() -> Self {
        Self::new()
    }
}

impl RefusalRecord {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self {
            buckets: std::array::from_fn(|_| Bucket::default()),
            last_us: None,
        }
    }

    /// Whether a refusal with this reason is for want of capacity.
    #[must_use]
    pub const fn is_for_capacity(reason: Reason) -> bool {
        matches!(
            reason,
            Reason::Overloaded
                | Reason::TooLate
                | Reason::TargetShed
                | Reason::TargetLimited
                | Reason::TargetCold
        )
    }

    /// Counts a refused request.
    pub fn record(&mut self, class: Class, workspace: WorkspaceKey, now_us: u64) {
        let second = now_us / SECOND_US;
        let bucket = &mut self.buckets[index_of(second)];
        if bucket.second > second {
            return;
        }
        if bucket.second < second {
            bucket.clear(second);
        }
        bucket.by_class[class.index()] += 1;
        bucket.count_workspace(workspace);
        self.last_us = self.last_us.max(Some(now_us));
    }

    /// Time of the last refusal.
    #[must_use]
    pub const fn last_us(&self) -> Option<u64> {
        self.last_us
    }

    /// Refusals by class of the last ten seconds.
    #[must_use]
    pub fn by_class(&self, now_us: u64) -> [u64; CLASS_COUNT] {
        let mut by_class = [0; CLASS_COUNT];
        for bucket in self.recent(now_us) {
            for (sum, count) in by_class.iter_mut().zip(bucket.by_class) {
                *sum += count;
            }
        }
        by_class
    }

    /// Refusals of the last ten seconds with at most `workspace_limit` workspaces, those
    /// with the most refusals.
    #[must_use]
    pub fn recent_refusals(&self, workspace_limit: usize, now_us: u64) -> RecentRefusals {
        let counted = self.recent(now_us).flat_map(|bucket| &bucket.by_workspace);
        let mut sums: Vec<WorkspaceRefusals> = counted.copied().collect();
        sums.sort_unstable_by_key(|sum| sum.workspace);
        sums.dedup_by(|next, sum| {
            let is_same = next.workspace == sum.workspace;
            if is_same {
                sum.count += next.count;
                sum.excess_max_count += next.excess_max_count;
            }
            is_same
        });
        sums.sort_unstable_by_key(|sum| (Reverse(sum.count), sum.workspace));
        sums.truncate(workspace_limit);
        RecentRefusals {
            by_class: self.by_class(now_us),
            by_workspace: sums,
        }
    }

    /// Number of entries held, which bounds the memory.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        let counts = self.buckets.iter().map(|bucket| bucket.by_workspace.len());
        counts.sum()
    }

    fn recent(&self, now_us: u64) -> impl Iterator<Item = &Bucket> {
        let second = now_us / SECOND_US;
        let is_recent = move |bucket: &&Bucket| second < bucket.second + REFUSALS_KEPT_S;
        self.buckets.iter().filter(is_recent)
    }
}

impl Bucket {
    fn clear(&mut self, second: u64) {
        self.second = second;
        self.by_class = [0; CLASS_COUNT];
        self.by_workspace.clear();
    }

    fn count_workspace(&mut self, workspace: WorkspaceKey) {
        let mut held = self.by_workspace.iter_mut();
        if let Some(counted) = held.find(|counted| counted.workspace == workspace) {
            counted.count += 1;
            return;
        }
        if self.by_workspace.len() < WORKSPACES_PER_SECOND {
            self.by_workspace.push(WorkspaceRefusals {
                workspace,
                count: 1,
                excess_max_count: 0,
            });
            return;
        }
        let fewest = self.by_workspace.iter_mut().min_by_key(|held| held.count);
        if let Some(fewest) = fewest {
            *fewest = WorkspaceRefusals {
                workspace,
                count: fewest.count + 1,
                excess_max_count: fewest.count,
            };
        }
    }
}

fn index_of(second: u64) -> usize {
    usize::try_from(second % REFUSALS_KEPT_S).unwrap_or(0)
}
