//! Fair shares of slots for hosts that compute them from the same counts.
//!
//! A count is the number of slots that one host uses. A level is one number of slots that applies
//! to every host: as a floor, a host below it may use more, up to the level; as a cap, a host above
//! it must reduce its use to the level.

/// Level to which hosts reduce their counts if these exceed `capacity`: the largest `level` for
/// which the sum of `min(count, level)` is at most `capacity`.
///
/// This is the max-min fair cap on the counts; if all counts fit, it is the largest count. A host
/// can reduce its count to the level without knowing whether the others already have.
#[must_use]
pub fn cap_level(capacity: u32, counts: &[u32]) -> u32 {
    let mut sorted = counts.to_vec();
    sorted.sort_unstable();
    let mut rest = capacity;
    for (index, &count) in sorted.iter().enumerate() {
        let hosts = (sorted.len() - index) as u32;
        let share = rest / hosts;
        if count > share {
            return share;
        }
        rest -= count;
    }
    sorted.last().copied().unwrap_or(0)
}

/// Level to which hosts may raise their counts: the largest `level` for which the sum of
/// `max(count, level)` is at most `capacity`; zero if none is.
///
/// Hosts that raise their counts to the level at the same time stay within the capacity.
#[must_use]
pub fn floor_level(capacity: u32, counts: &[u32]) -> u32 {
    let mut sorted = counts.to_vec();
    sorted.sort_unstable();
    let mut rest = capacity;
    while let Some(&max) = sorted.last() {
        let level = rest / sorted.len() as u32;
        if level >= max {
            return level;
        }
        rest = rest.saturating_sub(max);
        sorted.pop();
    }
    0
}

/// Even share of `free` slots for the host of the given rank among `hosts` hosts: the quotient,
/// and one of the remaining slots for each of the lowest ranks.
///
/// The shares of all ranks add up to `free`.
#[must_use]
pub const fn even_share(free: u32, rank: u32, hosts: u32) -> u32 {
    if hosts == 0 {
        return free;
    }
    let share = free / hosts;
    if rank < free % hosts { share + 1 } else { share }
}
