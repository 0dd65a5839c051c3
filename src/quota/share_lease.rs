//! Who may use a node's share of the rates. Pure state: performs no I/O and reads
//! no clock.
//!
//! A divider counts a share from the report that confirms one of its replies, and
//! until [`SHARE_LEASE_US`] after it sent that reply. The node counts from when
//! the reply arrived, which is later, whatever was lost or delayed. It uses its
//! share itself, or confirms it to another divider, once the tokens that the
//! share has backed can no longer be spent.

/// How long a reply of a divider lends the share of the node to it.
pub const SHARE_LEASE_US: u64 = 450_000;

/// How long granted tokens can be spent. The node counts from when it sent the
/// report, the divider from when it granted them.
pub const TOKEN_TTL_US: u64 = 300_000;

/// Share of one process.
#[derive(Debug)]
pub struct ShareLease {
    /// Division that the share is lent to; `None` if unknown, since an earlier
    /// process may have lent it.
    division_id: Option<u64>,
    until_us: u64,
}

/// Reply of a division.
#[derive(Debug, Clone, Copy)]
pub struct DivisionReply<'a> {
    /// Random id of the division.
    pub division_id: u64,
    /// Divisions that have handed over to it, directly or not.
    pub predecessor_ids: &'a [u64],
    /// Whether an earlier process of the node lent it the share, and cannot have
    /// used it otherwise since.
    pub has_share: bool,
}

impl ShareLease {
    /// Lease of a process that started at `now_us`.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            division_id: None,
            until_us: now_us + SHARE_LEASE_US,
        }
    }

    /// Records a reply that arrives now. The share stays with another division
    /// until its lease is over.
    pub fn record_reply(&mut self, reply: DivisionReply<'_>, now_us: u64) {
        let is_same = match self.division_id {
            Some(division_id) => {
                division_id == reply.division_id || reply.predecessor_ids.contains(&division_id)
            }
            None => reply.has_share,
        };
        if is_same || self.is_free(now_us) {
            self.division_id = Some(reply.division_id);
            self.until_us = now_us + SHARE_LEASE_US;
        }
    }

    /// Whether the share is lent to this division.
    #[must_use]
    pub fn is_lent_to(&self, division_id: u64, now_us: u64) -> bool {
        self.division_id == Some(division_id) && now_us < self.until_us
    }

    /// Whether the share has been lent or free since the process started.
    #[must_use]
    pub const fn was_used(&self, now_us: u64) -> bool {
        self.division_id.is_some() || self.is_free(now_us)
    }

    /// Time from which nobody else uses the share.
    #[must_use]
    pub const fn free_from_us(&self) -> u64 {
        self.until_us + TOKEN_TTL_US
    }

    /// Milliseconds until a share that is lent to nobody can be used again.
    #[must_use]
    pub fn idle_for_ms(&self, now_us: u64) -> u32 {
        if self.division_id.is_some() && now_us < self.until_us {
            return 0;
        }
        let idle_us = self.free_from_us().saturating_sub(now_us);
        u32::try_from(idle_us.div_ceil(1000)).unwrap_or(u32::MAX)
    }

    /// Whether the node may use the share itself.
    #[must_use]
    pub const fn is_free(&self, now_us: u64) -> bool {
        now_us >= self.free_from_us()
    }
}
