//! Candidates: hosts of the list that nobody has seen run.
//!
//! After a restart of all hosts, each one knows the others from the list only, which also has hosts
//! that are gone for good. The rounds probe candidates one after another, at a cost that does not
//! grow with their number, so that it takes long until each is known to be gone. So whoever needs to
//! know of one has it contacted beside the rounds, and nobody waits for one that has not been heard
//! of within [`UNHEARD_WAIT`].

use oleander_core::{HostId, Span, Time};

use crate::{Liveness, Members, MessageKind, member::Member};

/// Time after which a listed host that has not been heard of is not waited for.
const UNHEARD_WAIT: Span = Span::from_secs(3);
/// Probes without an answer after which a candidate counts as failed.
const MAX_UNANSWERED: u32 = 2;

impl Members {
    /// Whether work may wait for a host to take it: it has been heard of, or listed a short time ago.
    #[must_use]
    pub fn is_awaited(&self, now: Time, host: &HostId) -> bool {
        let candidate = self.table.get(host).filter(|member| member.is_candidate());
        candidate.is_none_or(|member| now.since(member.changed_at) < UNHEARD_WAIT)
    }

    /// Whether a host is listed and has not been heard of.
    #[must_use]
    pub fn is_candidate(&self, host: &HostId) -> bool {
        self.table.get(host).is_some_and(Member::is_candidate)
    }

    /// Probes a candidate beside the rounds.
    pub(crate) fn contact(&mut self, host: &HostId) {
        if self.is_candidate(host) {
            let sequence = self.probes.next_sequence();
            self.send(host, MessageKind::Probe { sequence, page: None });
        }
    }

    /// Marks a candidate failed if it refuses connections, or has not answered several probes. A host
    /// that has been seen to run is judged by the rounds.
    pub(crate) fn record_unanswered(&mut self, now: Time, host: &HostId, is_refused: bool) {
        let Some(member) = self.table.get_mut(host).filter(|member| member.is_candidate()) else {
            return;
        };
        member.unanswered += 1;
        if is_refused || member.unanswered >= MAX_UNANSWERED {
            self.update_member(host, |member| member.set_liveness(now, Liveness::Failed));
        }
    }
}
