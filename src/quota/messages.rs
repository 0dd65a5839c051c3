//! What owners, banks and borrowers tell each other.

use crate::model::WorkspaceKey;

/// A process of a node; a replacement in the same slot has another start.
#[derives::value]
#[derive(Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Name of its slot.
    pub node_id: String,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// A bank of one workspace.
#[derives::value]
#[derive(Eq, Default)]
pub struct PoolRef {
    /// Node on which it is.
    pub node_id: String,
    /// Random number, drawn anew by a restart and when the bank hands over.
    pub bank_id: u64,
}

/// A bank asks an owner for its share of a workspace.
#[derives::value]
#[derive(Eq)]
pub struct LeaseRequest {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The asking bank.
    pub bank: PoolRef,
    /// Bank that handed its lease over to the asking one; 0 when none did.
    pub predecessor_id: u64,
}

/// An owner's answer to a bank.
#[derives::value]
#[derive(Eq, Default)]
pub struct LeaseResponse {
    /// Slices whose share is leased; 0 when nothing is granted.
    pub slice_count: u16,
    /// Level moved from the owner's bucket, in units of
    /// [`super::UNITS_PER_TOKEN`].
    pub level: u64,
    /// Lifetime, counted by the bank from when it asked.
    pub ttl_ms: u32,
    /// When to ask again, where another bank holds the lease.
    pub busy_ms: u32,
    /// That other bank.
    pub holder: PoolRef,
}

/// What a bank that is one no longer hands over to its successor.
#[derives::value]
#[derive(Eq, Default)]
pub struct PoolHandover {
    /// Level of its bucket.
    pub level: u64,
    /// Tokens that its borrowers may still spend.
    pub lent_count: u64,
    /// Its leases.
    pub leases: Vec<HandedOverLease>,
}

/// A lease in an [`Estate`].
#[derives::value]
#[derive(Eq)]
pub struct HandedOverLease {
    /// The owner.
    pub owner: String,
    /// Bank for which the owner holds it.
    pub holder_id: u64,
    /// Slices whose share is leased.
    pub slice_count: u16,
    /// Lifetime left, counted by the successor from when it asked.
    pub left_ms: u32,
}

/// A node asks a bank for tokens and states what became of earlier ones.
#[derives::value]
#[derive(Eq)]
pub struct BorrowRequest {
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The asking node.
    pub borrower: Process,
    /// Bank that the next three fields speak about.
    pub bank_id: u64,
    /// Last loan of this process that reached the borrower.
    pub last_loan: u64,
    /// Tokens of loans up to `last_loan` that are not spent yet.
    pub held_count: u32,
    /// Tokens of these loans that go back unspent with this message.
    pub returned_count: u32,
    /// Requests that wait.
    pub need_count: u32,
    /// Requests expected soon; granted only out of plenty.
    pub extra_count: u32,
}

/// A bank's answer to a borrower.
#[derives::key]
#[derive(Default)]
pub struct BorrowResponse {
    /// Random number of the answering bank.
    pub bank_id: u64,
    /// Number of the loan; grows with each.
    pub loan: u64,
    /// Tokens lent.
    pub granted_count: u32,
    /// Lifetime, counted by the borrower from when it asked.
    pub ttl_ms: u32,
    /// When the bank expects the next token, if it lent less than needed.
    pub empty_for_ms: u32,
}
