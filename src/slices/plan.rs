//! Decides which changes a node makes to the slice table: clear a suspicion,
//! take over slices of a slot that is gone, balance slices between members.

use {
    super::{
        SliceIndex,
        share::{eligible, shares},
        steps::{SliceTransfer, Step},
        table::{Section, SliceTable, Slot, SlotIndex},
    },
    crate::{
        freshness::{DRIFT_MARGIN_MS, FRESH_LIMIT_MS, Freshness, REPLY_LIMIT_MS},
        membership::{Member, MemberState, View},
    },
    std::collections::HashMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Time that a slot must have been seen as suspected before it is taken over.
///
/// A suspected owner that is alive uses its slices at most [`FRESH_LIMIT_MS`]
/// after a poll of the platform, or [`REPLY_LIMIT_MS`] after the probes in
/// whose replies every zone reported the platform unreachable; both counted on
/// its own clock.
pub const TAKEOVER_WAIT_MS: u64 = FRESH_LIMIT_MS + REPLY_LIMIT_MS + DRIFT_MARGIN_MS;

/// Time that a replacement waits before it claims its slot from a predecessor
/// at another address.
pub const SELF_CLAIM_WAIT_MS: u64 = TAKEOVER_WAIT_MS;

/// Time that a slot's node must be missing in the membership view before the
/// slot counts as gone. A node that has just started knows few members yet.
pub const MISSING_WAIT_MS: u64 = 15_000;

/// Minimum time between two suspicions of the same slot by the same node.
///
/// A live owner clears the suspicion at once. If it reaches the platform but
/// gossip does not reach it, the slot would be suspected and cleared
/// continuously: a hundred table writes per second, an owner that can rarely
/// use its slices, and no slices transferred to new members.
pub const SUSPECT_PERIOD_MS: u64 = 3000;

/// Minimum time between two transfers by the same node, so that new members
/// receive slices in batches.
const TRANSFER_PERIOD_MS: u64 = 2000;

/// Input of one planning run.
#[derive(Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Slice table in force.
    pub table: &'a SliceTable,
    /// Membership view.
    pub view: &'a View,
    /// Current freshness.
    pub freshness: Freshness,
    /// This node is draining and transfers all its slices.
    pub draining: bool,
    /// Monotonic time.
    pub now_ms: u64,
}

/// Plans the changes of one node. Pure state: performs no I/O and reads no
/// clock.
#[derive(Debug, Clone)]
pub struct Planner {
    own_slot: Slot,
    /// Epoch of each slot's suspicion and when this node first saw it, in ms.
    suspicions: HashMap<String, (u64, u64)>,
    /// First time at which each slot's node was missing in the view.
    missing_since_ms: HashMap<String, u64>,
    /// Last time at which this node suspected each slot.
    last_suspected_ms: HashMap<String, u64>,
    last_transfer_ms: Option<u64>,
}

impl Planner {
    /// A planner for the node in `own_slot`.
    #[must_use]
    pub fn new(own_slot: Slot) -> Self {
        Self {
            own_slot,
            suspicions: HashMap::new(),
            missing_since_ms: HashMap::new(),
            last_suspected_ms: HashMap::new(),
            last_transfer_ms: None,
        }
    }

    /// The slot of this node.
    #[must_use]
    pub const fn own_slot(&self) -> &Slot {
        &self.own_slot
    }

    /// Steps for one write; empty if nothing should change.
    pub fn plan(&mut self, input: PlannerInput<'_>) -> Vec<Step> {
        self.observe_suspicions(input);
        self.observe_missing(input);
        if input.freshness != Freshness::Fresh {
            return vec![];
        }
        if let Some(step) = self.plan_own_slot(input) {
            return vec![step];
        }
        let takeovers = self.plan_takeovers(input);
        if !takeovers.is_empty() {
            return takeovers;
        }
        self.plan_transfers(input)
    }

    // The wait starts when this node sees the suspicion, on its own clock, and
    // restarts if the suspicion was cleared and set again.
    fn observe_suspicions(&mut self, input: PlannerInput<'_>) {
        let mut suspicions = HashMap::new();
        for slot in input.table.slots() {
            let Some(epoch) = slot.suspected_epoch else {
                continue;
            };
            let known = self.suspicions.get(&slot.node_id);
            let known = known.filter(|(known_epoch, _)| *known_epoch == epoch);
            let seen_ms = known.map_or(input.now_ms, |(_, seen_ms)| *seen_ms);
            suspicions.insert(slot.node_id.clone(), (epoch, seen_ms));
        }
        self.suspicions = suspicions;
    }

    fn observe_missing(&mut self, input: PlannerInput<'_>) {
        let slots = input.table.slots().iter();
        let missing = slots.filter(|slot| input.view.member(&slot.node_id).is_none());
        let since_ms = missing.map(|slot| {
            let first_missing_ms = self.missing_since_ms.get(&slot.node_id).copied();
            (
                slot.node_id.clone(),
                first_missing_ms.unwrap_or(input.now_ms),
            )
        });
        self.missing_since_ms = since_ms.collect();
    }

