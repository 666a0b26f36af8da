//! Requests at a host that is about to stop: it begins only what it can end.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_core::Span;
use oleander_host::clock;
use oleander_relay::{
    Helper, Pools, RefusalReason, Relay, Request, RequestSummary, RetryPolicy, Route,
};
use tokio::task::JoinHandle;

use crate::support::{Caller, FIRST, SECOND, Script, Step, pools, request, route};

/// Retry policies of a stream that can't be resumed, and of one that can.
const POLICIES: [RetryPolicy; 2] = [RetryPolicy::Never, RetryPolicy::Resume];

/// A request with this budget.
fn request_within(budget: Span) -> Arc<Request> {
    Arc::new(Request { budget: Some(budget), ..Request::clone(&request()) })
}

/// A host that has sent a request to targets which take `steps`.
struct Host {
    relay: Arc<Relay<Script>>,
    script: Arc<Script>,
    answer: JoinHandle<(RequestSummary, Caller)>,
}

impl Host {
    fn send(pools: Arc<Pools>, route: Route, request: Arc<Request>, steps: Vec<Step>) -> Self {
        Self::start(pools, None, route, request, steps)
    }

    /// Sends the request after the host has learnt that its work ends after `exit`.
    fn start(
        pools: Arc<Pools>,
        exit: Option<Span>,
        route: Route,
        request: Arc<Request>,
        steps: Vec<Step>,
    ) -> Self {
        let script = Script::new(steps);
        let relay = Arc::new(Relay::new(pools, Arc::clone(&script)));
        if let Some(exit) = exit {
            relay.exit.set(clock::steady() + exit);
        }
        let sending = Arc::clone(&relay);
        let answer = tokio::spawn(async move {
            let mut caller = Caller::default();
            let summary = sending.forward(&request, &route, &mut caller).await;
            (summary, caller)
        });
        Self { relay, script, answer }
    }

    fn stop_after(&self, exit: Span) {
        self.relay.exit.set(clock::steady() + exit);
    }

    async fn answer(self) -> (RequestSummary, Caller, usize) {
        let (summary, caller) = self.answer.await.expect("an answer");
        let sent = self.script.dispatches.lock().len();
        (summary, caller, sent)
    }
}

fn reason(summary: &RequestSummary) -> Option<RefusalReason> {
    summary.refusal.map(|refusal| refusal.reason)
}

/// A request that may last beyond the end of the process would be cut there.
#[tokio::test]
async fn a_request_that_may_last_beyond_the_exit_is_refused_unsent() {
    for policy in POLICIES {
        let request = request_within(Span::from_secs(2));
        let exit = Some(Span::from_millis(1_900));
        let steps = vec![Step::complete(&[FIRST])];
        let host = Host::start(pools(2), exit, route(policy, 2), request, steps);
        let (summary, caller, sent) = host.answer().await;
        assert_eq!((reason(&summary), sent), (Some(RefusalReason::NotRun), 0), "{policy:?}");
        assert_eq!(caller.status, None);
    }
}

/// The time limit of the route counts like that of the caller.
#[tokio::test]
async fn a_request_that_ends_before_the_exit_is_served() {
    let mut brief = route(RetryPolicy::Never, 1);
    brief.timeout = Span::from_millis(1_500);
    let cases = [
        (route(RetryPolicy::Never, 1), request_within(Span::from_millis(1_500))),
        (brief, request_within(Span::from_secs(9))),
    ];
    for (route, request) in cases {
        let exit = Some(Span::from_millis(1_600));
        let steps = vec![Step::complete(&[FIRST, SECOND]).delayed(Duration::from_millis(500))];
        let (summary, caller, _) =
            Host::start(pools(2), exit, route, request, steps).answer().await;
        assert_eq!((reason(&summary), summary.interrupted), (None, false));
        assert_eq!(caller.text, [FIRST, SECOND].concat());
    }
}

/// Callers that are refused go to another host, if there is one.
#[tokio::test]
async fn a_refused_caller_may_come_back_at_once_only_if_another_host_is_known() {
    for (is_alone, expected) in [(true, Span::from_secs(1)), (false, Span::ZERO)] {
        let pools = pools(2);
        if !is_alone {
            let (host, zone) = ("entry-2".parse().expect("host"), "junin".parse().expect("zone"));
            pools.set_helpers(vec![Helper::new(host, zone, ([127, 0, 0, 1], 9).into())]);
        }
        let exit = Some(Span::from_secs(1));
        let route = route(RetryPolicy::Never, 1);
        let host = Host::start(pools, exit, route, request(), vec![]);
        let (summary, _, _) = host.answer().await;
        assert_eq!(summary.refusal.and_then(|refusal| refusal.retry_after), Some(expected));
    }
}

