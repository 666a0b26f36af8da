//! Memory that responses in progress hold together.

mod support;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_relay::{
    Relay, RequestSummary, ResponseHead, ResponseMemory, ResponseSink, RetryPolicy, Route,
    RouteKind, SinkClosed,
};
use support::{Caller, Script, Step, pools, request, route};
use tokio::time::{sleep, timeout};

const LIMIT_BYTES: usize = 256 << 10;
const WAIT: Duration = Duration::from_millis(100);
const END_TIMEOUT: Duration = Duration::from_secs(2);

fn single(retry: RetryPolicy) -> Route {
    Route { kind: RouteKind::Single, ..route(retry, 3) }
}

fn text(bytes: usize) -> &'static str {
    "x".repeat(bytes).leak()
}

fn event(id: u64, bytes: usize) -> &'static str {
    format!("id: {id}\ndata: {}\n\n", text(bytes)).leak()
}

fn relay(steps: Vec<Step>) -> Arc<Relay<Script>> {
    let relay = Relay::new(pools(3), Script::new(steps));
    Arc::new(relay.with_memory(ResponseMemory::new(LIMIT_BYTES)))
}

async fn forward<S: ResponseSink>(
    relay: &Relay<Script>,
    route: &Route,
    sink: &mut S,
) -> RequestSummary {
    let request = request();
    let forwarding = relay.forward(&request, route, sink);
    timeout(END_TIMEOUT, forwarding).await.expect("ends in time")
}

/// A caller that keeps all that it has received.
#[derive(Debug, Default)]
struct Keeper {
    kept: usize,
    discarded: bool,
}

impl ResponseSink for Keeper {
    fn head(&mut self, _: ResponseHead) {}

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        self.kept += bytes.len();
        Ok(())
    }

    fn held(&self) -> usize {
        self.kept
    }

    fn discard(&mut self) {
        (self.kept, self.discarded) = (0, true);
    }

    async fn closed(&self) {
        std::future::pending::<()>().await;
    }
}

#[tokio::test]
async fn a_response_beyond_the_memory_is_left_for_another_target() {
    let too_large = Step::silent(&[text(LIMIT_BYTES), "x"]);
    let relay = relay(vec![too_large, Step::complete(&["sound"])]);
    let mut caller = Caller::default();
    let summary = forward(&relay, &single(RetryPolicy::Always), &mut caller).await;
    assert_eq!(caller.text, "sound", "{summary:?}");
    assert!(summary.attempts[0].contains("holds most"), "{summary:?}");
    assert_eq!(relay.memory.held(), 0);
}

#[tokio::test]
async fn the_response_that_holds_most_is_left_and_a_smaller_one_is_not() {
    let half = text(LIMIT_BYTES / 2);
    let first = Step::pause(&[text(LIMIT_BYTES * 3 / 4)], END_TIMEOUT, &[]);
    let second = Step::pause(&[half], WAIT, &["end"]);
    let relay = relay(vec![first, second, Step::complete(&["sound"])]);
    let larger = tokio::spawn({
        let relay = Arc::clone(&relay);
        async move {
            let mut caller = Caller::default();
            let summary = forward(&relay, &single(RetryPolicy::Always), &mut caller).await;
            (caller.text, summary)
        }
    });
    sleep(WAIT).await;
    let mut smaller = Caller::default();
    let summary = forward(&relay, &single(RetryPolicy::Always), &mut smaller).await;
    assert_eq!(smaller.text, format!("{half}end"), "{:?}", summary.attempts);
    let (text, summary) = larger.await.expect("a result");
    assert_eq!(text, "sound", "{summary:?}");
    assert_eq!(relay.memory.held(), 0);
}

#[tokio::test]
async fn a_response_that_is_cancelled_gives_its_memory_back() {
    let relay = relay(vec![Step::silent(&[text(LIMIT_BYTES / 2)])]);
    let mut caller = Caller::default();
    let request = request();
    let route = single(RetryPolicy::Always);
    let forwarding = relay.forward(&request, &route, &mut caller);
    assert!(timeout(WAIT, forwarding).await.is_err());
    assert_eq!(relay.memory.held(), 0);
}

#[tokio::test]
async fn output_that_a_receiver_keeps_counts_and_is_discarded() {
    let size = LIMIT_BYTES / 3;
    let events = [event(1, size), event(2, size), event(3, size)];
    let relay = relay(vec![Step::silent(&events)]);
    let mut keeper = Keeper::default();
    let summary = forward(&relay, &route(RetryPolicy::Never, 1), &mut keeper).await;
    assert!(keeper.discarded, "{summary:?}");
    assert_eq!(relay.memory.held(), 0);
}

#[tokio::test]
async fn a_few_large_sound_responses_at_once_are_served() {
    const COUNT: usize = 4;
    let large = text(6 << 20);
    let steps = vec![Step::pause(&[large], WAIT, &["end"]); COUNT];
    let relay = Arc::new(Relay::new(pools(3), Script::new(steps)));
    let calls = (0..COUNT).map(|_| {
        let relay = Arc::clone(&relay);
        tokio::spawn(async move {
            let mut caller = Caller::default();
            let summary = forward(&relay, &single(RetryPolicy::Always), &mut caller).await;
            (caller.text.len(), summary)
        })
    });
    for call in calls.collect::<Vec<_>>() {
        let (received, summary) = call.await.expect("a result");
        assert_eq!(received, large.len() + "end".len(), "{summary:?}");
    }
}