    /// Whether the slot's process is gone, as far as this node knows.
    fn is_gone(&self, input: PlannerInput<'_>, slot: &Slot) -> bool {
        match input.view.member(&slot.node_id) {
            // Draining members transfer their slices themselves.
            Some(member) => matches!(member.state, MemberState::Dead | MemberState::Left),
            None => self
                .missing_since_ms
                .get(&slot.node_id)
                .is_some_and(|since_ms| input.now_ms >= since_ms + MISSING_WAIT_MS),
        }
    }

    fn has_waited(&self, node_id: &str, now_ms: u64, wait_ms: u64) -> bool {
        let suspicion = self.suspicions.get(node_id);
        suspicion.is_some_and(|(_, seen_ms)| now_ms >= seen_ms + wait_ms)
    }

    fn plan_own_slot(&self, input: PlannerInput<'_>) -> Option<Step> {
        let table = input.table;
        let slot = table.slot(table.find(&self.own_slot.node_id)?);
        let is_suspected = slot.suspected_epoch.is_some();
        if slot.ip == self.own_slot.ip {
            return is_suspected.then_some(Step::ClearSuspicion);
        }
        let node_id = &self.own_slot.node_id;
        if !is_suspected {
            return Some(Step::Suspect {
                node_id: node_id.clone(),
            });
        }
        self.has_waited(node_id, input.now_ms, SELF_CLAIM_WAIT_MS)
            .then_some(Step::Claim)
    }

    fn plan_takeovers(&mut self, input: PlannerInput<'_>) -> Vec<Step> {
        let slots = input.table.slots().iter();
        let gone = slots.filter(|slot| self.is_gone(input, slot));
        let steps = gone.filter_map(|slot| self.plan_takeover(input, slot));
        let steps: Vec<Step> = steps.collect();
        for step in &steps {
            if let Step::Suspect { node_id } = step {
                self.last_suspected_ms.insert(node_id.clone(), input.now_ms);
            }
        }
        steps
    }

    fn plan_takeover(&self, input: PlannerInput<'_>, slot: &Slot) -> Option<Step> {
        let sections = self.takeover_sections(input, slot);
        if sections.is_empty() {
            return None;
        }
        let node_id = slot.node_id.clone();
        if slot.suspected_epoch.is_none() {
            let last_ms = self.last_suspected_ms.get(&node_id);
            let may_suspect =
                last_ms.is_none_or(|last_ms| input.now_ms >= last_ms + SUSPECT_PERIOD_MS);
            return may_suspect.then_some(Step::Suspect { node_id });
        }
        self.has_waited(&node_id, input.now_ms, TAKEOVER_WAIT_MS)
            .then_some(Step::TakeOver { node_id, sections })
    }

    /// Sections that this node should take over from a slot: quota only if it
    /// is in the slot's zone, keys also from another zone if no usable member
    /// is left in the slot's zone.
    fn takeover_sections(&self, input: PlannerInput<'_>, slot: &Slot) -> Vec<Section> {
        let same_zone_owner =
            responsible_member(input.view, slot, |member| member.zone == slot.zone);
        let (new_owner, sections) = match same_zone_owner {
            Some(member) => (Some(member), &Section::ALL[..]),
            None => (
                responsible_member(input.view, slot, |_| true),
                &[Section::Keys][..],
            ),
        };
        if new_owner.is_none_or(|new_owner| new_owner.node_id != self.own_slot.node_id) {
            return vec![];
        }
        let Some(slot_index) = input.table.find(&slot.node_id) else {
            return vec![];
        };
        let owns = |section: &Section| input.table.owned(*section, slot_index).next().is_some();
        sections.iter().copied().filter(owns).collect()
    }

    fn plan_transfers(&mut self, input: PlannerInput<'_>) -> Vec<Step> {
        let since_transfer_ms = self.last_transfer_ms.map(|last_ms| input.now_ms - last_ms);
        if !input.draining && since_transfer_ms.is_some_and(|ms| ms < TRANSFER_PERIOD_MS) {
            return vec![];
        }
        let Some(own_index) = input
            .table
            .usable_slot(&self.own_slot.node_id, self.own_slot.ip)
        else {
            return vec![];
        };
        let steps: Vec<Step> = Section::ALL
            .into_iter()
            .flat_map(|section| section_transfers(self, input, own_index, section))
            .collect();
        if !steps.is_empty() {
            self.last_transfer_ms = Some(input.now_ms);
        }
        steps
    }
}

/// The member that takes over a slot if it is gone. Nodes with the same
/// membership view select the same member, so that only one of them writes.
fn responsible_member<'a>(
    view: &'a View,
    slot: &Slot,
    is_allowed: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let members = eligible(view).filter(|m| m.node_id != slot.node_id && is_allowed(m));
    members.max_by_key(|member| {
        let pair = format!("{} {}", slot.node_id, member.node_id);
        xxh3_64(pair.as_bytes())
    })
}

