//! Limits retries at one service to a share of the first attempts there.

/// Retries at a service per hundred first attempts.
pub const RETRY_SHARE_PERCENT: u32 = 10;
/// Retries in a window that are allowed in addition to the share, so that a
/// service with little traffic can be retried at all.
pub const RETRY_FLOOR_COUNT: u32 = 10;
/// Length of the sliding window over which attempts are counted.
pub const SHARE_WINDOW_US: u64 = 10_000_000;
const BUCKET_COUNT: usize = 10;
const BUCKET_US: u64 = SHARE_WINDOW_US / BUCKET_COUNT as u64;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Index of the bucket's time span since time 0; detects a reused bucket.
    span_index: u64,
    first_count: u32,
    retry_count: u32,
}

/// Limits of a node's retries at one service in a window.
#[derives::key]
pub struct RetryShareLimits {
    /// Retries per hundred first attempts.
    pub percent: u32,
    /// Retries that are allowed in addition to the share.
    pub floor_count: u32,
}

impl Default for RetryShareLimits {
    fn default() -> Self {
        Self {
            percent: RETRY_SHARE_PERCENT,
            floor_count: RETRY_FLOOR_COUNT,
        }
    }
}

/// First attempts and retries at one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryShare {
    limits: RetryShareLimits,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryShare {
    /// A window without attempts.
    #[must_use]
    pub fn new(limits: RetryShareLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now_us: u64) {
        self.bucket(now_us).first_count += 1;
    }

    /// Whether the limits allow a retry.
    #[must_use]
    pub fn may_retry(&self, now_us: u64) -> bool {
        let (first_count, retry_count) = self.counts(now_us);
        retry_count < self.limits.floor_count + first_count * self.limits.percent / 100
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now_us: u64) {
        self.bucket(now_us).retry_count += 1;
    }

    /// Bucket of the current time, cleared if it counts an earlier time span.
    fn bucket(&mut self, now_us: u64) -> &mut Bucket {
        let span_index = now_us / BUCKET_US;
        let bucket = &mut self.buckets[span_index as usize % BUCKET_COUNT];
        if bucket.span_index != span_index {
            *bucket = Bucket {
                span_index,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// First attempts and retries in the window.
    fn counts(&self, now_us: u64) -> (u32, u32) {
        let span_index = now_us / BUCKET_US;
        self.buckets
            .iter()
            .filter(|bucket| bucket.span_index + BUCKET_COUNT as u64 > span_index)
            .fold((0, 0), |(first_count, retry_count), bucket| {
                (
                    first_count + bucket.first_count,
                    retry_count + bucket.retry_count,
                )
            })
    }
}
