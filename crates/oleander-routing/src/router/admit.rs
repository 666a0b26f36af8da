//! Admission control: a request is sent to a target, queued or refused.

use oleander_core::{Span, Time};
use rand::Rng;

use super::{Router, backend::Backend, observe::Lease};
use crate::{
    choice::Candidate,
    config::Policy,
    eject::EjectionState,
    pick::{Class, Decision, LeaseId, Pick, TicketId},
};

/// Minimum `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Span = Span::from_millis(200);
/// `Retry-After` when no target accepts the request.
const NO_TARGET_RETRY_AFTER: Span = Span::from_millis(1_000);
/// Largest random addition to a `Retry-After`, in per mille of it.
const RETRY_AFTER_JITTER_PER_MILLE: u64 = 250;
/// Extra weight of an own request in prefill, on top of the one it has as a request in flight.
const PREFILL_WEIGHT: u32 = 2;
const PER_MILLE: u32 = 1_000;

impl Router {
    /// Selects a target for a request, or decides that it waits or is refused.
    pub fn pick(&mut self, now: Time, request: &Pick) -> Decision {
        self.advance(now);
        match request.class {
            Class::Online => self.pick_online(now, request),
            Class::Batch => self.pick_batch(now, request),
        }
    }

    fn pick_online(&mut self, now: Time, request: &Pick) -> Decision {
        let ticket = request.ticket.unwrap_or(TicketId(u64::MAX));
        if self.queue.is_expired(now, ticket) || request.deadline.is_some_and(|d| d <= now) {
            return self.refuse(ticket, self.predict_wait(request, self.queue.len()));
        }
        let available = self.available(now, ticket, request);
        let candidates = self.candidates(now, request, available);
        let Some(chosen) = self.chooser.choose(&mut self.rng, &candidates) else {
            return self.wait_or_refuse(now, request, ticket);
        };
        self.queue.remove(ticket);
        self.mean_size.record(request.size);
        self.send(now, request, chosen.index)
    }

    /// Targets to which a request may be sent before those that are queued.
    ///
    /// The rate of a target counts requests, whatever their size, and leaves its slots idle, so the
    /// longest requests go there and the slots of the other targets serve more of the short ones.
    fn available(&self, now: Time, ticket: TicketId, request: &Pick) -> Vec<usize> {
        let free = |index: &usize| self.free_online_slots(now, &self.backends[*index]);
        let usable = self.usable(now, request).into_iter().filter(|index| free(index) > 0);
        let (limited, others): (Vec<usize>, Vec<usize>) =
            usable.partition(|index| self.backends[*index].rate.is_some());
        let slots: u32 = others.iter().map(free).sum();
        let ahead = self.queue.ahead(now, ticket, request);
        if limited.is_empty() {
            return if slots > ahead { others } else { Vec::new() };
        }
        let longest = self.queue.longest(now, ticket, request, limited.len() as u32);
        let is_long = self.mean_size.is_reached_by(request.size);
        if longest.contains(&ticket) && (is_long || slots <= ahead) {
            return limited;
        }
        if slots > self.queue.ahead_without(now, ticket, request, &longest) {
            return others;
        }
        Vec::new()
    }

    /// Whether a batch item could be sent now.
    #[must_use]
    pub fn has_batch_slot(&mut self, now: Time, request: &Pick) -> bool {
        self.record_batch_activity(now);
        !self.available_for_batch(now, request).is_empty()
    }

    /// Whether a target accepts the request and is not ejected, be it full or not.
    #[must_use]
    pub fn has_usable(&self, now: Time, request: &Pick) -> bool {
        !self.usable(now, request).is_empty()
    }

    fn pick_batch(&mut self, now: Time, request: &Pick) -> Decision {
        self.record_batch_activity(now);
        let available = self.available_for_batch(now, request);
        let candidates = self.candidates(now, request, available);
        match self.chooser.choose(&mut self.rng, &candidates) {
            Some(chosen) => self.send(now, request, chosen.index),
            None => Decision::Wait,
        }
    }

    /// Backends that have a slot for a batch item; none while online requests wait.
    fn available_for_batch(&self, now: Time, request: &Pick) -> Vec<usize> {
        if self.config.policy == Policy::Managed && !self.queue.is_empty() {
            return Vec::new();
        }
        let mut available = self.usable(now, request);
        if request.same_zone {
            self.retain_same_zone(&mut available);
        }
        available.retain(|index| {
            let backend = &self.backends[*index];
            let fits = self.free_batch_slots(now, backend) > 0;
            fits && (!request.alone || backend.batch == 0)
        });
        available
    }

