//! Admission: a target now, a place in the queue, or a refusal.

use oleander_core::{Span, Time};
use rand::Rng;

use super::{Router, backend::Backend, observe::Lease};
use crate::{
    choice::Candidate,
    config::Policy,
    eject::EjectionState,
    pick::{Class, Decision, LeaseId, Pick, TicketId},
};

/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Span = Span::from_millis(200);
/// Time after which a caller is told to come back when no target takes work.
const NO_TARGET_RETRY: Span = Span::from_millis(1_000);
/// Largest random part of a retry time, in per mille.
const RETRY_JITTER: u64 = 250;
/// Extra weight of own work whose prompt is being read.
const READING_WEIGHT: u32 = 2;
/// Per mille in a whole.
const WHOLE: u32 = 1_000;

impl Router {
    /// Decides where a request goes now, or whether it waits or is refused.
    pub fn pick(&mut self, now: Time, request: &Pick) -> Decision {
        self.tidy(now);
        match request.class {
            Class::Online => self.pick_online(now, request),
            Class::Batch => self.pick_batch(now, request),
        }
    }

    fn pick_online(&mut self, now: Time, request: &Pick) -> Decision {
        let ticket = request.ticket.unwrap_or(TicketId(u64::MAX));
        if self.queue.is_late(now, ticket) || request.deadline.is_some_and(|d| d <= now) {
            return self.refuse(ticket, self.predict(request, self.queue.len()));
        }
        let usable = self.usable(now, request);
        let free: u32 =
            usable.iter().map(|index| self.online_free(now, &self.backends[*index])).sum();
        let ahead = self.queue.ahead(ticket);
        if free <= ahead {
            return self.wait_or_refuse(now, request, ticket, ahead);
        }
        let open =
            usable.into_iter().filter(|index| self.online_free(now, &self.backends[*index]) > 0);
        let candidates = self.candidates(now, request, open.collect());
        let Some(chosen) = self.chooser.choose(&mut self.rng, &candidates) else {
            return self.wait_or_refuse(now, request, ticket, ahead);
        };
        self.queue.remove(ticket);
        self.send(now, request, chosen.index)
    }

    fn pick_batch(&mut self, now: Time, request: &Pick) -> Decision {
        if self.config.policy == Policy::Managed && !self.queue.is_empty() {
            return Decision::Wait;
        }
        let mut open = self.usable(now, request);
        if request.near {
            self.keep_near(&mut open);
        }
        open.retain(|index| {
            let backend = &self.backends[*index];
            let fits = self.batch_free(now, backend) > 0;
            fits && (!request.alone || backend.batch == 0)
        });
        let candidates = self.candidates(now, request, open);
        match self.chooser.choose(&mut self.rng, &candidates) {
            Some(chosen) => self.send(now, request, chosen.index),
            None => Decision::Wait,
        }
    }

    fn send(&mut self, now: Time, request: &Pick, index: usize) -> Decision {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        if request.class == Class::Batch {
            self.note_batch(now);
        }
        let yields = self.yields(now, request.class, index);
        let probing = self.ejection_state(now, index) == EjectionState::Probing;
        let backend = &mut self.backends[index];
        backend.ask_yields(now, yields, &self.config);
        backend.open(now, request.class);
        backend.probe = if probing { Some(lease) } else { backend.probe };
        if let Some(prefix) = request.prefix {
            self.prefixes.insert(prefix, backend.key);
        }
        let target = backend.target.name.clone();
        let started =
            Lease { target: target.clone(), class: request.class, started: now, last_output: None };
        self.leases.insert(lease, started);
        Decision::Send { target, lease, yields }
    }

    /// Batch items that must go so that one more online request fits.
    fn yields(&self, now: Time, class: Class, index: usize) -> u32 {
        if class == Class::Batch || self.config.policy != Policy::Managed {
            return 0;
        }
        let backend = &self.backends[index];
        let room = self.batch_bound(now, backend).saturating_sub(1);
        backend.unasked_batch(now, &self.config).saturating_sub(room)
    }

    fn wait_or_refuse(
        &mut self,
        now: Time,
        request: &Pick,
        ticket: TicketId,
        ahead: u32,
    ) -> Decision {
        let latest = now + self.config.max_wait;
        let deadline = request.deadline.map_or(latest, |deadline| deadline.min(latest));
        if !self.has_target(request) {
            return self.refuse(ticket, NO_TARGET_RETRY);
        }
        if let Some(back) = self.all_away_until(now, request).filter(|back| *back > deadline) {
            return self.refuse(ticket, back.since(now));
        }
        if self.queue.contains(ticket) {
            return Decision::Wait;
        }
        let wait = self.predict(request, ahead);
        if self.queue.is_full() || now + wait > deadline {
            return self.refuse(ticket, wait);
        }
        if request.ticket.is_some() {
            self.queue.insert(ticket, deadline);
        }
        Decision::Wait
    }

