//! Keeps the targets up to date with the platform.

use std::{sync::Arc, time::Duration};

use oleander_core::{Span, TargetId, Time};
use oleander_host::clock;
use oleander_platform::{Change, FollowEvent, Follower, ObjectStore, SHORT_WAIT};
use tokio::time::{self, Instant};

use crate::{
    pools::Pools,
    target_list::{TargetEntry, TargetList},
};

/// Wait when no entry is about to expire.
const IDLE_WAIT: Span = Span::from_secs(3_600);

/// Time between two watches of the targets, which change many at a time; short compared to the time
/// within which a leaving target must get no more work.
const TARGET_WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Parses the entry of a target from its name and body.
pub type ParseTarget = fn(&str, &[u8]) -> Result<TargetEntry, String>;

/// Updates `pools` with the targets below `prefix`; never returns.
pub async fn follow_targets<S: ObjectStore>(
    store: S,
    prefix: &str,
    parse: ParseTarget,
    pools: Arc<Pools>,
) {
    let mut list = TargetList::default();
    let mut follow = Follower::new(store, prefix, SHORT_WAIT).pause(TARGET_WATCH_PAUSE);
    loop {
        let expiry = list.next_expiry().map_or(IDLE_WAIT, |at| at.since(clock::steady()));
        // The expiry must not cancel the watch in progress, which is awaited afterwards.
        let followed = {
            let next = follow.next();
            tokio::pin!(next);
            let end = Instant::now() + expiry.to_duration();
            match time::timeout_at(end, &mut next).await {
                Ok(followed) => followed,
                Err(_) => {
                    expire_entries(&mut list, &pools);
                    next.await
                }
            }
        };
        let now = clock::steady();
        let is_complete = !matches!(followed, FollowEvent::Failed(_));
        let changed = match followed {
            FollowEvent::Failed(error) => {
                log::warn!(error:% = error; "targets can't be read; the last list stands");
                list.set_disconnected();
                false
            }
            FollowEvent::Snapshot(objects) => {
                record_connected(&mut list, now);
                let entries = objects.iter().filter_map(|(key, object)| {
                    parse_entry(key.strip_prefix(prefix)?, &object.body, parse)
                });
                list.replace(now, entries.collect());
                log::info!(targets = list.targets().count(); "targets listed");
                true
            }
            FollowEvent::Changes(changes) => {
                record_connected(&mut list, now);
                let changes = changes.into_iter();
                changes.filter(|change| apply_change(&mut list, now, prefix, change, parse)).count()
                    > 0
            }
        };
        if list.expire(now) || changed {
            pools.update_targets(&list);
        }
        if is_complete {
            pools.streams.confirm();
        }
    }
}

fn expire_entries(list: &mut TargetList, pools: &Pools) {
    if list.expire(clock::steady()) {
        log::info!(targets = list.targets().count();
            "targets not listed again after an outage; removed");
        pools.update_targets(list);
    }
}

fn record_connected(list: &mut TargetList, now: Time) {
    if list.set_connected(now) {
        log::info!("platform answers again");
    }
}

/// Applies a change; returns whether the targets changed.
fn apply_change(
    list: &mut TargetList,
    now: Time,
    prefix: &str,
    change: &Change,
    parse: ParseTarget,
) -> bool {
    let Some(name) = change.key.strip_prefix(prefix) else { return false };
    let entry = change.object.as_ref().and_then(|object| parse_entry(name, &object.body, parse));
    match entry {
        Some(entry) => {
            log::info!(target:% = entry.id, version:% = entry.version, address:% = entry.address,
                leaving = entry.leaving;
                "target is listed");
            list.upsert(entry);
        }
        None => {
            let Ok(id) = name.parse::<TargetId>() else { return false };
            log::info!(target:% = id; "target is no longer listed");
            list.remove(now, &id);
        }
    }
    true
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