/// Number of slices that a member lacks.
struct Deficit<'a> {
    member: &'a Member,
    slice_count: usize,
}

/// Transfers of this node's slices in one section.
///
/// Owners above their share fill the deficits of members below theirs. All
/// owners use the same order, so that those that plan at the same time fill
/// different deficits.
fn section_transfers(
    planner: &Planner,
    input: PlannerInput<'_>,
    own_index: SlotIndex,
    section: Section,
) -> Vec<Step> {
    let table = input.table;
    let shares = shares(table, input.view, section);
    let counts = table.counts(section);
    let slots = table.slots().iter().zip(&counts);
    let owned_counts: HashMap<&str, usize> = slots
        .map(|(slot, count)| (slot.node_id.as_str(), *count))
        .collect();
    let deficits = shares.iter().filter_map(|share| {
        let owned_count = owned_counts
            .get(share.member.node_id.as_str())
            .copied()
            .unwrap_or(0);
        let slice_count = share.slice_count.checked_sub(owned_count)?;
        (slice_count > deficit_tolerance(share.slice_count, owned_count)).then_some(Deficit {
            member: share.member,
            slice_count,
        })
    });
    let deficits: Vec<Deficit<'_>> = deficits.collect();
    let surplus = |slot_index: SlotIndex| {
        let node_id = &table.slot(slot_index).node_id;
        let share = shares.iter().find(|share| share.member.node_id == *node_id);
        let share_count = share.map_or(0, |share| share.slice_count);
        counts[slot_index.index()].saturating_sub(share_count)
    };
    let own_surplus = if input.draining {
        counts[own_index.index()]
    } else {
        surplus(own_index)
    };
    let earlier_owners = (0..own_index.0).map(SlotIndex);
    let earlier_owners =
        earlier_owners.filter(|slot_index| !planner.is_gone(input, table.slot(*slot_index)));
    let skip_count = earlier_owners.map(surplus).sum();
    let mut steps = fill_deficits(
        table,
        own_index,
        section,
        &deficits,
        skip_count,
        own_surplus,
    );
    if steps.is_empty() && (input.draining || has_no_share(&shares, table.slot(own_index))) {
        steps = distribute_all(input, own_index, section, &shares);
    }
    steps
}

/// Largest deficit that is not filled. Following every join would mean constant
/// table writes. A member without slices always receives its share.
const fn deficit_tolerance(share_count: usize, owned_count: usize) -> usize {
    if owned_count == 0 { 0 } else { share_count / 8 }
}

fn has_no_share(shares: &[super::share::Share<'_>], own_slot: &Slot) -> bool {
    !shares
        .iter()
        .any(|share| share.member.node_id == own_slot.node_id)
}

/// Transfers up to `own_surplus` slices, after earlier owners have covered the
/// first `skip_count` slices of the deficits.
fn fill_deficits(
    table: &SliceTable,
    own_index: SlotIndex,
    section: Section,
    deficits: &[Deficit<'_>],
    mut skip_count: usize,
    own_surplus: usize,
) -> Vec<Step> {
    let mut slices = table.owned(section, own_index).take(own_surplus);
    let mut steps = Vec::new();
    for deficit in deficits {
        let skipped_count = skip_count.min(deficit.slice_count);
        skip_count -= skipped_count;
        let slices = slices.by_ref().take(deficit.slice_count - skipped_count);
        let slices: Vec<SliceIndex> = slices.map(|(slice, _)| slice).collect();
        if !slices.is_empty() {
            steps.push(transfer(section, slices, deficit.member));
        }
    }
    steps
}

/// Transfers all own slices in equal parts to the other owners, to those in the
/// own zone if there are any.
fn distribute_all(
    input: PlannerInput<'_>,
    own_index: SlotIndex,
    section: Section,
    shares: &[super::share::Share<'_>],
) -> Vec<Step> {
    let own_slot = input.table.slot(own_index);
    let others = shares.iter().map(|share| share.member);
    let others = others.filter(|member| member.node_id != own_slot.node_id);
    let (same_zone, other_zones): (Vec<_>, Vec<_>) =
        others.partition(|member| member.zone == own_slot.zone);
    let receivers = if same_zone.is_empty() {
        other_zones
    } else {
        same_zone
    };
    let owned: Vec<SliceIndex> = input
        .table
        .owned(section, own_index)
        .map(|(slice, _)| slice)
        .collect();
    let Some(chunk_length) = owned.len().checked_div(receivers.len()) else {
        return vec![];
    };
    let chunks = owned.chunks(chunk_length + 1);
    let pairs = chunks.zip(receivers);
    pairs
        .map(|(slices, receiver)| transfer(section, slices.to_vec(), receiver))
        .collect()
}

fn transfer(section: Section, slices: Vec<SliceIndex>, to: &Member) -> Step {
    Step::Transfer(SliceTransfer {
        section,
        slices,
        to: Slot::new(to),
        to_started_unix_ms: to.started_unix_ms,
    })
}
