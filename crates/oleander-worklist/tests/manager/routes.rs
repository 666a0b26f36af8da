//! Items whose route this host does not know, or no longer.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use oleander_core::{Revision, Span};
use oleander_platform::{Created, MemoryPlatform, ObjectStore, Updated};
use oleander_relay::{RouteTable, follow_routes};
use oleander_worklist::{ItemOutcome, JobManager};

use crate::fixture::{
    EchoTargets, SlowStore, Started, job, route, start, submission, wait_for_results,
    wait_until_ready,
};

const CONFIG_KEY: &str = "config/main";
/// Longer than an item without a route takes to fail if nothing keeps it.
const FAILURE_TIME: Duration = Duration::from_millis(1_500);

/// Body of a configuration in these tests.
fn configuration(version: u64, has_route: bool) -> Bytes {
    Bytes::from(format!("{version} {has_route}"))
}

fn parse(body: &[u8]) -> Result<(RouteTable, ()), String> {
    let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
    let (version, has_route) = text.split_once(' ').ok_or("two words")?;
    let routes = if has_route == "true" { vec![route()] } else { Vec::new() };
    Ok((RouteTable::new(version.parse().map_err(|_| "a number")?, routes), ()))
}

/// A host that has read a configuration, and whose watches return nothing any more.
struct OutdatedHost {
    store: SlowStore,
    revision: Revision,
    manager: Arc<JobManager<SlowStore, EchoTargets>>,
}

impl OutdatedHost {
    async fn start(has_route: bool) -> Self {
        let store = SlowStore::new(MemoryPlatform::new());
        let created = store.store.create(CONFIG_KEY, configuration(1, has_route)).await;
        let Ok(Created::New(revision)) = created else { panic!("{created:?}") };
        let Started { manager, relay, .. } = start("entry-1", store.clone());
        let routes =
            follow_routes(store.clone(), "config/", CONFIG_KEY, parse, drop, relay.clone());
        tokio::spawn(routes);
        wait_until_ready(&manager).await;
        while relay.table().is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        store.watch_blocked.store(true, Ordering::Relaxed);
        // A watch that was sent before returns the first change.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Self { store, revision, manager }
    }

    async fn configure(&mut self, version: u64, has_route: bool) {
        let body = configuration(version, has_route);
        let updated = self.store.store.update(CONFIG_KEY, body, self.revision).await;
        let Ok(Updated::Done(revision)) = updated else { panic!("{updated:?}") };
        self.revision = revision;
    }

    async fn submit(&self) {
        assert_eq!(self.manager.submit(submission(10), &route()).await, Ok(()));
    }

    async fn listed(&self) -> Vec<ItemOutcome> {
        let read = self.manager.read_results(&job(), 0, Span::ZERO).await.expect("the store is up");
        let results = read.expect("a job").results;
        results.into_iter().map(|result| result.state).collect()
    }
}

/// Guards against accepted items that are given up by a host that has not read their route yet.
#[tokio::test]
async fn items_of_a_route_that_this_host_has_not_read_yet_are_run() {
    let mut host = OutdatedHost::start(false).await;
    host.configure(2, true).await;
    host.submit().await;
    assert_eq!(wait_for_results(&host.manager).await, 3);
    assert_eq!(host.listed().await, [ItemOutcome::Completed; 3]);
}

/// Guards against the same failure while the configuration can't be read at the platform.
#[tokio::test]
async fn items_without_a_known_route_wait_until_the_configuration_can_be_read() {
    let mut host = OutdatedHost::start(false).await;
    host.configure(2, true).await;
    host.submit().await;
    host.store.read_refused.store(true, Ordering::Relaxed);
    tokio::time::sleep(FAILURE_TIME).await;
    assert_eq!(host.listed().await, [], "an item was given up by an unconfirmed configuration");
    host.store.read_refused.store(false, Ordering::Relaxed);
    assert_eq!(wait_for_results(&host.manager).await, 3);
    assert_eq!(host.listed().await, [ItemOutcome::Completed; 3]);
}

/// Guards against items that wait until the end of their retention for a route that was removed.
#[tokio::test]
async fn items_of_a_removed_route_fail_once_that_is_confirmed() {
    let mut host = OutdatedHost::start(false).await;
    host.configure(2, true).await;
    host.configure(3, false).await;
    host.submit().await;
    assert_eq!(wait_for_results(&host.manager).await, 3);
    assert_eq!(host.listed().await, [ItemOutcome::Failed; 3]);
}
