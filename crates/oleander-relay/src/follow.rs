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
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

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

/// Time after which a read that confirms the list counts as failed for those who asked, who don't wait
/// longer; it still gives the list its age, if it is answered.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of such reads at a time; some may never be answered.
const MAX_READS: usize = 4;

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
    let mut reads = ConfirmReads::default();
    loop {
        let from = follow.revision();
        let step = {
            let next = follow.next();
            let read = |number| confirm(store.clone(), prefix.to_owned(), from, number);
            listing.wait(next, &mut requests, &mut reads, read).await
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

/// Outcome of a read that confirms the list.
enum Outcome {
    /// Nothing has changed.
    Unchanged,
    /// Something has.
    Changed,
    /// The platform was not reached.
    Unknown(String),
}

/// A read that confirms the list for the requests up to a number.
struct Confirmed {
    number: u64,
    began: Time,
    outcome: Outcome,
}

/// Reads that confirm the list.
#[derive(Default)]
struct ConfirmReads {
    reads: JoinSet<Confirmed>,
    /// The last request, until it is answered, and when it is to be answered at the latest.
    unanswered: Option<(u64, Instant)>,
}

impl ConfirmReads {
    fn can_start(&self) -> bool {
        self.unanswered.is_none() && self.reads.len() < MAX_READS
    }

    fn start(&mut self, number: u64, read: impl Future<Output = Confirmed> + Send + 'static) {
        self.unanswered = Some((number, Instant::now() + CONFIRM_TIMEOUT));
        self.reads.spawn(read);
    }

    /// Waits until a read ends; forever if there is none.
    async fn next(&mut self) -> Confirmed {
        loop {
            match self.reads.join_next().await {
                Some(Ok(confirmed)) => return confirmed,
                Some(Err(error)) => {
                    log::error!(error:% = error; "list of targets is not confirmed");
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Answers the last request if it is `number`.
    fn answer(&mut self, requests: &ConfirmRequests, number: u64, is_confirmed: bool) {
        if self.unanswered.take_if(|(unanswered, _)| *unanswered == number).is_some() {
            requests.answer(number, is_confirmed);
        }
    }
}

/// Reads whether anything below `prefix` has changed since `from`.
async fn confirm<S: ObjectStore>(
    store: S,
    prefix: String,
    from: Option<Revision>,
    number: u64,
) -> Confirmed {
    let began = clock::steady();
    let outcome = match from {
        None => Outcome::Unknown("not listed yet".to_owned()),
        Some(from) => match store.watch(&prefix, from, POLL_WAIT).await {
            Ok(Changes { changes, .. }) if changes.is_empty() => Outcome::Unchanged,
            Ok(_) | Err(PlatformError::HistoryGone) => Outcome::Changed,
            Err(error) => Outcome::Unknown(error.to_string()),
        },
    };
    Confirmed { number, began, outcome }
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
    async fn wait<F, C, R>(
        &mut self,
        next: F,
        requests: &mut ConfirmRequests,
        reads: &mut ConfirmReads,
        confirm: C,
    ) -> Step
    where
        F: Future<Output = FollowEvent>,
        C: Fn(u64) -> R,
        R: Future<Output = Confirmed> + Send + 'static,
    {
        tokio::pin!(next);
        loop {
            let expiry = self.list.next_expiry().map_or(IDLE_WAIT, |at| at.since(clock::steady()));
            let end = Instant::now() + expiry.to_duration();
            let answer_by = reads.unanswered.map_or(end, |(_, by)| by.min(end));
            let can_start = reads.can_start();
            let confirmed = tokio::select! {
                biased;
                event = &mut next => return Step::Followed(event),
                confirmed = reads.next() => confirmed,
                () = time::sleep_until(answer_by) => {
                    self.expire_entries();
                    if let Some((number, by)) = reads.unanswered && by <= Instant::now() {
                        log::info!(reason = "timed out"; "list of targets is not confirmed");
                        reads.answer(requests, number, false);
                    }
                    continue;
                }
                number = requests.next(), if can_start => {
                    reads.start(number, confirm(number));
                    continue;
                }
            };
            let Confirmed { number, began, outcome } = confirmed;
            match outcome {
                Outcome::Unchanged => {
                    self.pools.record_list_time(began);
                    reads.answer(requests, number, true);
                }
                Outcome::Changed => {
                    // Whoever asked is answered once the changes are read.
                    reads.unanswered.take_if(|(unanswered, _)| *unanswered == number);
                    return Step::Outdated(number);
                }
                Outcome::Unknown(reason) => {
                    log::info!(reason; "list of targets is not confirmed");
                    reads.answer(requests, number, false);
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
