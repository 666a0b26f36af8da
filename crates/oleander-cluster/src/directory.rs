//! Which addresses callers get.
//!
//! Answers the load of a day: callers keep an answer for seconds and draw at random from it, so
//! that a host that is failing or leaving must be out of it early, and a data centre with a single
//! sound host must not get all its callers.

use std::net::SocketAddr;

use oleander_core::{Span, ZoneId};
use oleander_members::MemberState;

/// Hosts of the caller's data centre below which the others are added.
const LEAST_NEAR: usize = 2;
/// Most addresses of an answer; callers use no more.
const MOST_ADDRESSES: usize = 64;
/// Longest time for which an answer is kept: a host that leaves must be out of all answers, also
/// of those that are kept three times as long, well before it is stopped.
const LONGEST_TTL: Span = Span::from_millis(1_500);

/// States of the hosts that are named, the first that any host is in.
const PREFERENCE: [&[MemberState]; 3] =
    [&[MemberState::Live, MemberState::Candidate], &[MemberState::Suspect], &[MemberState::Failed]];

/// A host that serves callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Its state as this host sees it.
    pub state: MemberState,
}

/// An answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Directory {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep the answer.
    pub ttl: Span,
}

impl Directory {
    /// Chooses among `candidates` for a caller in `zone`.
    ///
    /// Suspects are left out while others answer; failed hosts are named only if nothing else is
    /// known, since this host may be the one that is cut off.
    #[must_use]
    pub fn select(candidates: &[EntryHost], zone: &ZoneId, longest: Span) -> Self {
        let mut chosen: Vec<&EntryHost> = Vec::new();
        for states in PREFERENCE {
            if chosen.is_empty() {
                let accepted = candidates.iter().filter(|each| states.contains(&each.state));
                chosen = accepted.collect();
            }
        }
        let near = chosen.iter().filter(|candidate| candidate.zone == *zone).count();
        if near >= LEAST_NEAR {
            chosen.retain(|candidate| candidate.zone == *zone);
        }
        let mut addresses: Vec<SocketAddr> =
            chosen.into_iter().map(|candidate| candidate.address).collect();
        addresses.truncate(MOST_ADDRESSES);
        Self { addresses, ttl: LONGEST_TTL.min(longest) }
    }
}
