//! Sound targets that send nothing for about a second and then go on.
//!
//! A target that is silent may be left for another one, but only once that one has taken over: if
//! the connection is closed first and no other target can continue, the caller has neither the
//! rest of the response nor a refusal.

mod support;

use std::{
    io::Write,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use oleander_core::Span;
use oleander_relay::{
    BodyError, Dispatch, RefusalReason, Relay, ResponseBody, ResponseHead, RetryPolicy, SendError,
    TargetResponse, TargetTransport,
};
use oleander_routing::Pick;
use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::support::{
    BodyEnd, Caller, FIRST, Forwarded, Part, SECOND, Step, THIRD, forward_to, pools, pools_of,
    request, route, service, target,
};

/// How long a sound target is silent.
const SILENCE: Duration = Duration::from_secs(1);
/// Time for which two targets may work on one request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// A stream that the target interrupts with a silence after its first event.
fn silent_stream() -> Step {
    Step::pause(&[FIRST], SILENCE, &[SECOND])
}

fn assert_complete(forwarded: &Forwarded) {
    let Forwarded { summary, caller, .. } = forwarded;
    assert!(!summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert_eq!(caller.status, Some(StatusCode::OK), "{summary:?}");
    assert_eq!(caller.text, format!("{FIRST}{SECOND}"), "{summary:?}");
}

#[tokio::test]
async fn a_silent_target_keeps_its_stream_when_another_target_refuses() {
    for refusal in [Step::not_run(), Step::error(500, "failed"), Step::broken(&[])] {
        let steps = vec![silent_stream(), refusal];
        assert_complete(&forward_to(pools(2), route(RetryPolicy::Resume, 2), steps).await);
    }
}

#[tokio::test]
async fn a_silent_target_keeps_its_stream_while_no_other_target_has_capacity() {
    let entries = [1, 2].map(|number| {
        let mut entry = target(number);
        entry.slots = 1;
        entry
    });
    let pools = pools_of(entries.into());
    let pool = pools.get(&service()).expect("pool");
    let busy = pool.acquire(&Pick::online(pool.ticket())).await.expect("a free slot");
    let started = Instant::now();
    let steps = vec![silent_stream(), Step::not_run()];
    let forwarded = forward_to(pools, route(RetryPolicy::Resume, 2), steps).await;
    assert_complete(&forwarded);
    assert!(started.elapsed() < SILENCE * 2, "{:?}", started.elapsed());
    drop(busy);
}

#[tokio::test]
async fn a_response_whose_head_is_late_is_not_lost_when_another_target_refuses() {
    for policy in [RetryPolicy::Resume, RetryPolicy::Always] {
        let late = Step::complete(&[FIRST, SECOND]).delayed(SILENCE);
        let steps = vec![late, Step::not_run()];
        assert_complete(&forward_to(pools(2), route(policy, 2), steps).await);
    }
}

/// A second target may be silent itself before it refuses.
#[tokio::test]
async fn a_silent_target_is_not_lost_when_another_target_refuses_late() {
    for first in [silent_stream(), Step::complete(&[FIRST, SECOND]).delayed(SILENCE)] {
        let has_begun = first.delay.is_zero();
        let rest: &[&str] = if has_begun { &[SECOND] } else { &[FIRST, SECOND] };
        let refusal = Step::not_run().delayed(Duration::from_millis(500));
        let steps = vec![first, refusal, Step::complete(rest)];
        assert_complete(&forward_to(pools(2), route(RetryPolicy::Resume, 2), steps).await);
    }
}

/// The head of a refusal arrives before its end.
#[tokio::test]
async fn a_late_refusal_does_not_cancel_the_request_at_another_target() {
    let mut refusal = Step::not_run().delayed(Duration::from_millis(500));
    refusal.body = vec![Part::Silence(Duration::from_millis(20))];
    let second = Step::complete(&[FIRST, SECOND]).delayed(Duration::from_millis(150));
    for policy in [RetryPolicy::Resume, RetryPolicy::Always] {
        let steps = vec![refusal.clone(), second.clone()];
        assert_complete(&forward_to(pools(2), route(policy, 2), steps).await);
    }
}

#[tokio::test]
async fn a_stream_of_a_target_that_stays_silent_continues_at_another_one() {
    let steps = vec![Step::silent(&[FIRST]), Step::complete(&[SECOND])];
    let started = Instant::now();
    let forwarded = forward_to(pools(2), route(RetryPolicy::Resume, 2), steps).await;
    assert_complete(&forwarded);
    assert!(started.elapsed() < SILENCE, "{:?}", started.elapsed());
    let overlap = forwarded.script.overlap(0, 1);
    assert!(overlap < MAX_OVERLAP, "two targets worked for {overlap:?}");
}

#[tokio::test]
async fn two_targets_do_not_work_on_a_stream_while_the_second_is_slow_to_respond() {
    let second = Step::complete(&[SECOND]).delayed(SILENCE);
    let steps = vec![Step::silent(&[FIRST]), second];
    let forwarded = forward_to(pools(2), route(RetryPolicy::Resume, 2), steps).await;
    assert_complete(&forwarded);
    let overlap = forwarded.script.overlap(0, 1);
    assert!(overlap < MAX_OVERLAP, "two targets worked for {overlap:?}");
}

#[tokio::test]
async fn a_target_that_sends_another_event_and_breaks_off_is_followed_by_the_right_event() {
    let pause = Duration::from_millis(200);
    let first = Step { end: BodyEnd::Broken, ..Step::pause(&[FIRST], pause, &[SECOND]) };
    let second = Step::complete(&[SECOND, THIRD]).delayed(Duration::from_millis(100));
    let steps = vec![first, second, Step::complete(&[THIRD])];
    let forwarded = forward_to(pools(3), route(RetryPolicy::Resume, 2), steps).await;
    assert!(!forwarded.summary.interrupted, "{:?}", forwarded.summary);
    assert_eq!(forwarded.caller.text, format!("{FIRST}{SECOND}{THIRD}"));
    let resumed: Vec<_> =
        forwarded.script.dispatches.lock().iter().map(|sent| sent.resume_after).collect();
    assert_eq!(resumed, [None, Some(1), Some(2)]);
}

#[tokio::test]
async fn the_head_of_an_error_does_not_cancel_the_request_at_another_target() {
    let mut error = Step::error(500, "failed").delayed(Duration::from_millis(550));
    error.body.insert(0, Part::Silence(Duration::from_millis(20)));
    let second = Step::complete(&[FIRST, SECOND]).delayed(Duration::from_millis(200));
    let steps = vec![error, second];
    assert_complete(&forward_to(pools(2), route(RetryPolicy::Resume, 2), steps).await);
}

#[tokio::test]
async fn a_request_that_ran_beside_a_silent_target_is_not_reported_as_not_run() {
    for policy in [RetryPolicy::Resume, RetryPolicy::Always] {
        let steps = vec![Step::not_run().delayed(SILENCE), Step::error(500, "failed")];
        let forwarded = forward_to(pools(2), route(policy, 2), steps).await;
        let refusal = forwarded.summary.refusal.expect("refused");
        assert_ne!(refusal.reason, RefusalReason::NotRun, "{:?}", forwarded.summary);
    }
}

/// The record of a request says how it ended for its caller.
#[tokio::test]
async fn a_stream_that_is_cut_by_its_deadline_is_recorded_as_interrupted() {
    let mut route = route(RetryPolicy::Never, 1);
    route.timeout = Span::from_millis(300);
    let Forwarded { summary, .. } = forward_to(pools(1), route, vec![silent_stream()]).await;
    assert!(summary.interrupted && summary.refusal.is_none(), "{summary:?}");
    assert!(summary.first_byte.is_some(), "{summary:?}");
}

/// Targets that send their events over sockets, from a thread of their own.
#[derive(Debug, Default)]
struct SocketTargets {
    requests: AtomicUsize,
}

struct SocketBody(TcpStream);

/// Time between the two events of a [`SocketTargets`] stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

impl TargetTransport for SocketTargets {
    type Body = SocketBody;

    async fn send(&self, _: Dispatch) -> Result<TargetResponse<SocketBody>, SendError> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("connection");
            stream.write_all(FIRST.as_bytes()).expect("written");
            thread::sleep(EVENT_INTERVAL);
            stream.write_all(SECOND.as_bytes()).expect("written");
        });
        let stream = TcpStream::connect(address).await.expect("connected");
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        Ok(TargetResponse::new(head, SocketBody(stream)))
    }
}

impl ResponseBody for SocketBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        let mut buffer = BytesMut::with_capacity(1024);
        match self.0.read_buf(&mut buffer).await {
            Ok(0) => None,
            Ok(_) => Some(Ok(buffer.freeze())),
            Err(error) => Some(Err(BodyError(error.to_string()))),
        }
    }
}

#[tokio::test]
async fn a_pause_of_this_process_is_not_read_as_silence_of_its_target() {
    for _ in 0..10 {
        let targets = Arc::new(SocketTargets::default());
        let relay = Relay::new(pools(2), Arc::clone(&targets));
        let pause = tokio::spawn(async {
            tokio::time::sleep(EVENT_INTERVAL / 2).await;
            thread::sleep(Duration::from_millis(300));
        });
        let mut caller = Caller::default();
        let summary = relay.forward(&request(), &route(RetryPolicy::Resume, 2), &mut caller).await;
        assert_eq!(caller.text, format!("{FIRST}{SECOND}"), "{summary:?}");
        assert_eq!(targets.requests.load(Ordering::Relaxed), 1, "{summary:?}");
        pause.await.expect("pause");
    }
}
