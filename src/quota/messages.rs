//! Messages between owners, token pools and borrowers.

use crate::model::WorkspaceKey;

/// Process of a node; a replacement in the same slot has another start time.
#[derives::value]
#[derive(Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Node id of its slot.
    pub node_id: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Token pool of one workspace.
#[derives::value]
#[derive(Eq, Default)]
pub struct PoolRef {
    /// Node that holds the pool.
    pub node_id: String,
    /// Random id, drawn anew on a restart and when the pool hands over.
    pub pool_id: u64,
}

/// Request of a pool to an owner for its share of a workspace.
#[derives::value]
#[derive(Eq)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The requesting pool.
    pub pool: PoolRef,
    /// Pool that handed its lease over to the requesting one; 0 if none did.
    pub predecessor_id: u64,
}

/// Response of an owner to a pool.
#[derives::value]
#[derive(Eq, Default)]
pub struct LeaseResponse {
    /// Slices whose share is leased; 0 when nothing is granted.
    pub slice_count: u16,
    /// Level moved from the owner's bucket, in units of
    /// [`super::UNITS_PER_TOKEN`].
    pub level: u64,
    /// Lifetime in milliseconds, counted by the pool from when it sent the
    /// request.
    pub ttl_ms: u32,
    /// Milliseconds until the lease of another pool ends; 0 when no other pool
    /// holds it.
    pub busy_ms: u32,
    /// The pool that holds the lease.
    pub holder: PoolRef,
}

/// What a pool hands over to its successor.
#[derives::value]
#[derive(Eq, Default)]
pub struct PoolHandover {
    /// Level of its bucket, in units of [`super::UNITS_PER_TOKEN`].
    pub level: u64,
    /// Tokens that its borrowers may still spend.
    pub lent_count: u64,
    /// Its leases.
    pub leases: Vec<HandedOverLease>,
}

/// Lease in a [`PoolHandover`].
#[derives::value]
#[derive(Eq)]
pub struct HandedOverLease {
    /// Node id of the owner.
    pub owner: String,
    /// Pool to which the owner granted it.
    pub holder_id: u64,
    /// Slices whose share is leased.
    pub slice_count: u16,
    /// Remaining lifetime in milliseconds, counted by the successor from when
    /// it sent the request.
    pub left_ms: u32,
}

/// Request of a node to a pool for tokens, with a report on earlier batches.
#[derives::value]
#[derive(Eq)]
pub struct BorrowRequest {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The requesting process.
    pub borrower: Process,
    /// Pool that the next three fields refer to.
    pub pool_id: u64,
    /// Latest batch of this process that reached the borrower.
    pub last_batch_number: u64,
    /// Unspent tokens of batches up to `last_loan`.
    pub held_count: u32,
    /// Tokens of these batches that this message returns unspent.
    pub returned_count: u32,
    /// Waiting requests.
    pub need_count: u32,
    /// Requests expected soon; tokens for them are limited when the bucket is
    /// low.
    pub extra_count: u32,
}

/// Response of a pool to a borrower.
#[derives::key]
#[derive(Default)]
pub struct BorrowResponse {
    /// Id of the responding pool.
    pub pool_id: u64,
    /// Number of the batch; increases with each batch.
    pub batch_number: u64,
    /// Tokens lent.
    pub granted_count: u32,
    /// Lifetime in milliseconds, counted by the borrower from when it sent the
    /// request.
    pub ttl_ms: u32,
    /// Milliseconds to wait before the next request, if the pool lent less than
    /// needed; else 0.
    pub empty_for_ms: u32,
}
