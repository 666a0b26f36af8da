//! Crashes of targets, and the requests to which they are attributed.

use std::sync::Arc;

use oleander_core::{Span, hash};
use oleander_host::clock;
use oleander_quarantine::RequestParts;

use crate::{
    lease::TargetLease,
    pool::Pool,
    pools::CrashReport,
    relay::Relay,
    request::Request,
    target_list::TargetEntry,
    transport::{Reach, TargetTransport},
};

/// Maximum number of other targets to which a host connects when one refuses it, to tell a crash
/// from lost links of its own.
const CONTROLS: usize = 3;

/// The parts of a request, by which a crash of its target is attributed.
pub fn request_parts<T: TargetTransport>(transport: &T, request: &Request) -> Arc<RequestParts> {
    let content = hash::hash_bytes(&request.body).to_string();
    let content = hash::hash_parts(&[&request.host, &request.path, &content]);
    Arc::new(RequestParts::new(transport.shared_parts(request), content))
}

/// Finds out whether a target that broke off or refused a connection has crashed, or only a
/// connection failed.
///
/// A request without output waits for the result, since its next target depends on it.
pub(crate) async fn check_target<T: TargetTransport>(transport: &Arc<T>, mut lease: TargetLease) {
    let alone = lease.alone.take();
    let TargetLease { pool, run, has_output, .. } = &lease;
    let has_failed = lease.broke_off || lease.is_refused;
    if !has_failed || pool.quarantine.has_crashed(run, Span(u64::MAX)) {
        return;
    }
    let (run, has_output) = (run.clone(), *has_output);
    let check = Check {
        transport: Arc::clone(transport),
        pool: Arc::clone(pool),
        target: lease.target.clone(),
        is_refused: lease.is_refused,
    };
    drop(lease);
    let check = async move {
        let state = check.state().await;
        log::info!(target:% = run.target, address:% = check.target.address, has_output, state:?;
            "target broke off");
        match state {
            RunState::GoesOn => {}
            RunState::Unclear => check.pool.record_doubt(clock::steady(), check.target.run()),
            RunState::Ended => check.pool.record_crash(&run),
        }
        drop(alone);
    };
    if has_output {
        tokio::spawn(check);
    } else {
        check.await;
    }
}

/// What is known of the run of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// It accepts connections.
    GoesOn,
    /// It does not, and nor do others.
    Unclear,
    /// It refuses connections, and another target does not.
    Ended,
}

/// The check of a target that failed.
struct Check<T> {
    transport: Arc<T>,
    pool: Arc<Pool>,
    target: TargetEntry,
    /// Whether the target has refused a connection already.
    is_refused: bool,
}

impl<T: TargetTransport> Check<T> {
    async fn state(&self) -> RunState {
        if !self.is_refused {
            match self.transport.connect(&self.target).await {
                Reach::Accepted => return RunState::GoesOn,
                Reach::Failed => return RunState::Unclear,
                Reach::Refused => {}
            }
        }
        let others = self.pool.others(&self.target.id, CONTROLS);
        for other in &others {
            if self.transport.connect(other).await == Reach::Accepted {
                return RunState::Ended;
            }
        }
        // A host that reaches no target can't tell; without another target, the refusal decides.
        if others.is_empty() { RunState::Ended } else { RunState::Unclear }
    }
}

impl<T: TargetTransport> Relay<T> {
    /// Tries the targets whose crashes other hosts report, which may have lost their links only;
    /// never returns.
    pub async fn verify_crashes(self: Arc<Self>) {
        loop {
            for report in self.pools.crash_reports().await {
                tokio::spawn(verify(Arc::clone(&self.transport), report));
            }
        }
    }
}

async fn verify<T: TargetTransport>(transport: Arc<T>, report: CrashReport) {
    let CrashReport { pool, run, target } = report;
    if transport.connect(&target).await == Reach::Accepted {
        log::info!(target:% = run.target; "target accepts connections, though another host reports its crash");
        pool.quarantine.record_reached(&run);
    }
}
