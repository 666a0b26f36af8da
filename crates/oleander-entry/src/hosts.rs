//! The known hosts of the system, and which of them are live.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use oleander_core::{HostId, ShardId, Span, TargetId, Time, hash};
use oleander_peer::{Contact, Status, TargetCount};

/// Time without a status after which a host counts as down.
const STATUS_TTL: Span = Span::from_millis(1_500);
/// Time after a failed call for which a host counts as down.
const FAILURE_BACKOFF: Span = Span::from_millis(1_000);

#[derive(Debug, Clone)]
struct KnownHost {
    contact: Contact,
    last_status: Time,
    last_failure: Time,
    draining: bool,
    counts: Vec<TargetCount>,
}

/// The hosts of the system as this host sees them.
#[derive(Debug)]
pub(crate) struct Hosts {
    own: Contact,
    draining: bool,
    known: HashMap<HostId, KnownHost>,
    listed: Vec<String>,
}

impl Hosts {
    /// Only this host, with its contact, is known.
    pub(crate) fn new(own: Contact) -> Self {
        Self { own, draining: false, known: HashMap::new(), listed: Vec::new() }
    }

    /// Addresses of this host.
    pub(crate) fn own_contact(&self) -> Contact {
        self.own.clone()
    }

    /// Marks this host as draining.
    pub(crate) fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Sets the link addresses of the platform's list of hosts.
    pub(crate) fn set_listed(&mut self, links: Vec<String>) {
        self.listed = links;
    }

    /// Adds link addresses that a peer named, until the platform lists the hosts again.
    pub(crate) fn add_listed(&mut self, links: Vec<String>) {
        self.listed.extend(links);
        self.listed.sort();
        self.listed.dedup();
    }

    /// Records the status of a host, which counts as live from now on.
    pub(crate) fn record_status(&mut self, now: Time, status: Status) {
        let host = status.contact.host.clone();
        let known = KnownHost {
            contact: status.contact,
            last_status: now,
            last_failure: Time(0),
            draining: status.draining,
            counts: status.counts,
        };
        self.known.insert(host, known);
    }

    /// Records that a call to a host failed.
    pub(crate) fn record_failure(&mut self, now: Time, link: &str) {
        for known in self.known.values_mut() {
            if known.contact.link == link {
                known.last_failure = now;
            }
        }
    }

    /// Link addresses to exchange statuses with.
    pub(crate) fn links(&self) -> Vec<String> {
        let known = self.known.values().map(|known| known.contact.link.clone());
        let mut links: Vec<String> = self.listed.iter().cloned().chain(known).collect();
        links.sort();
        links.dedup();
        links.retain(|link| *link != self.own.link);
        links
    }

    /// Link addresses of all known entries, live or not.
    pub(crate) fn entry_links(&self) -> Vec<String> {
        let entries = self.known.values().filter(|known| known.contact.entry);
        entries.map(|known| known.contact.link.clone()).collect()
    }

    fn is_live(now: Time, known: &KnownHost) -> bool {
        now.since(known.last_status) <= STATUS_TTL
            && now.since(known.last_failure) > FAILURE_BACKOFF
    }

    fn live(&self, now: Time, entry: bool) -> impl Iterator<Item = &KnownHost> {
        self.known
            .values()
            .filter(move |known| known.contact.entry == entry && Self::is_live(now, known))
    }

    /// Hash of the names of the other live entries, which identifies the current view.
    pub(crate) fn view_id(&self, now: Time) -> u64 {
        let mut hosts: Vec<&str> =
            self.live(now, true).map(|known| known.contact.host.as_str()).collect();
        hosts.sort_unstable();
        hash::hash_parts(&hosts)
    }

    /// Link addresses of the entries in order of preference as owner of a shard, by rendezvous
    /// hashing; draining hosts come last. `None` is this host.
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
        owners.push((!self.draining, score(&self.own.host), None));
        owners.sort_by_key(|&(available, score, _)| Reverse((available, score)));
        owners.into_iter().map(|(_, _, link)| link).collect()
    }

    /// Link address of a host.
    pub(crate) fn link_of(&self, host: &HostId) -> Option<String> {
        self.known.get(host).map(|known| known.contact.link.clone())
    }

    /// Addresses for callers, those in this host's data centre first.
    pub(crate) fn addresses(&self, now: Time) -> Vec<String> {
        let mut addresses: Vec<(bool, String)> = self
            .live(now, true)
            .filter(|known| !known.draining)
            .map(|known| (known.contact.zone != self.own.zone, known.contact.listen.clone()))
            .collect();
        if !self.draining || addresses.is_empty() {
            addresses.push((false, self.own.listen.clone()));
        }
        addresses.sort();
        addresses.into_iter().map(|(_, address)| address).collect()
    }

    /// Live batch hosts with items at a target: link address and number of items.
    pub(crate) fn batch_hosts_at(&self, now: Time, target: &TargetId) -> BTreeMap<String, u32> {
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

    /// Addresses of all known hosts and this host, by name.
    pub(crate) fn contacts(&self) -> Vec<Contact> {
        let mut contacts: Vec<Contact> =
            self.known.values().map(|known| known.contact.clone()).collect();
        contacts.push(self.own.clone());
        contacts.sort_by(|a, b| a.host.cmp(&b.host));
        contacts
    }
}
