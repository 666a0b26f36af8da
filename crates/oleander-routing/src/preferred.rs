//! Divides targets among hosts, so that most of a target's work comes from one host.
//!
//! Answers a load that jumps within less time than hosts take to tell each other of it: a host
//! knows its own work exactly and that of others late. Each target is the home of one host of its
//! data centre, which sends there first; others send there when their own homes are full.

use oleander_core::{HostId, TargetId, ZoneId};

/// The targets in `zone` that are `host`'s homes, given all hosts of the data centre.
///
/// Hosts that see the same lists agree. The targets of a data centre are dealt in turn, so that
/// shares differ by one at most.
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
    let Some(place) = hosts.iter().position(|other| *other == host) else { return Vec::new() };
    let near = targets.filter(|(_, at)| *at == zone);
    let mut near: Vec<&TargetId> = near.map(|(target, _)| target).collect();
    near.sort();
    let own = near.into_iter().skip(place).step_by(hosts.len());
    own.cloned().collect()
}
