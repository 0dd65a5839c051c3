//! What a node changes in the slice table.

use {
    super::{
        SliceIndex,
        share::{eligible, shares},
        steps::{Moved, Step},
        table::{Section, SliceTable, Slot, SlotKey},
    },
    crate::{
        freshness::{DRIFT_MARGIN_MS, FRESH_LIMIT_MS, Freshness, REPLY_LIMIT_MS},
        membership::{Member, View},
    },
    std::collections::HashMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// How long a slot must have been seen as suspected before it is taken over.
///
/// A suspected owner that is alive has looked at the platform at most
/// [`FRESH_LIMIT_MS`] ago, or hears from every zone that nobody reaches it,
/// which is at most [`REPLY_LIMIT_MS`] old; both counted on another clock.
pub const TAKEOVER_WAIT_MS: u64 = FRESH_LIMIT_MS + REPLY_LIMIT_MS + DRIFT_MARGIN_MS;

/// How long a replacement waits before it claims its own slot from a
/// predecessor at another address.
pub const SELF_CLAIM_WAIT_MS: u64 = TAKEOVER_WAIT_MS;

/// Least time between two moves by the same node, so that joiners are served
/// in batches.
const GIVE_PERIOD_MS: u64 = 2000;

/// How long a node that has just started suspects nobody: its view of the
/// members may still lack most of them.
pub const SETTLE_MS: u64 = 5000;

/// How long a slot that cleared its mark is not suspected again. Its owner is
/// alive and reaches the platform; a node that does not see it is mistaken,
/// and marking it over and over would fill the platform with writes.
const RESUSPECT_MS: u64 = 30_000;

/// What a node knows when it plans.
#[derive(Clone, Copy)]
pub struct Observed<'a> {
    /// The table in force.
    pub table: &'a SliceTable,
    /// The members.
    pub view: &'a View,
    /// Freshness now.
    pub freshness: Freshness,
    /// This node takes no new work and wants to get rid of its slices.
    pub draining: bool,
    /// Monotonic time.
    pub now_ms: u64,
}

/// Plans the changes of one node; no I/O, no clock.
#[derive(Debug, Clone)]
pub struct Planner {
    own: Slot,
    /// First sight of each mark, by slot and the epoch that set it.
    marks: HashMap<String, (u64, u64)>,
    last_give_ms: Option<u64>,
    /// When this node suspected a slot last.
    suspected_ms: HashMap<String, u64>,
}

impl Planner {
    /// Plans for the node in this slot.
    #[must_use]
    pub fn new(own: Slot) -> Self {
        Self {
            own,
            marks: HashMap::new(),
            last_give_ms: None,
            suspected_ms: HashMap::new(),
        }
    }

    /// The slot of this node.
    #[must_use]
    pub const fn own(&self) -> &Slot {
        &self.own
    }

    /// Steps for one write; none when nothing is to be changed.
    pub fn plan(&mut self, observed: Observed<'_>) -> Vec<Step> {
        self.observe_marks(observed);
        if observed.freshness != Freshness::Fresh {
            return vec![];
        }
        if let Some(step) = self.plan_own_slot(observed) {
            return vec![step];
        }
        let takeovers = self.plan_takeovers(observed);
        if !takeovers.is_empty() {
            return takeovers;
        }
        self.plan_gives(observed)
    }

    // The wait is counted from when this node itself saw the mark, on its own
    // clock: a mark that was cleared and set again starts anew.
    fn observe_marks(&mut self, observed: Observed<'_>) {
        let mut marks = HashMap::new();
        for slot in observed.table.slots() {
            let Some(epoch) = slot.mark_epoch else {
                continue;
            };
            let known = self.marks.get(&slot.node_id);
            let known = known.filter(|(known_epoch, _)| *known_epoch == epoch);
            let seen_ms = known.map_or(observed.now_ms, |(_, seen_ms)| *seen_ms);
            marks.insert(slot.node_id.clone(), (epoch, seen_ms));
        }
        self.marks = marks;
    }

    fn waited(&self, node_id: &str, now_ms: u64, wait_ms: u64) -> bool {
        let mark = self.marks.get(node_id);
        mark.is_some_and(|(_, seen_ms)| now_ms >= seen_ms + wait_ms)
    }

