//! Requests to confirm what this host follows by a read of the platform.
//!
//! What a host follows may be seconds old without its knowledge. A decision that needs the present
//! state asks for a read that begins after the request. One read answers all requests made before
//! it began.

use tokio::sync::watch;

/// The outcome of the last read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Answer {
    /// Number of the last request that the read answers.
    number: u64,
    is_confirmed: bool,
}

/// Requests for a read, numbered from 1, and its outcome.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    asked: watch::Sender<u64>,
    answered: watch::Sender<Answer>,
}

/// The requests, for the task that reads.
#[derive(Debug)]
pub(crate) struct ConfirmRequests {
    asked: watch::Receiver<u64>,
    answered: watch::Sender<Answer>,
}

impl Confirmations {
    /// Waits for a read that begins after this call; returns whether what this host follows is as
    /// new as that read.
    pub(crate) async fn confirm(&self) -> bool {
        let mut answered = self.answered.subscribe();
        let number = self.request();
        // The sender lives as long as `self`.
        let answer = answered.wait_for(|answer| answer.number >= number).await;
        answer.is_ok_and(|answer| answer.is_confirmed)
    }

    /// Asks for a read that begins after this call; returns the number of the request.
    pub(crate) fn request(&self) -> u64 {
        let mut number = 0;
        self.asked.send_modify(|asked| {
            *asked += 1;
            number = *asked;
        });
        number
    }

    /// Whether a task reads on request.
    pub(crate) fn has_reader(&self) -> bool {
        self.asked.receiver_count() > 0
    }

    /// The requests that are not answered yet.
    pub(crate) fn requests(&self) -> ConfirmRequests {
        ConfirmRequests { asked: self.asked.subscribe(), answered: self.answered.clone() }
    }
}

impl ConfirmRequests {
    /// Waits for an unanswered request; returns the number of the last one. Does not lose any if
    /// it is dropped.
    pub(crate) async fn next(&mut self) -> u64 {
        let done = self.answered.borrow().number;
        let asked = self.asked.wait_for(|asked| *asked > done).await.map(|asked| *asked);
        match asked {
            Ok(asked) => asked,
            // Nobody can ask any more.
            Err(_) => std::future::pending().await,
        }
    }

    /// Answers all requests up to `number`, which the read began after, unless a later one is answered
    /// already.
    pub(crate) fn answer(&self, number: u64, is_confirmed: bool) {
        self.answered.send_if_modified(|answer| {
            let is_new = number >= answer.number;
            if is_new {
                *answer = Answer { number, is_confirmed };
            }
            is_new
        });
    }
}
