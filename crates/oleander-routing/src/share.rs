//! Division of slots among hosts that see the same counts.

/// Largest `level` for which the sum of `min(count, level)` fits into `room`.
///
/// Hosts that cut their counts down to the level need not know whether the others already have.
#[must_use]
pub fn cap_level(room: u32, counts: &[u32]) -> u32 {
    let mut sorted = counts.to_vec();
    sorted.sort_unstable();
    let mut left = room;
    for (index, &count) in sorted.iter().enumerate() {
        let holders = (sorted.len() - index) as u32;
        let even = left / holders;
        if count > even {
            return even;
        }
        left -= count;
    }
    sorted.last().copied().unwrap_or(0)
}

/// Largest `level` for which the sum of `max(count, level)` fits into `room`; zero if none does.
///
/// Hosts that fill up to the level at the same moment fit beside each other.
#[must_use]
pub fn floor_level(room: u32, counts: &[u32]) -> u32 {
    let mut sorted = counts.to_vec();
    sorted.sort_unstable();
    let mut left = room;
    while let Some(&most) = sorted.last() {
        let level = left / sorted.len() as u32;
        if level >= most {
            return level;
        }
        left = left.saturating_sub(most);
        sorted.pop();
    }
    0
}

/// The part of `free` slots for the host of the given rank among `hosts` hosts.
///
/// The parts of all ranks sum up to `free`.
#[must_use]
pub const fn even_share(free: u32, rank: u32, hosts: u32) -> u32 {
    if hosts == 0 {
        return free;
    }
    let even = free / hosts;
    if rank < free % hosts { even + 1 } else { even }
}