    /// Wait to be expected with `ahead` requests before.
    fn predict(&self, request: &Pick, ahead: u32) -> Span {
        self.queue.predict(ahead, self.own_slots(request))
    }

    fn refuse(&mut self, ticket: TicketId, wait: Span) -> Decision {
        self.queue.remove(ticket);
        let wait = wait.max(LEAST_RETRY);
        let jitter = wait.0 * self.rng.random_range(0..=RETRY_JITTER) / u64::from(WHOLE);
        Decision::Refuse { retry_after: wait + Span(jitter) }
    }

    /// Whether any target could ever take the request.
    fn has_target(&self, request: &Pick) -> bool {
        (0..self.backends.len()).any(|index| self.accepts(index, request))
    }

    /// When the first target comes back, if all that could take the request are ejected.
    fn all_away_until(&self, now: Time, request: &Pick) -> Option<Time> {
        let accepting = (0..self.backends.len()).filter(|index| self.accepts(*index, request));
        let away = accepting.map(|index| match self.ejection_state(now, index) {
            EjectionState::Ejected(until) => until,
            EjectionState::Active | EjectionState::Probing => now,
        });
        away.min().filter(|back| *back > now)
    }

    fn accepts(&self, index: usize, request: &Pick) -> bool {
        let backend = &self.backends[index];
        let serves = match request.class {
            Class::Online => self.serves_online(index),
            Class::Batch => self.serves_batch(index),
        };
        serves
            && backend.listed
            && !backend.leaving
            && !request.exclude.contains(&backend.target.name)
    }

    /// Targets that may be used now, whether or not they have room.
    fn usable(&self, now: Time, request: &Pick) -> Vec<usize> {
        let usable = (0..self.backends.len()).filter(|&index| {
            self.accepts(index, request)
                && match self.ejection_state(now, index) {
                    EjectionState::Active => true,
                    EjectionState::Ejected(_) => false,
                    EjectionState::Probing => self.backends[index].probe.is_none(),
                }
        });
        usable.collect()
    }

    /// Keeps the targets of this host's data centre, if there are any.
    fn keep_near(&self, open: &mut Vec<usize>) {
        let is_near = |index: &usize| self.backends[*index].target.zone == self.config.zone;
        if open.iter().any(is_near) {
            open.retain(is_near);
        }
    }

    fn ejection_state(&self, now: Time, index: usize) -> EjectionState {
        self.ejector.state(now, &self.backends[index].target.name)
    }

    /// Slots that are likely to serve this host's queue.
    fn own_slots(&self, request: &Pick) -> u32 {
        let open = (0..self.backends.len()).filter(|index| self.accepts(*index, request));
        let all: u32 = open.map(|index| self.backends[index].limit.current()).sum();
        let own: u32 = self.backends.iter().map(|backend| backend.online).sum();
        let homes = self.backends.iter().filter(|backend| backend.home);
        let homes: u32 = homes.map(|backend| backend.limit.current()).sum();
        // Without homes, all hosts are taken to have as much work as this one.
        let even = if homes > 0 { homes } else { all / (self.peers.len() as u32 + 1) };
        own.max(even).max(1)
    }

    fn candidates(&self, now: Time, request: &Pick, open: Vec<usize>) -> Vec<Candidate> {
        let keys = request.prefix.map_or(&[][..], |prefix| self.prefixes.targets(prefix));
        let candidates = open.into_iter().map(|index| {
            let backend = &self.backends[index];
            let cached = keys.contains(&backend.key);
            Candidate { index, load: self.load(now, backend), cached }
        });
        candidates.collect()
    }

    /// Load in per mille of the limit, with the cost of distance.
    fn load(&self, now: Time, backend: &Backend) -> u32 {
        let reading = backend.reading * READING_WEIGHT;
        let total = backend.total() + reading + backend.unknown(now, &self.config);
        let load = total.saturating_mul(WHOLE) / backend.limit.current().max(1);
        let near = backend.target.zone == self.config.zone;
        let zone_cost = if near { 0 } else { self.config.zone_cost };
        let has_homes = self.backends.iter().any(|backend| backend.home);
        let home_cost = if has_homes && !backend.home { self.config.preference_slack } else { 0 };
        load.saturating_add(zone_cost).saturating_add(home_cost)
    }
}
