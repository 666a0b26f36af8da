//! Builds messages and fills them with updates up to their bound in bytes.

use std::ops::Bound;

use oleander_core::HostId;

use crate::{
    Liveness, MAX_PAYLOAD_BYTES, Members, Message, MessageKind, Update,
    member::Member,
    message::{Cursor, encoded_bytes},
    update_queue::{UpdateClass, UpdateKey, UpdateKind},
};

/// Queued updates of a class that are considered for one message.
const MAX_UPDATES: usize = 16;

/// Space that membership updates leave for facts if any are queued.
const FACTS_RESERVE_BYTES: usize = MAX_PAYLOAD_BYTES + 32;

/// Members that are considered for the refresh in one message.
const MAX_REFRESHED_MEMBERS: usize = 4;

/// A message under construction.
struct Draft {
    message: Message,
    free_bytes: usize,
}

impl Draft {
    /// Adds `update` if it fits.
    fn push(&mut self, update: Update) -> bool {
        let bytes = encoded_bytes(&update);
        let fits = bytes <= self.free_bytes;
        if fits {
            self.free_bytes -= bytes;
            self.message.updates.push(update);
        }
        fits
    }
}

impl Members {
    /// Builds a message to `to` with the most urgent updates.
    pub(crate) fn compose(&mut self, to: &HostId, kind: MessageKind) -> Message {
        let mut draft = self.draft(kind);
        self.add_own_profile(&mut draft, to);
        self.add_refutation_request(&mut draft, to);
        self.add_queued_updates(&mut draft, to);
        draft.free_bytes = draft.free_bytes.min(self.config.refresh_bytes);
        self.add_refresh(&mut draft);
        draft.message
    }

    /// Builds an acknowledgement that carries a page of members from `page` on.
    pub(crate) fn compose_page(&mut self, to: &HostId, sequence: u32, page: &Cursor) -> Message {
        let mut draft = self.draft(MessageKind::Ack { sequence, next: None });
        self.add_refutation_request(&mut draft, to);
        draft.free_bytes += self.config.page_bytes;
        let next = self.add_page(&mut draft, page);
        draft.message.kind = MessageKind::Ack { sequence, next };
        draft.message
    }

    fn draft(&self, kind: MessageKind) -> Draft {
        let message = Message {
            incarnation: self.local.incarnation(),
            leaving: self.local.leaving,
            newest: self.newest_revision,
            facts: self.local.facts.clone(),
            kind,
            updates: Vec::new(),
        };
        let bound = self.config.message_bytes + MAX_PAYLOAD_BYTES;
        let free_bytes = bound.saturating_sub(encoded_bytes(&message));
        Draft { message, free_bytes: free_bytes.min(self.config.message_bytes) }
    }

    /// Adds this host's profile to a probe if the receiver may not know it.
    fn add_own_profile(&self, draft: &mut Draft, to: &HostId) {
        let profile_acked = self.table.get(to).is_none_or(|member| member.profile_acked);
        if profile_acked || !matches!(draft.message.kind, MessageKind::Probe { .. }) {
            return;
        }
        if let Some(update) = self.local.joined_update() {
            draft.push(update);
        }
    }

    /// Tells the receiver that some host considers it suspect or failed, so that it refutes this.
    fn add_refutation_request(&self, draft: &mut Draft, to: &HostId) {
        let Some(member) = self.table.get(to).filter(|m| m.needs_refutation) else { return };
        let (host, incarnation) = (to.clone(), member.incarnation());
        let (liveness, leaving) = (Liveness::Failed, member.leaving);
        draft.push(Update::State { host, incarnation, liveness, leaving });
    }

    fn add_queued_updates(&mut self, draft: &mut Draft, to: &HostId) {
        let facts_queued = !self.update_queue.least_sent(UpdateClass::Facts, 1).is_empty();
        let reserve = if facts_queued { FACTS_RESERVE_BYTES.min(draft.free_bytes) } else { 0 };
        draft.free_bytes -= reserve;
        self.add_updates(draft, to, UpdateClass::Membership);
        draft.free_bytes += reserve;
        self.add_updates(draft, to, UpdateClass::Facts);
    }

    fn add_updates(&mut self, draft: &mut Draft, to: &HostId, class: UpdateClass) {
        let limit = self.config.retransmit_limit(self.host_count());
        for key in self.update_queue.least_sent(class, MAX_UPDATES) {
            if &key.1 == to && key.0 != UpdateKind::Listed {
                continue;
            }
            match self.make_update(&key) {
                None => self.update_queue.remove(&key),
                Some(update) => {
                    if draft.push(update) {
                        self.update_queue.count_send(key, limit);
                    }
                }
            }
        }
    }

    fn make_update(&self, (kind, host): &UpdateKey) -> Option<Update> {
        let member =
            if host == &self.local.profile.host { &self.local } else { self.table.get(host)? };
        match kind {
            UpdateKind::State => member.state_update(),
            UpdateKind::Listed => member.listed_update(),
            UpdateKind::Joined => member.joined_update(),
            UpdateKind::Facts => member.facts_update(),
        }
    }

    /// Adds the state and facts of a few members in turn (anti-entropy), which repairs updates that
    /// were lost.
    fn add_refresh(&mut self, draft: &mut Draft) {
        for _ in 0..MAX_REFRESHED_MEMBERS {
            let Some(member) = member_after(self, &self.refresh_cursor) else {
                self.refresh_cursor = Cursor::Start;
                return;
            };
            let updates = [member.state_update(), member.facts_update()];
            let next = Cursor::After(member.profile.host.clone());
            if !updates.into_iter().flatten().all(|update| draft.push(update)) {
                return;
            }
            self.refresh_cursor = next;
        }
    }

    /// Adds live members until the space is used up; returns the start of the next page.
    fn add_page(&self, draft: &mut Draft, page: &Cursor) -> Option<Cursor> {
        let mut last = page.clone();
        for member in members_after(self, page) {
            let update = member.joined_update().filter(|_| member.liveness == Some(Liveness::Live));
            if update.is_some_and(|update| !draft.push(update)) {
                return Some(last);
            }
            last = Cursor::After(member.profile.host.clone());
        }
        None
    }
}

fn members_after<'a>(
    members: &'a Members,
    cursor: &Cursor,
) -> impl Iterator<Item = &'a Member> + use<'a> {
    let start = match cursor {
        Cursor::Start => Bound::Unbounded,
        Cursor::After(host) => Bound::Excluded(host.clone()),
    };
    members.table.range((start, Bound::Unbounded)).map(|(_, member)| member)
}

fn member_after<'a>(members: &'a Members, cursor: &Cursor) -> Option<&'a Member> {
    members_after(members, cursor).next()
}
