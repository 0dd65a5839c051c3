//! The owner of quota slices: accrues their share and leases it to banks.

use {
    super::{
        Bucket, LeaseRequest, LeaseResponse, PoolRef, Rate,
        limits::{LEASE_TTL_MS, QUOTA_MARGIN_MS, us},
    },
    crate::{model::WorkspaceKey, slices::SliceIndex},
    std::collections::HashMap,
};

/// A slice that came here may still be leased by its earlier owner, or by an
/// earlier process of this one, to a bank that admits on it.
const QUARANTINE_US: u64 = us(LEASE_TTL_MS + QUOTA_MARGIN_MS);

/// Milliseconds until an answer for banks is worth asking for again.
const US_PER_MS: u64 = 1000;

#[derives::value]
struct Lease {
    bank: PoolRef,
    until_us: u64,
}

#[derives::value]
struct Share {
    bucket: Bucket,
    lease: Option<Lease>,
}

impl Lease {
    fn is_for(&self, ask: &LeaseRequest) -> bool {
        let holder_id = self.bank.bank_id;
        holder_id == ask.bank.bank_id || holder_id == ask.predecessor_id
    }
}

type Slices = HashMap<SliceIndex, (u64, u64)>;

impl Share {
    // A slice that became usable since the last call was perhaps used by its
    // earlier owner for a part of that time, so it counts from this call on.
    fn advance(&mut self, slices: &Slices, rate: Rate, now_us: u64) {
        let slice_count = ready_count(slices, self.bucket.updated_us.min(now_us));
        self.bucket.advance(rate, slice_count, now_us);
    }
}

fn ready_count(slices: &Slices, now_us: u64) -> u64 {
    let ready = slices.values().filter(|(_, ready_us)| *ready_us <= now_us);
    ready.count() as u64
}

/// The share of a workspace that nobody has leased since its slices came here.
///
/// Begun empty at the first lease, it would refuse the first burst of a
/// workspace that has been silent for hours. Each slice accrues from the end of
/// its quarantine, before which an earlier owner's lease may still be in use.
fn unused_bucket(slices: &Slices, rate: Rate, now_us: u64) -> Bucket {
    let accrued = slices.values().map(|(_, ready_us)| {
        let mut slice = Bucket::new(*ready_us);
        slice.advance(rate, 1, now_us);
        slice.level
    });
    Bucket {
        level: accrued.sum(),
        updated_us: now_us,
    }
}

/// Shares of this node's slices; no I/O, no clock.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    /// Epoch that gave each slice, and when it may be used.
    slices: Slices,
    shares: HashMap<WorkspaceKey, Share>,
}

impl QuotaOwner {
    /// An owner without slices.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the slices that the table gives to this node, with their epochs.
    ///
    /// `rate_of` tells the rates in force, for bringing shares up to date.
    pub fn set_slices(
        &mut self,
        slices: impl IntoIterator<Item = (SliceIndex, u64)>,
        rate_of: impl Fn(WorkspaceKey) -> Rate,
        now_us: u64,
    ) {
        let old = std::mem::take(&mut self.slices);
        let mut next = HashMap::new();
        for (slice, epoch) in slices {
            let known = old.get(&slice);
            let known = known.filter(|(known_epoch, _)| *known_epoch == epoch);
            let ready_us = known.map_or(now_us + QUARANTINE_US, |(_, ready_us)| *ready_us);
            next.insert(slice, (epoch, ready_us));
        }
        self.slices = next;
        let new_count = self.ready_count(now_us);
        for (workspace, share) in &mut self.shares {
            let rate = rate_of(*workspace);
            share.advance(&old, rate, now_us);
            let capacity = super::capacity(rate, new_count);
            share.bucket.level = share.bucket.level.min(capacity);
        }
    }

    /// Uses all slices at once and counts them from the start of the process:
    /// nobody owned any before, so that no lease of an earlier owner can be out
    /// and nothing has been admitted on them.
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

    /// Slices whose share may be used.
    #[must_use]
    pub fn ready_count(&self, now_us: u64) -> u64 {
        ready_count(&self.slices, now_us)
    }

    /// Leases the share of a workspace to the asking bank.
    ///
    /// The caller has made sure, at `now_us`, that nobody can have taken the
    /// slices over.
    pub fn lease(&mut self, ask: &LeaseRequest, rate: Rate, now_us: u64) -> LeaseResponse {
        let slice_count = self.ready_count(now_us);
        if slice_count == 0 {
            return LeaseResponse::default();
        }
        let slices = &self.slices;
        let share = self.shares.entry(ask.workspace).or_insert_with(|| Share {
            bucket: unused_bucket(slices, rate, now_us),
            lease: None,
        });
        if let Some(lease) = &share.lease
            && !lease.is_for(ask)
            && now_us < lease.until_us
        {
            let busy_ms = (lease.until_us - now_us).div_ceil(US_PER_MS);
            return LeaseResponse {
                busy_ms: u32::try_from(busy_ms).unwrap_or(u32::MAX),
                holder: lease.bank.clone(),
                ..LeaseResponse::default()
            };
        }
        share.advance(&self.slices, rate, now_us);
        let level = share.bucket.drain();
        // The bank accrues until its own count ends; this share goes on when
        // the lease is over for certain.
        let until_us = now_us + QUARANTINE_US;
        share.bucket.updated_us = until_us;
        share.lease = Some(Lease {
            bank: ask.bank.clone(),
            until_us,
        });
        LeaseResponse {
            slice_count: u16::try_from(slice_count).expect("slices fit into 16 bits"),
            level,
            ttl_ms: LEASE_TTL_MS,
            ..LeaseResponse::default()
        }
    }

    /// Begins to accrue the shares of these workspaces, so that a burst is at
    /// hand before the first bank asks.
    pub fn track(
        &mut self,
        workspaces: impl IntoIterator<Item = (WorkspaceKey, Rate)>,
        now_us: u64,
    ) {
        // A share that is begun before its slices come would count from then.
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
