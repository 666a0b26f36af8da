//! Which hosts of the system are known, and which of them answer.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use oleander_core::{HostId, ShardId, Span, TargetId, Time, hash};
use oleander_peer::{Contact, Status, TargetCount};

/// Time without an answer after which a host counts as down.
const HEARD_WITHIN: Span = Span::from_millis(1_500);
/// Time for which a failed call counts against a host.
const FAILED_FOR: Span = Span::from_millis(1_000);

#[derive(Debug, Clone)]
struct Known {
    contact: Contact,
    heard: Time,
    failed: Time,
    draining: bool,
    counts: Vec<TargetCount>,
}

/// The hosts of the system as this host sees them.
#[derive(Debug)]
pub(crate) struct Hosts {
    me: Contact,
    leaving: bool,
    known: HashMap<HostId, Known>,
    listed: Vec<String>,
}

impl Hosts {
    /// Only this host is known.
    pub(crate) fn new(me: Contact) -> Self {
        Self { me, leaving: false, known: HashMap::new(), listed: Vec::new() }
    }

    /// Where this host is reached.
    pub(crate) fn me(&self) -> Contact {
        self.me.clone()
    }

    /// Marks this host as leaving.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes link addresses from the platform's list.
    pub(crate) fn list(&mut self, links: Vec<String>) {
        self.listed = links;
    }

    /// Takes a status that a host sent or answered.
    pub(crate) fn hear(&mut self, now: Time, status: Status) {
        let host = status.contact.host.clone();
        let known = Known {
            contact: status.contact,
            heard: now,
            failed: Time(0),
            draining: status.draining,
            counts: status.counts,
        };
        self.known.insert(host, known);
    }

    /// Notes that a call to a host failed.
    pub(crate) fn fail(&mut self, now: Time, link: &str) {
        for known in self.known.values_mut() {
            if known.contact.link == link {
                known.failed = now;
            }
        }
    }

    /// Link addresses to exchange statuses with.
    pub(crate) fn links(&self) -> Vec<String> {
        let known = self.known.values().map(|known| known.contact.link.clone());
        let mut links: Vec<String> = self.listed.iter().cloned().chain(known).collect();
        links.sort();
        links.dedup();
        links.retain(|link| *link != self.me.link);
        links
    }

    /// Link addresses of all known entries, live or not.
    pub(crate) fn entry_links(&self) -> Vec<String> {
        let entries = self.known.values().filter(|known| known.contact.entry);
        entries.map(|known| known.contact.link.clone()).collect()
    }

    fn is_live(now: Time, known: &Known) -> bool {
        now.since(known.heard) <= HEARD_WITHIN && now.since(known.failed) > FAILED_FOR
    }

    fn live(&self, now: Time, entry: bool) -> impl Iterator<Item = &Known> {
        self.known
            .values()
            .filter(move |known| known.contact.entry == entry && Self::is_live(now, known))
    }

    /// A number that differs whenever other entries are live.
    pub(crate) fn view(&self, now: Time) -> u64 {
        let mut hosts: Vec<&str> =
            self.live(now, true).map(|known| known.contact.host.as_str()).collect();
        hosts.sort_unstable();
        hash::hash_parts(&hosts)
    }

    /// Link addresses of a shard's owners, first choice first; `None` is this host.
    pub(crate) fn owners(&self, now: Time, shard: ShardId) -> Vec<Option<String>> {
        let key = shard.to_string();
        let score = |host: &HostId| hash::hash_parts(&[&key, host.as_str()]);
        let mut owners: Vec<(bool, u64, Option<String>)> = self
            .live(now, true)
            .map(|known| {
                let link = Some(known.contact.link.clone());
                (!known.draining, score(&known.contact.host), link)
            })
            .collect();
        owners.push((!self.leaving, score(&self.me.host), None));
        owners.sort_by_key(|&(stays, score, _)| Reverse((stays, score)));
        owners.into_iter().map(|(_, _, link)| link).collect()
    }

    /// Link address of a host.
    pub(crate) fn link_of(&self, host: &HostId) -> Option<String> {
        self.known.get(host).map(|known| known.contact.link.clone())
    }

    /// Addresses for callers, nearest first.
    pub(crate) fn addresses(&self, now: Time) -> Vec<String> {
        let mut addresses: Vec<(bool, String)> = self
            .live(now, true)
            .filter(|known| !known.draining)
            .map(|known| (known.contact.zone != self.me.zone, known.contact.listen.clone()))
            .collect();
        if !self.leaving || addresses.is_empty() {
            addresses.push((false, self.me.listen.clone()));
        }
        addresses.sort();
        addresses.into_iter().map(|(_, address)| address).collect()
    }

    /// Batch hosts with items at a target, as link address and count.
    pub(crate) fn batch_at(&self, now: Time, target: &TargetId) -> BTreeMap<String, u32> {
        let counts = self.live(now, false).filter_map(|known| {
            let count = known.counts.iter().find(|count| count.target == *target)?;
            (count.batch > 0).then(|| (known.contact.link.clone(), count.batch))
        });
        counts.collect()
    }

    /// Link addresses of the batch hosts.
    pub(crate) fn batch_links(&self) -> Vec<String> {
        let batch = self.known.values().filter(|known| !known.contact.entry);
        batch.map(|known| known.contact.link.clone()).collect()
    }

    /// Admin addresses of all known hosts.
    pub(crate) fn contacts(&self) -> Vec<Contact> {
        let mut contacts: Vec<Contact> =
            self.known.values().map(|known| known.contact.clone()).collect();
        contacts.push(self.me.clone());
        contacts.sort_by(|a, b| a.host.cmp(&b.host));
        contacts
    }
}
