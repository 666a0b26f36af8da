//! Fills messages with news, within their bound in bytes.

use std::ops::Bound;

use oleander_core::HostId;

use crate::{
    Liveness, MAX_PAYLOAD_BYTES, Members, Message, MessageKind, Update,
    member::Member,
    message::{Cursor, encoded_bytes},
    rumours::{Class, Rumour, Topic},
};

/// Rumours of a class looked at for one message.
const MAX_RUMOURS: usize = 16;

/// Room that news about members leaves for facts, if there are any to tell.
const FACTS_BYTES: usize = MAX_PAYLOAD_BYTES + 32;

/// Members looked at for one refresh.
const MAX_REFRESHED: usize = 4;

/// A message under construction.
struct Draft {
    message: Message,
    room: usize,
}

impl Draft {
    /// Adds `update` if it fits.
    fn push(&mut self, update: Update) -> bool {
        let bytes = encoded_bytes(&update);
        let fits = bytes <= self.room;
        if fits {
            self.room -= bytes;
            self.message.updates.push(update);
        }
        fits
    }
}

impl Members {
    /// A message to `to` with the most urgent news.
    pub(crate) fn compose(&mut self, to: &HostId, kind: MessageKind) -> Message {
        let mut draft = self.draft(kind);
        self.add_introduction(&mut draft, to);
        self.add_accusation(&mut draft, to);
        self.add_news(&mut draft, to);
        draft.room = draft.room.min(self.config.refresh_bytes);
        self.add_refresh(&mut draft);
        draft.message
    }

    /// An acknowledgement that carries a page of the members after `page`.
    pub(crate) fn compose_page(&mut self, to: &HostId, sequence: u32, page: &Cursor) -> Message {
        let mut draft = self.draft(MessageKind::Ack { sequence, next: None });
        self.add_accusation(&mut draft, to);
        draft.room += self.config.page_bytes;
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
        let room = bound.saturating_sub(encoded_bytes(&message));
        Draft { message, room: room.min(self.config.message_bytes) }
    }

    /// Tells a member that may not know this host who it is.
    fn add_introduction(&self, draft: &mut Draft, to: &HostId) {
        let introduced = self.table.get(to).is_none_or(|member| member.introduced);
        if introduced || !matches!(draft.message.kind, MessageKind::Probe { .. }) {
            return;
        }
        if let Some(update) = self.local.joined_update() {
            draft.push(update);
        }
    }

    /// Tells a member that it is held suspect or failed, so that it refutes.
    fn add_accusation(&self, draft: &mut Draft, to: &HostId) {
        let Some(member) = self.table.get(to).filter(|member| member.accused) else { return };
        let (host, incarnation) = (to.clone(), member.incarnation());
        let (liveness, leaving) = (Liveness::Failed, member.leaving);
        draft.push(Update::State { host, incarnation, liveness, leaving });
    }

    fn add_news(&mut self, draft: &mut Draft, to: &HostId) {
        let waiting = !self.rumours.first(Class::Facts, 1).is_empty();
        let reserve = if waiting { FACTS_BYTES.min(draft.room) } else { 0 };
        draft.room -= reserve;
        self.add_rumours(draft, to, Class::Membership);
        draft.room += reserve;
        self.add_rumours(draft, to, Class::Facts);
    }

    fn add_rumours(&mut self, draft: &mut Draft, to: &HostId, class: Class) {
        let limit = self.config.spread_limit(self.hosts());
        for rumour in self.rumours.first(class, MAX_RUMOURS) {
            if &rumour.1 == to && rumour.0 != Topic::Listed {
                continue;
            }
            match self.update_of(&rumour) {
                None => self.rumours.remove(&rumour),
                Some(update) => {
                    if draft.push(update) {
                        self.rumours.tell(rumour, limit);
                    }
                }
            }
        }
    }

    fn update_of(&self, (topic, host): &Rumour) -> Option<Update> {
        let member =
            if host == &self.local.profile.host { &self.local } else { self.table.get(host)? };
        match topic {
            Topic::State => member.state_update(),
            Topic::Listed => member.listed_update(),
            Topic::Joined => member.joined_update(),
            Topic::Facts => member.facts_update(),
        }
    }

    /// Repeats the state and facts of members in turn, which mends what rumours missed.
    fn add_refresh(&mut self, draft: &mut Draft) {
        for _ in 0..MAX_REFRESHED {
            let Some(member) = member_after(self, &self.refresh) else {
                self.refresh = Cursor::Start;
                return;
            };
            let updates = [member.state_update(), member.facts_update()];
            let next = Cursor::After(member.profile.host.clone());
            if !updates.into_iter().flatten().all(|update| draft.push(update)) {
                return;
            }
            self.refresh = next;
        }
    }

    /// Adds members that answer until the room is used; returns where the next page starts.
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
