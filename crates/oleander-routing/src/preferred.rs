//! Assigns targets to hosts, so that most of a target's work comes from one host.
//!
//! Load can rise faster than hosts exchange their counts: a host knows its own work exactly, and
//! that of its peers late. Each target is therefore preferred by one host of its data centre. Other
//! hosts send there only when their own preferred targets are full.

use oleander_core::{HostId, TargetId, ZoneId};

/// The targets in `zone` that `host` prefers; `hosts` are all hosts of the data centre.
///
/// Hosts with the same lists agree on the assignment. Targets are assigned in turn, so that the
/// numbers of targets per host differ by at most one.
#[must_use]
pub fn preferred_targets<'a>(
    host: &HostId,
    hosts: &[HostId],
    zone: &ZoneId,
    targets: impl Iterator<Item = (&'a TargetId, &'a ZoneId)>,
) -> Vec<TargetId> {
    let mut hosts: Vec<&HostId> = hosts.iter().collect();
    hosts.sort();
    hosts.dedup();
    let Some(position) = hosts.iter().position(|other| *other == host) else { return Vec::new() };
    let local = targets.filter(|(_, target_zone)| *target_zone == zone);
    let mut local: Vec<&TargetId> = local.map(|(target, _)| target).collect();
    local.sort();
    let own = local.into_iter().skip(position).step_by(hosts.len());
    own.cloned().collect()
}
