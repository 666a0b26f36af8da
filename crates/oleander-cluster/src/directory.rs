//! Selects the addresses that callers connect to.
//!
//! Callers cache the list for seconds and pick addresses at random from it. A host that is failing
//! or leaving must therefore be removed early, and a single healthy host in a data centre must not
//! receive all callers of that data centre. A host that starts takes all listed ones for candidates;
//! only those that may have started as lately may be unknown to the others.

use std::net::SocketAddr;

use oleander_core::{Span, ZoneId};
use oleander_members::MemberState;

/// With fewer hosts than this in the caller's data centre, hosts of other data centres are added.
const MIN_LOCAL_HOSTS: usize = 2;
/// Maximum length of the list; callers use no more.
const MAX_ADDRESSES: usize = 64;
/// Maximum time for which callers may cache a list. A leaving host must be out of all cached lists
/// well before it stops, even if a caller keeps one three times as long.
const MAX_TTL: Span = Span::from_millis(1_500);

/// Groups of member states by preference; the first group with any host is used.
const STATE_PREFERENCE: [&[MemberState]; 3] =
    [&[MemberState::Live, MemberState::Candidate], &[MemberState::Suspect], &[MemberState::Failed]];

/// A host that serves callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Address for callers.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its state in this host's view.
    pub state: MemberState,
}

/// A list of addresses for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    /// Addresses to connect to.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the list.
    pub ttl: Span,
}

impl Directory {
    /// Selects among `hosts` for a caller in `zone`; `max_ttl` limits how long the list is cached.
    ///
    /// Suspected hosts are left out while there are live ones. Failed hosts are listed only if
    /// there are no others, since this host may be the one that is disconnected.
    #[must_use]
    pub fn select(hosts: &[EntryHost], zone: &ZoneId, max_ttl: Span) -> Self {
        let mut selected: Vec<&EntryHost> = Vec::new();
        for states in STATE_PREFERENCE {
            if selected.is_empty() {
                let matching = hosts.iter().filter(|host| states.contains(&host.state));
                selected = matching.collect();
            }
        }
        let local = selected.iter().filter(|host| host.zone == *zone).count();
        if local >= MIN_LOCAL_HOSTS {
            selected.retain(|host| host.zone == *zone);
        }
        let mut addresses: Vec<SocketAddr> =
            selected.into_iter().map(|host| host.address).collect();
        addresses.truncate(MAX_ADDRESSES);
        Self { addresses, ttl: MAX_TTL.min(max_ttl) }
    }
}
