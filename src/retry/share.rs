//! Share of retries among the attempts at one destination.

/// Retries at a destination per hundred first attempts.
pub const RETRY_SHARE_PERCENT: u32 = 10;
/// Retries that are allowed in a window without first attempts, so that a
/// destination with little traffic can be retried at all.
pub const RETRY_FLOOR_COUNT: u32 = 10;
/// Length of the sliding window.
pub const SHARE_WINDOW_US: u64 = 10_000_000;
const BUCKET_COUNT: usize = 10;
const BUCKET_US: u64 = SHARE_WINDOW_US / BUCKET_COUNT as u64;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket's span since time 0; tells reuse.
    span: u64,
    first_count: u32,
    retry_count: u32,
}

/// Retries that a node may make at a destination in a window.
#[derives::key]
pub struct ShareLimits {
    /// Retries per hundred first attempts.
    pub percent: u32,
    /// Retries that are allowed without first attempts.
    pub floor_count: u32,
}

impl Default for ShareLimits {
    fn default() -> Self {
        Self {
            percent: RETRY_SHARE_PERCENT,
            floor_count: RETRY_FLOOR_COUNT,
        }
    }
}

/// First attempts and retries at one destination in a sliding window.
#[derive(Debug, Default)]
pub struct RetryShare {
    limits: ShareLimits,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryShare {
    /// A window without attempts.
    #[must_use]
    pub fn new(limits: ShareLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now_us: u64) {
        self.bucket(now_us).first_count += 1;
    }

    /// Counts a retry when it stays within the share.
    pub fn try_retry(&mut self, now_us: u64) -> bool {
        let (first_count, retry_count) = self.sums(now_us);
        let allowed = self.limits.floor_count + first_count * self.limits.percent / 100;
        if retry_count >= allowed {
            return false;
        }
        self.bucket(now_us).retry_count += 1;
        true
    }

    fn bucket(&mut self, now_us: u64) -> &mut Bucket {
        let span = now_us / BUCKET_US;
        let bucket = &mut self.buckets[span as usize % BUCKET_COUNT];
        if bucket.span != span {
            *bucket = Bucket {
                span,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn sums(&self, now_us: u64) -> (u32, u32) {
        let span = now_us / BUCKET_US;
        self.buckets
            .iter()
            .filter(|bucket| bucket.span + BUCKET_COUNT as u64 > span)
            .fold((0, 0), |(first, retry), bucket| {
                (first + bucket.first_count, retry + bucket.retry_count)
            })
    }
}
