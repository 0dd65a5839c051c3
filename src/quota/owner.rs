//! Owner of quota slices: accrues their shares and leases them to token pools.

use {
    super::{
        Bucket, LeaseRequest, LeaseResponse, PoolRef, Rate,
        limits::{CLOCK_MARGIN_MS, LEASE_TTL_MS, ms_to_us},
    },
    crate::{model::WorkspaceKey, slices::SliceIndex},
    std::collections::HashMap,
};

/// How long a slice that moved here stays unused: its earlier owner, or an
/// earlier process of this node, may have leased it to a pool that still admits
/// on it.
const QUARANTINE_US: u64 = ms_to_us(LEASE_TTL_MS + CLOCK_MARGIN_MS);

const US_PER_MS: u64 = 1000;

#[derives::value]
struct Lease {
    pool: PoolRef,
    ends_us: u64,
}

#[derives::value]
struct Share {
    bucket: Bucket,
    lease: Option<Lease>,
}

impl Lease {
    fn is_for(&self, request: &LeaseRequest) -> bool {
        let holder_id = self.pool.pool_id;
        holder_id == request.pool.pool_id || holder_id == request.predecessor_id
    }
}

type Slices = HashMap<SliceIndex, (u64, u64)>;

impl Share {
    // The earlier owner may have used a newly usable slice for a part of the
    // elapsed time, so the slice accrues from this call on.
    fn advance(&mut self, slices: &Slices, rate: Rate, now_us: u64) {
        let slice_count = ready_count(slices, self.bucket.updated_us.min(now_us));
        self.bucket.advance(rate, slice_count, now_us);
    }
}

fn ready_count(slices: &Slices, now_us: u64) -> u64 {
    let ready = slices.values().filter(|(_, ready_us)| *ready_us <= now_us);
    ready.count() as u64
}

/// Bucket of a share that has not been leased since its slices moved here.
///
/// Starting it empty at the first lease would refuse the first burst of a
/// workspace that was idle for hours. Each slice accrues from the end of its
/// quarantine; until then an earlier owner's lease may still be in use.
fn unused_bucket(slices: &Slices, rate: Rate, now_us: u64) -> Bucket {
    let accrued = slices.values().map(|(_, ready_us)| {
        let mut slice_bucket = Bucket::new(*ready_us);
        slice_bucket.advance(rate, 1, now_us);
        slice_bucket.level
    });
    Bucket {
        level: accrued.sum(),
        updated_us: now_us,
    }
}

/// Shares of this node's slices. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    /// Epoch in which each slice was assigned to this node, and the time from
    /// which it may be used.
    slices: Slices,
    shares: HashMap<WorkspaceKey, Share>,
}

impl QuotaOwner {
    /// Creates an owner without slices.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the slices that the table assigns to this node, with their epochs.
    ///
    /// `rate_of` returns the rate in force, used to bring shares up to date.
    pub fn set_slices(
        &mut self,
        slices: impl IntoIterator<Item = (SliceIndex, u64)>,
        rate_of: impl Fn(WorkspaceKey) -> Rate,
        now_us: u64,
    ) {
        let old_slices = std::mem::take(&mut self.slices);
        let mut new_slices = HashMap::new();
        for (slice, epoch) in slices {
            let known = old_slices.get(&slice);
            let known = known.filter(|(known_epoch, _)| *known_epoch == epoch);
            let ready_us = known.map_or(now_us + QUARANTINE_US, |(_, ready_us)| *ready_us);
            new_slices.insert(slice, (epoch, ready_us));
        }
        self.slices = new_slices;
        let ready_count = self.ready_count(now_us);
        for (workspace, share) in &mut self.shares {
            let rate = rate_of(*workspace);
            share.advance(&old_slices, rate, now_us);
            let capacity = super::capacity(rate, ready_count);
            share.bucket.level = share.bucket.level.min(capacity);
        }
    }

    /// Makes all slices usable at once, accruing from the start of the process.
    /// Nobody owned them before, so no lease of an earlier owner can exist and
    /// nothing has been admitted on them.
    pub fn skip_quarantine(&mut self) {
        for (_, ready_us) in self.slices.values_mut() {
            *ready_us = 0;
        }
    }

    /// Stops using slices that are about to be given up.
    pub fn release(
        &mut self,
        slices: &[SliceIndex],
        rate_of: impl Fn(WorkspaceKey) -> Rate,
        now_us: u64,
    ) {
        let kept = self
            .slices
            .iter()
            .filter(|(slice, _)| !slices.contains(slice));
        let kept: Vec<(SliceIndex, u64)> =
            kept.map(|(slice, (epoch, _))| (*slice, *epoch)).collect();
        self.set_slices(kept, rate_of, now_us);
    }

    /// Number of slices whose share may be used.
    #[must_use]
    pub fn ready_count(&self, now_us: u64) -> u64 {
        ready_count(&self.slices, now_us)
    }

    /// Leases the share of a workspace to the requesting pool.
    ///
    /// The caller must have checked, at `now_us`, that no other node can have
    /// taken the slices over.
    pub fn lease(&mut self, request: &LeaseRequest, rate: Rate, now_us: u64) -> LeaseResponse {
        let slice_count = self.ready_count(now_us);
        if slice_count == 0 {
            return LeaseResponse::default();
        }
        let slices = &self.slices;
        let share = self
            .shares
            .entry(request.workspace)
            .or_insert_with(|| Share {
                bucket: unused_bucket(slices, rate, now_us),
                lease: None,
            });
        if let Some(lease) = &share.lease
            && !lease.is_for(request)
            && now_us < lease.ends_us
        {
            let busy_ms = (lease.ends_us - now_us).div_ceil(US_PER_MS);
            return LeaseResponse {
                busy_ms: u32::try_from(busy_ms).unwrap_or(u32::MAX),
                holder: lease.pool.clone(),
                ..LeaseResponse::default()
            };
        }
        share.advance(&self.slices, rate, now_us);
        let level = share.bucket.drain();
        // The pool accrues until its lease ends by its own clock; this share
        // resumes once the lease has certainly expired.
        let ends_us = now_us + QUARANTINE_US;
        share.bucket.updated_us = ends_us;
        share.lease = Some(Lease {
            pool: request.pool.clone(),
            ends_us,
        });
        LeaseResponse {
            slice_count: u16::try_from(slice_count).expect("slices fit into 16 bits"),
            level,
            ttl_ms: LEASE_TTL_MS,
            ..LeaseResponse::default()
        }
    }

    /// Starts accruing the shares of these workspaces, so that a burst is
    /// available before the first lease.
    pub fn track(
        &mut self,
        workspaces: impl IntoIterator<Item = (WorkspaceKey, Rate)>,
        now_us: u64,
    ) {
        // A share created before its slices arrive would accrue from that time.
        if self.slices.is_empty() {
            return;
        }
        for (workspace, rate) in workspaces {
            let slices = &self.slices;
            let share = self.shares.entry(workspace).or_insert_with(|| Share {
                bucket: unused_bucket(slices, rate, now_us),
                lease: None,
            });
            share.advance(&self.slices, rate, now_us);
        }
    }
}
