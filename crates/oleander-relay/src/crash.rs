//! Crashes of targets, and the requests to which they are attributed.

use std::sync::Arc;

use oleander_core::{Span, hash};
use oleander_quarantine::RequestParts;

use crate::{lease::TargetLease, request::Request, transport::TargetTransport};

/// The parts of a request, by which a crash of its target is attributed.
pub fn request_parts<T: TargetTransport>(transport: &T, request: &Request) -> Arc<RequestParts> {
    let content = hash::hash_bytes(&request.body).to_string();
    let content = hash::hash_parts(&[&request.host, &request.path, &content]);
    Arc::new(RequestParts::new(transport.shared_parts(request), content))
}

/// Finds out whether a target that broke off has crashed, or only a connection failed.
///
/// A request without output waits for the result, since its next target depends on it.
pub(crate) async fn check_target<T: TargetTransport>(transport: &Arc<T>, lease: TargetLease) {
    let TargetLease { pool, target, has_output, .. } = &lease;
    if !lease.broke_off || pool.quarantine.has_crashed(&target.run(), Span(u64::MAX)) {
        return;
    }
    let (pool, target, has_output) = (Arc::clone(pool), target.clone(), *has_output);
    drop(lease);
    let transport = Arc::clone(transport);
    let check = async move {
        let ended = transport.refuses_connections(&target).await;
        log::info!(target:% = target.id, address:% = target.address, has_output, ended;
            "target broke off");
        if ended {
            pool.record_crash(&target);
        }
    };
    if has_output {
        tokio::spawn(check);
    } else {
        check.await;
    }
}