/// The first target refuses after the stop has begun; a second attempt might be cut.
#[tokio::test]
async fn no_second_attempt_begins_that_may_last_beyond_the_exit() {
    let refusing = Step::not_run().delayed(Duration::from_millis(200));
    let steps = vec![refusing, Step::complete(&[FIRST])];
    let host = Host::send(pools(2), route(RetryPolicy::Resume, 2), request(), steps);
    tokio::time::sleep(Duration::from_millis(50)).await;
    host.stop_after(Span::from_secs(1));
    let (summary, _, sent) = host.answer().await;
    assert_eq!((reason(&summary), sent), (Some(RefusalReason::NotRun), 1));
}

/// A target may have run it, so that the refusal must not promise anything.
#[tokio::test]
async fn a_request_that_may_have_run_is_not_promised_to_have_not_run() {
    let failing = Step::broken(&[]).delayed(Duration::from_millis(200));
    let steps = vec![failing, Step::complete(&[FIRST])];
    let host = Host::send(pools(2), route(RetryPolicy::Resume, 2), request(), steps);
    tokio::time::sleep(Duration::from_millis(50)).await;
    host.stop_after(Span::from_secs(1));
    let (summary, _, sent) = host.answer().await;
    assert_eq!((reason(&summary), sent), (Some(RefusalReason::ResponseLost), 1));
}

/// It would be sent when a slot is free, with less time left than it may take.
#[tokio::test]
async fn a_request_that_waits_for_capacity_is_refused_when_the_stop_begins() {
    let pools = pools(1);
    let busy: Vec<Step> = (0..8).map(|_| Step::silent(&[])).collect();
    let others: Vec<Host> = busy
        .into_iter()
        .map(|step| {
            let route = route(RetryPolicy::Never, 1);
            Host::send(Arc::clone(&pools), route, request(), vec![step])
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let route = route(RetryPolicy::Never, 1);
    let waiting = Host::send(pools, route, request(), vec![]);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.answer.is_finished(), "refused before the stop");
    waiting.stop_after(Span::from_secs(1));
    let begun = Instant::now();
    let (summary, _, sent) = waiting.answer().await;
    assert_eq!((reason(&summary), sent), (Some(RefusalReason::NotRun), 0));
    assert!(begun.elapsed() < Duration::from_millis(500), "after {:?}", begun.elapsed());
    others.iter().for_each(|host| host.answer.abort());
}

/// Its caller has the head, so that nothing is left but to go on or to break off.
#[tokio::test]
async fn a_stream_that_has_begun_is_resumed_in_a_stop() {
    let mut breaking = Step::pause(&[FIRST], Duration::from_millis(150), &[]);
    breaking.end = support::BodyEnd::Broken;
    let steps = vec![breaking, Step::complete(&[SECOND])];
    let host = Host::send(pools(2), route(RetryPolicy::Resume, 2), request(), steps);
    tokio::time::sleep(Duration::from_millis(50)).await;
    host.stop_after(Span::from_secs(1));
    let (summary, caller, _) = host.answer().await;
    assert!(!summary.interrupted, "{:?}", summary.attempts);
    assert_eq!(caller.text, [FIRST, SECOND].concat());
}

/// The connection would end with the process, without a response.
#[tokio::test]
async fn what_is_in_progress_at_the_exit_gets_its_final_response() {
    for policy in POLICIES {
        let steps = vec![Step::silent(&[]); 2];
        let host = Host::send(pools(2), route(policy, 2), request(), steps);
        tokio::time::sleep(Duration::from_millis(50)).await;
        host.stop_after(Span::from_millis(100));
        let begun = Instant::now();
        let (summary, _, _) = host.answer().await;
        assert_eq!(reason(&summary), Some(RefusalReason::ResponseLost), "{policy:?}");
        assert!(begun.elapsed() < Duration::from_millis(800), "after {:?}", begun.elapsed());
    }
}

/// Requests have been refused for the earlier time.
#[tokio::test]
async fn the_exit_is_moved_to_an_earlier_time_only() {
    let host =
        Host::send(pools(1), route(RetryPolicy::Never, 1), request(), vec![Step::silent(&[])]);
    let now = clock::steady();
    let exit = &host.relay.exit;
    exit.set(now + Span::from_secs(4));
    exit.set(now + Span::from_secs(6));
    assert_eq!(exit.get(), Some(now + Span::from_secs(4)));
    exit.set(now + Span::from_secs(2));
    assert!(exit.allows(now + Span::from_secs(2)) && !exit.allows(now + Span::from_secs(3)));
    host.answer.abort();
}
