//! A job that is ended while its host waits for the answer of the write that accepts it.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    fleet::Fleet,
    jobs::{job, submission},
    process::MESSAGE_LOST,
    store::NextWrite,
};

/// Time in which the record is written, and less than that in which its answer is lost.
const WRITTEN: Duration = Duration::from_millis(200);
const WATCHED: Duration = Duration::from_secs(6);

/// The host took the record that it read for its own, at the revision of the end, and opened it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_ended_before_it_is_known_as_accepted_is_not_opened_again() {
    let fleet = Fleet::start(2).await;
    let (owner, other, ended) = (fleet.host(0), fleet.host(1), job("ended"));
    fleet.feeder.path.faults.lock().stands_still = true;
    sleep(Duration::from_secs(1)).await;
    owner.set_loss(MESSAGE_LOST);
    owner.path.faults.lock().next_write = NextWrite::AnswerLost;
    let end = async {
        sleep(WRITTEN).await;
        other.cancel(&ended).await.expect("no panic")
    };
    let ((), cancelled) = tokio::join!(owner.submit(submission("ended", 2_000)), end);
    assert_eq!(cancelled, Ok(true));
    owner.hand_over();
    sleep(WATCHED).await;
    assert!(fleet.is_ended(&ended).await, "the record is open again");
    assert_eq!(fleet.starts_of(&ended).len(), 0, "items of the ended job have run");
}
