//! Keeps the targets up to date with the platform.
//!
//! The list may be seconds old: a watch through a feeder that has lost the platform says that
//! nothing has changed. Whoever needs the present list asks for a read of the platform itself
//! ([`StreamVersions`](crate::StreamVersions)).

use std::{sync::Arc, time::Duration};

use oleander_core::{Revision, Span, TargetId, Time};
use oleander_host::clock;
use oleander_platform::{
    Change, Changes, FollowEvent, Follower, ObjectStore, POLL_WAIT, PlatformError, SHORT_WAIT,
};
use tokio::time::{self, Instant};

use crate::{
    confirmations::ConfirmRequests,
    pools::Pools,
    target_list::{TargetEntry, TargetList},
};

/// Wait when no entry is about to expire.
const IDLE_WAIT: Span = Span::from_secs(3_600);

/// Time between two watches of the targets, which change many at a time; short compared to the time
/// within which a leaving target must get no more work.
const TARGET_WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Time limit for a read that confirms the list; those who ask don't wait longer.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Parses the entry of a target from its name and body.
pub type ParseTarget = fn(&str, &[u8]) -> Result<TargetEntry, String>;

/// Updates `pools` with the targets below `prefix`; never returns.
pub async fn follow_targets<S: ObjectStore>(
    store: S,
    prefix: &str,
    parse: ParseTarget,
    pools: Arc<Pools>,
) {
    let mut requests = pools.streams.confirm_requests();
    let mut follow = Follower::new(store.clone(), prefix, SHORT_WAIT).pause(TARGET_WATCH_PAUSE);
    let mut listing = Listing { prefix, parse, pools, list: TargetList::default() };
    loop {
        let from = follow.revision();
        let step = {
            let next = follow.next();
            listing.wait(next, &mut requests, |number| confirm(&store, prefix, from, number)).await
        };
        match step {
            Step::Followed(event) => listing.apply(event),
            Step::Outdated(number) => {
                let began = clock::steady();
                let event = follow.poll().await;
                let is_read = !matches!(event, FollowEvent::Failed(_));
                let is_confirmed = is_read && follow.is_current();
                listing.apply(event);
                if is_confirmed {
                    listing.pools.record_list_time(began);
                }
                requests.answer(number, is_confirmed);
            }
        }
    }
}

/// What ends a wait for the next event.
enum Step {
    /// The event.
    Followed(FollowEvent),
    /// A read that this request asked for has found changes, which must be read first.
    Outdated(u64),
}

/// Outcome of a read that confirms the list, for the requests up to a number.
enum Confirmed {
    /// Nothing has changed.
    Unchanged(u64),
    /// Something has.
    Changed(u64),
    /// The platform was not reached in time.
    Unknown(u64, String),
}

/// Reads whether anything below `prefix` has changed since `from`.
async fn confirm<S: ObjectStore>(
    store: &S,
    prefix: &str,
    from: Option<Revision>,
    number: u64,
) -> Confirmed {
    let Some(from) = from else { return Confirmed::Unknown(number, "not listed yet".to_owned()) };
    match time::timeout(CONFIRM_TIMEOUT, store.watch(prefix, from, POLL_WAIT)).await {
        Ok(Ok(Changes { changes, .. })) if changes.is_empty() => Confirmed::Unchanged(number),
        Ok(Ok(_) | Err(PlatformError::HistoryGone)) => Confirmed::Changed(number),
        Ok(Err(error)) => Confirmed::Unknown(number, error.to_string()),
        Err(_) => Confirmed::Unknown(number, "timed out".to_owned()),
    }
}

/// The list of targets, and what it is applied to.
struct Listing<'a> {
    prefix: &'a str,
    parse: ParseTarget,
    pools: Arc<Pools>,
    list: TargetList,
}

impl Listing<'_> {
    /// Waits for the next event; meanwhile removes entries that expire, and answers requests to
    /// confirm the list, neither of which cancels the watch in progress.
    async fn wait<F, C, R>(&mut self, next: F, requests: &mut ConfirmRequests, confirm: C) -> Step
    where
        F: Future<Output = FollowEvent>,
        C: Fn(u64) -> R,
        R: Future<Output = Confirmed>,
    {
        tokio::pin!(next);
        loop {
            let expiry = self.list.next_expiry().map_or(IDLE_WAIT, |at| at.since(clock::steady()));
            let end = Instant::now() + expiry.to_duration();
            let number = tokio::select! {
                biased;
                event = &mut next => return Step::Followed(event),
                () = time::sleep_until(end) => {
                    self.expire_entries();
                    continue;
                }
                number = requests.next() => number,
            };
            let began = clock::steady();
            match confirm(number).await {
                Confirmed::Unchanged(number) => {
                    self.pools.record_list_time(began);
                    requests.answer(number, true);
                }
                Confirmed::Changed(number) => return Step::Outdated(number),
                Confirmed::Unknown(number, reason) => {
                    log::info!(reason; "list of targets is not confirmed");
                    requests.answer(number, false);
                }
            }
        }
    }

    fn expire_entries(&mut self) {
        if self.list.expire(clock::steady()) {
            log::info!(targets = self.list.targets().count();
                "targets not listed again after an outage; removed");
            self.pools.update_targets(&self.list);
        }
    }

    fn apply(&mut self, event: FollowEvent) {
        let now = clock::steady();
        let changed = match event {
            FollowEvent::Failed(error) => {
                log::warn!(error:% = error; "targets can't be read; the last list stands");
                self.list.set_disconnected();
                false
            }
            FollowEvent::Snapshot(objects) => {
                self.record_connected(now);
                let entries = objects.iter().filter_map(|(key, object)| {
                    parse_entry(key.strip_prefix(self.prefix)?, &object.body, self.parse)
                });
                let entries = entries.collect();
                self.list.replace(now, entries);
                log::info!(targets = self.list.targets().count(); "targets listed");
                true
            }
            FollowEvent::Changes(changes) => {
                self.record_connected(now);
                changes.into_iter().filter(|change| self.apply_change(now, change)).count() > 0
            }
        };
        if self.list.expire(now) || changed {
            self.pools.update_targets(&self.list);
        }
    }

    fn record_connected(&mut self, now: Time) {
        if self.list.set_connected(now) {
            log::info!("platform answers again");
        }
    }

    /// Applies a change; returns whether the targets changed.
    fn apply_change(&mut self, now: Time, change: &Change) -> bool {
        let Some(name) = change.key.strip_prefix(self.prefix) else { return false };
        let entry =
            change.object.as_ref().and_then(|object| parse_entry(name, &object.body, self.parse));
        match entry {
            Some(entry) => {
                log::info!(target:% = entry.id, version:% = entry.version,
                    address:% = entry.address, leaving = entry.leaving; "target is listed");
                // The same batch of changes may remove it again.
                self.pools.streams.record_version(&entry.service, &entry.version);
                self.list.upsert(entry);
            }
            None => {
                let Ok(id) = name.parse::<TargetId>() else { return false };
                log::info!(target:% = id; "target is no longer listed");
                self.list.remove(now, &id);
            }
        }
        true
    }
}

fn parse_entry(name: &str, body: &[u8], parse: ParseTarget) -> Option<TargetEntry> {
    match parse(name, body) {
        Ok(entry) => Some(entry),
        Err(reason) => {
            log::warn!(target:% = name, reason:% = reason; "invalid target entry ignored");
            None
        }
    }
}
