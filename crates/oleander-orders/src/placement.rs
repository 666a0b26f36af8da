//! Rendezvous of many targets over many hosts with one hash a name.

use oleander_core::{HostId, TargetId, hash};

/// Finishing multipliers of a 64-bit mixer.
const MIX: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// The live hosts with their hashes.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    mine: Option<u64>,
    others: Vec<u64>,
}

impl Placement {
    pub(crate) fn new(me: &HostId, hosts: &[HostId]) -> Self {
        let hash_of = |host: &HostId| hash::hash_parts(&[host.as_str()]);
        let mine = hosts.contains(me).then(|| hash_of(me));
        let others = hosts.iter().filter(|host| *host != me).map(hash_of).collect();
        Self { mine, others }
    }

    /// Whether this host orders the target.
    pub(crate) fn owns(&self, target: &TargetId) -> bool {
        self.owns_key(target.as_str())
    }

    /// Whether this host does the work of `key`.
    pub(crate) fn owns_key(&self, key: &str) -> bool {
        let key = hash::hash_parts(&[key]);
        let Some(mine) = self.mine else { return false };
        let score = mix(key ^ mine);
        self.others.iter().all(|other| mix(key ^ other) < score)
    }
}

const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(MIX[0]);
    let value = (value ^ (value >> 27)).wrapping_mul(MIX[1]);
    value ^ (value >> 31)
}