    fn plan_own_slot(&self, observed: Observed<'_>) -> Option<Step> {
        let table = observed.table;
        let slot = table.slot(table.find(&self.own.node_id)?);
        let is_marked = slot.mark_epoch.is_some();
        if slot.ip == self.own.ip {
            return is_marked.then_some(Step::ClearMark);
        }
        let node_id = &self.own.node_id;
        if !is_marked {
            return Some(Step::Suspect {
                node_id: node_id.clone(),
            });
        }
        self.waited(node_id, observed.now_ms, SELF_CLAIM_WAIT_MS)
            .then_some(Step::Claim)
    }

    fn plan_takeovers(&mut self, observed: Observed<'_>) -> Vec<Step> {
        if observed.now_ms < SETTLE_MS {
            return vec![];
        }
        let steps = self.takeovers(observed);
        for step in &steps {
            if let Step::Suspect { node_id } = step {
                self.suspected_ms.insert(node_id.clone(), observed.now_ms);
            }
        }
        steps
    }

    fn takeovers(&self, observed: Observed<'_>) -> Vec<Step> {
        let slots = observed.table.slots().iter();
        let gone = slots.filter(|slot| is_gone(observed.view, slot));
        gone.filter_map(|slot| self.plan_takeover(observed, slot))
            .collect()
    }

    fn plan_takeover(&self, observed: Observed<'_>, slot: &Slot) -> Option<Step> {
        let sections = self.takeover_sections(observed, slot);
        if sections.is_empty() {
            return None;
        }
        let node_id = slot.node_id.clone();
        if slot.mark_epoch.is_none() {
            let last_ms = self.suspected_ms.get(&node_id);
            let may = last_ms.is_none_or(|last_ms| observed.now_ms >= last_ms + RESUSPECT_MS);
            return may.then_some(Step::Suspect { node_id });
        }
        self.waited(&node_id, observed.now_ms, TAKEOVER_WAIT_MS)
            .then_some(Step::Take { node_id, sections })
    }

    /// Sections that this node should take from a slot: its quota only from
    /// inside its zone, its keys as well from elsewhere if the zone is gone.
    fn takeover_sections(&self, observed: Observed<'_>, slot: &Slot) -> Vec<Section> {
        let zone_mate = chosen(observed.view, slot, |member| member.zone == slot.zone);
        let (taker, sections) = match zone_mate {
            Some(mate) => (Some(mate), &Section::ALL[..]),
            None => (chosen(observed.view, slot, |_| true), &[Section::Keys][..]),
        };
        if taker.is_none_or(|taker| taker.node_id != self.own.node_id) {
            return vec![];
        }
        let Some(key) = observed.table.find(&slot.node_id) else {
            return vec![];
        };
        let owns = |section: &Section| observed.table.owned(*section, key).next().is_some();
        sections.iter().copied().filter(owns).collect()
    }

    fn plan_gives(&mut self, observed: Observed<'_>) -> Vec<Step> {
        let since_give = self.last_give_ms.map(|last| observed.now_ms - last);
        if !observed.draining && since_give.is_some_and(|ms| ms < GIVE_PERIOD_MS) {
            return vec![];
        }
        let Some(own) = observed.table.usable_slot(&self.own.node_id, self.own.ip) else {
            return vec![];
        };
        let steps: Vec<Step> = Section::ALL
            .into_iter()
            .flat_map(|section| gives(observed, own, section))
            .collect();
        if !steps.is_empty() {
            self.last_give_ms = Some(observed.now_ms);
        }
        steps
    }
}

/// The owner's process is gone as far as this node can tell.
fn is_gone(view: &View, slot: &Slot) -> bool {
    use crate::membership::MemberState::{Dead, Left};
    let member = view.member(&slot.node_id);
    // Draining members give their slices away themselves.
    member.is_none_or(|member| matches!(member.state, Dead | Left))
}

/// The member that looks after a slot; the same on nodes that see the same
/// members, so that one of them writes.
fn chosen<'a>(view: &'a View, slot: &Slot, may: impl Fn(&Member) -> bool) -> Option<&'a Member> {
    let members = eligible(view).filter(|m| m.node_id != slot.node_id && may(m));
    members.max_by_key(|member| {
        let pair = format!("{} {}", slot.node_id, member.node_id);
        xxh3_64(pair.as_bytes())
    })
}

