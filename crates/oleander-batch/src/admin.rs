//! Operators' interface of the batch host.

use std::sync::Arc;

use oleander_host::{AdminState, HostState, HostStatus};
use oleander_node::target_status;

use crate::app::App;

/// Status and drain of the batch host for the operators' interface.
pub(crate) struct BatchAdmin(pub(crate) Arc<App>);

impl AdminState for BatchAdmin {
    async fn status(&self) -> HostStatus {
        let app = &self.0;
        let revision = app.document.revision();
        let state = match (app.is_running(), revision) {
            (false, _) => HostState::Draining,
            (true, None) => HostState::Starting,
            (true, Some(_)) => HostState::Ready,
        };
        let targets = app.pools.all().into_iter().flat_map(|pool| pool.snapshot());
        HostStatus {
            host: app.settings.host.clone(),
            role: app.settings.role,
            zone: app.settings.zone.clone(),
            revision,
            state,
            in_flight: app.runs.lock().len() as u64,
            targets: targets.map(target_status).collect(),
        }
    }

    async fn drain(&self) {
        self.0.shutdown.start();
    }
}