    fn send(&mut self, now: Time, request: &Pick, index: usize) -> Decision {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        if request.class == Class::Batch {
            self.record_batch_activity(now);
        }
        let yields = self.required_yields(now, request.class, index);
        let probing = self.ejection_state(now, index) == EjectionState::Probing;
        let backend = &mut self.backends[index];
        backend.record_yields(now, yields, &self.config);
        backend.start(now, request.class);
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

    /// Batch items that must yield so that one more online request fits.
    fn required_yields(&self, now: Time, class: Class, index: usize) -> u32 {
        if class == Class::Batch || self.config.policy != Policy::Managed {
            return 0;
        }
        let backend = &self.backends[index];
        let capacity = self.yield_threshold(now, backend).saturating_sub(1);
        backend.unyielded_batch(now, &self.config).saturating_sub(capacity)
    }

    fn wait_or_refuse(&mut self, now: Time, request: &Pick, ticket: TicketId) -> Decision {
        let latest = now + self.config.max_wait;
        let deadline = request.deadline.map_or(latest, |deadline| deadline.min(latest));
        if !self.has_target(request) {
            return self.refuse(ticket, NO_TARGET_RETRY_AFTER);
        }
        if let Some(until) = self.all_ejected_until(now, request).filter(|until| *until > deadline)
        {
            return self.refuse(ticket, until.since(now));
        }
        if self.queue.contains(ticket) {
            return Decision::Wait;
        }
        // All that are queued come first once this request is late.
        let wait = self.predict_wait(request, self.queue.len());
        if self.queue.is_full() || now + wait > deadline {
            return self.refuse(ticket, wait);
        }
        if request.ticket.is_some() {
            self.queue.insert(ticket, request, deadline);
        }
        Decision::Wait
    }

    /// Expected queueing time with `ahead` requests in front.
    fn predict_wait(&self, request: &Pick, ahead: u32) -> Span {
        self.queue.predict_wait(ahead, self.own_slots(request))
    }

    fn refuse(&mut self, ticket: TicketId, wait: Span) -> Decision {
        self.queue.remove(ticket);
        let wait = wait.max(MIN_RETRY_AFTER);
        let jitter =
            wait.0 * self.rng.random_range(0..=RETRY_AFTER_JITTER_PER_MILLE) / u64::from(PER_MILLE);
        Decision::Refuse { retry_after: wait + Span(jitter) }
    }

    /// Whether any target accepts the request, now or after its ejection.
    fn has_target(&self, request: &Pick) -> bool {
        (0..self.backends.len()).any(|index| self.accepts(index, request))
    }

    /// End of the first ejection to end, if all targets that accept the request are ejected.
    fn all_ejected_until(&self, now: Time, request: &Pick) -> Option<Time> {
        let accepting = (0..self.backends.len()).filter(|index| self.accepts(*index, request));
        let ends = accepting.map(|index| match self.ejection_state(now, index) {
            EjectionState::Ejected(until) => until,
            EjectionState::Active | EjectionState::Probing => now,
        });
        ends.min().filter(|end| *end > now)
    }

    /// Whether a target serves the request's class, takes new work and is not excluded.
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

    /// Targets that accept the request and are not ejected, whether or not they have free slots.
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

    /// Keeps only the targets of this host's data centre, if there are any.
    fn retain_same_zone(&self, targets: &mut Vec<usize>) {
        let is_local = |index: &usize| self.backends[*index].target.zone == self.config.zone;
        if targets.iter().any(is_local) {
            targets.retain(is_local);
        }
    }

    fn ejection_state(&self, now: Time, index: usize) -> EjectionState {
        self.ejector.state(now, &self.backends[index].target.name)
    }

    /// Estimate of the slots that serve this host's queue.
    fn own_slots(&self, request: &Pick) -> u32 {
        let accepting = (0..self.backends.len()).filter(|index| self.accepts(*index, request));
        let accepting: Vec<&Backend> = accepting.map(|index| &self.backends[index]).collect();
        let unlimited = accepting.iter().filter(|backend| backend.rate.is_none());
        let all: u32 = unlimited.map(|backend| backend.limit.current()).sum();
        let own: u32 = self.backends.iter().map(|backend| backend.online).sum();
        let preferred =
            self.backends.iter().filter(|backend| backend.preferred && backend.rate.is_none());
        let preferred: u32 = preferred.map(|backend| backend.limit.current()).sum();
        // Without preferred targets, all hosts are assumed to have the same load.
        let share = if preferred > 0 { preferred } else { all / (self.peers.len() as u32 + 1) };
        let service_time = self.queue.service_time();
        let rates = accepting.iter().filter_map(|backend| backend.rate);
        let paced: u64 = rates.map(|rate| rate.slots_per_mille(service_time)).sum();
        own.max(share + (paced / u64::from(PER_MILLE)) as u32).max(1)
    }

    fn candidates(&self, now: Time, request: &Pick, available: Vec<usize>) -> Vec<Candidate> {
        let keys = request.prefix.map_or(&[][..], |prefix| self.prefixes.targets(prefix));
        let candidates = available.into_iter().map(|index| {
            let backend = &self.backends[index];
            let cached = keys.contains(&backend.key);
            Candidate { index, load: self.load(now, backend), cached }
        });
        candidates.collect()
    }

    /// Load in per mille of the limit, plus the cost of another data centre and that of a target
    /// that is not preferred.
    fn load(&self, now: Time, backend: &Backend) -> u32 {
        let prefilling = backend.prefilling * PREFILL_WEIGHT;
        let total = backend.total() + prefilling + backend.unattributed(now, &self.config);
        let load = total.saturating_mul(PER_MILLE) / backend.limit.current().max(1);
        let is_local = backend.target.zone == self.config.zone;
        let zone_cost = if is_local { 0 } else { self.config.zone_cost };
        let has_preferred = self.backends.iter().any(|backend| backend.preferred);
        let preference_cost = if has_preferred && !backend.preferred && backend.rate.is_none() {
            self.config.preference_slack
        } else {
            0
        };
        load.saturating_add(zone_cost).saturating_add(preference_cost)
    }
}
