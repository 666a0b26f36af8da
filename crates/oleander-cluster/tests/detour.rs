//! The store by way of another host.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{Detour, Routed, StoreAnswer, StoreCall};
use oleander_core::Revision;
use oleander_platform::{
    Changes, Created, MemoryFaults, MemoryPlatform, ObjectStore, PlatformError, Updated,
};

/// Another host; its path may be bad, too.
struct Helper(Routed<MemoryPlatform, Helper>);

impl Detour for Helper {
    async fn call(&self, call: StoreCall) -> StoreAnswer {
        self.0.serve(call).await
    }

    async fn feed(&self, _: &str, _: Revision, _: Duration) -> Option<Changes> {
        None
    }
}

type Store = Routed<MemoryPlatform, Helper>;

fn down() -> MemoryFaults {
    MemoryFaults { down: true, ..MemoryFaults::default() }
}

/// Two paths to stores of their own, so that the test sees which way a call went.
fn paths() -> (Store, MemoryPlatform, MemoryPlatform) {
    let (own, other) = (MemoryPlatform::new(), MemoryPlatform::new());
    let store = Store::new(own.clone());
    store.set_detour(Arc::new(Helper(Store::new(other.clone()))));
    (store, own, other)
}

fn body() -> Bytes {
    Bytes::from_static(b"{}")
}

#[tokio::test]
async fn calls_take_the_own_path_while_it_is_good() {
    let (store, own, other) = paths();
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::New(_))));
    assert!(own.get("a/1").await.expect("up").is_some());
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn a_refused_host_goes_by_way_of_another() {
    let (store, own, other) = paths();
    own.set_faults(down());
    let Ok(Created::New(revision)) = store.create("a/1", body()).await else {
        panic!("created through the other host");
    };
    assert!(matches!(store.create("a/1", body()).await, Ok(Created::Exists)));
    assert!(matches!(store.update("a/1", body(), revision).await, Ok(Updated::Done(_))));
    assert!(store.get("a/1").await.expect("read through the other host").is_some());
    assert!(other.get("a/1").await.expect("up").is_some());
}

#[tokio::test]
async fn a_write_without_an_answer_is_not_made_again_by_another_way() {
    let (store, own, other) = paths();
    own.set_faults(MemoryFaults { lost_answers: 1, ..MemoryFaults::default() });
    let outcome = store.create("a/1", body()).await;
    assert!(matches!(outcome, Err(PlatformError::NoAnswer(_))), "{outcome:?}");
    assert!(other.get("a/1").await.expect("up").is_none());
}

#[tokio::test]
async fn an_outage_for_all_costs_no_calls_of_others() {
    let (store, own, other) = paths();
    own.set_faults(down());
    other.set_faults(down());
    let mut refused = 0;
    for _ in 0..20 {
        refused += usize::from(matches!(store.get("a/1").await, Err(PlatformError::Busy(_))));
    }
    // The first calls find out, the others are refused without a call.
    assert!(refused >= 17, "{refused} of 20 calls were refused at once");
}