struct Need<'a> {
    member: &'a Member,
    slice_count: usize,
}

/// Own slices that go to others in this section.
///
/// Owners above their share serve members below theirs, all in the same
/// order, so that owners which plan at the same time serve different needs.
fn gives(observed: Observed<'_>, own: SlotKey, section: Section) -> Vec<Step> {
    let table = observed.table;
    let shares = shares(table, observed.view, section);
    let counts = table.counts(section);
    let slots = table.slots().iter().zip(&counts);
    let have: HashMap<&str, usize> = slots
        .map(|(s, count)| (s.node_id.as_str(), *count))
        .collect();
    let needs = shares.iter().filter_map(|share| {
        let have_count = have
            .get(share.member.node_id.as_str())
            .copied()
            .unwrap_or(0);
        let slice_count = share.slice_count.checked_sub(have_count)?;
        (slice_count > tolerance(share.slice_count, have_count)).then_some(Need {
            member: share.member,
            slice_count,
        })
    });
    let needs: Vec<Need<'_>> = needs.collect();
    let surplus = |slot: SlotKey| {
        let node_id = &table.slot(slot).node_id;
        let share = shares.iter().find(|share| share.member.node_id == *node_id);
        let share_count = share.map_or(0, |share| share.slice_count);
        counts[slot.index()].saturating_sub(share_count)
    };
    let own_surplus = if observed.draining {
        counts[own.index()]
    } else {
        surplus(own)
    };
    let givers = (0..own.0).map(SlotKey);
    let givers = givers.filter(|slot| !is_gone(observed.view, table.slot(*slot)));
    let skip_count = givers.map(surplus).sum();
    let mut steps = serve(table, own, section, &needs, skip_count, own_surplus);
    if steps.is_empty() && (observed.draining || share_is_zero(&shares, table.slot(own))) {
        steps = spread(observed, own, section, &shares);
    }
    steps
}

/// Smaller differences are left alone: a table that follows every join would
/// be written all the time. Who has nothing is always served.
const fn tolerance(share_count: usize, have_count: usize) -> usize {
    if have_count == 0 { 0 } else { share_count / 8 }
}

fn share_is_zero(shares: &[super::share::Share<'_>], own: &Slot) -> bool {
    !shares
        .iter()
        .any(|share| share.member.node_id == own.node_id)
}

fn serve(
    table: &SliceTable,
    own: SlotKey,
    section: Section,
    needs: &[Need<'_>],
    mut skip_count: usize,
    own_surplus: usize,
) -> Vec<Step> {
    let mut slices = table.owned(section, own).take(own_surplus);
    let mut steps = Vec::new();
    for need in needs {
        let skipped = skip_count.min(need.slice_count);
        skip_count -= skipped;
        let slices = slices.by_ref().take(need.slice_count - skipped);
        let slices: Vec<SliceIndex> = slices.map(|(slice, _)| slice).collect();
        if !slices.is_empty() {
            steps.push(give(section, slices, need.member));
        }
    }
    steps
}

/// All own slices to the other owners, round robin; those of the own zone
/// where there are any.
fn spread(
    observed: Observed<'_>,
    own: SlotKey,
    section: Section,
    shares: &[super::share::Share<'_>],
) -> Vec<Step> {
    let own_slot = observed.table.slot(own);
    let others = shares.iter().map(|share| share.member);
    let others = others.filter(|member| member.node_id != own_slot.node_id);
    let (mates, strangers): (Vec<_>, Vec<_>) = others.partition(|m| m.zone == own_slot.zone);
    let takers = if mates.is_empty() { strangers } else { mates };
    let owned: Vec<SliceIndex> = observed
        .table
        .owned(section, own)
        .map(|(slice, _)| slice)
        .collect();
    let Some(chunk) = owned.len().checked_div(takers.len()) else {
        return vec![];
    };
    let chunks = owned.chunks(chunk + 1);
    let pairs = chunks.zip(takers);
    pairs
        .map(|(slices, taker)| give(section, slices.to_vec(), taker))
        .collect()
}

fn give(section: Section, slices: Vec<SliceIndex>, to: &Member) -> Step {
    Step::Give(Moved {
        section,
        slices,
        to: Slot::new(to),
        to_started_unix_ms: to.started_unix_ms,
    })
}
