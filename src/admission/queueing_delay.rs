//! Expected queueing delay of one more request at a target.

/// Expected wait of one more request before it starts, in microseconds.
///
/// `ahead_count` requests wait that start before it. While a slot is free for it, it starts at
/// once; otherwise it needs as many ends as requests are ahead of it, plus one for itself.
#[must_use]
pub fn queueing_delay_us(
    ahead_count: usize,
    running_count: usize,
    slot_count: u32,
    service_us: f64,
) -> u32 {
    let slot_count = slot_count.max(1);
    let free_count = (slot_count as usize).saturating_sub(running_count);
    let excess_count = (ahead_count + 1).saturating_sub(free_count);
    // A conversion of a float saturates.
    (excess_count as f64 * service_us / f64::from(slot_count)) as u32
}
