//! Rendezvous hashing of targets to hosts.
//!
//! Each name is hashed once; the score of a pair mixes the two hashes.

use oleander_core::{HostId, TargetId, hash};

/// Multipliers of the SplitMix64 finalizer.
const MIX_MULTIPLIERS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// Hashes of the live hosts.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    own: Option<u64>,
    others: Vec<u64>,
}

impl Placement {
    pub(crate) fn new(own: &HostId, hosts: &[HostId]) -> Self {
        let hash_of = |host: &HostId| hash::hash_parts(&[host.as_str()]);
        let own_hash = hosts.contains(own).then(|| hash_of(own));
        let others = hosts.iter().filter(|host| *host != own).map(hash_of).collect();
        Self { own: own_hash, others }
    }

    /// Whether this host owns the target.
    pub(crate) fn owns(&self, target: &TargetId) -> bool {
        self.owns_key(target.as_str())
    }

    /// Whether `key` has its highest score on this host; false if this host is not live.
    pub(crate) fn owns_key(&self, key: &str) -> bool {
        let key = hash::hash_parts(&[key]);
        let Some(own) = self.own else { return false };
        let score = mix(key ^ own);
        self.others.iter().all(|other| mix(key ^ other) < score)
    }
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(MIX_MULTIPLIERS[0]);
    let value = (value ^ (value >> 27)).wrapping_mul(MIX_MULTIPLIERS[1]);
    value ^ (value >> 31)
}
