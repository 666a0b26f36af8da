//! Task that runs the reconciler: passes it the document and the live hosts, and executes its
//! actions.

mod executor;
mod inputs;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_core::{HostId, Revision, hash};
use oleander_host::clock;
use oleander_orders::{OrderAction, OrderEvent, OrdersConfig, Reconciler};
use tokio::sync::mpsc;

use crate::{app::App, orders::executor::Executor};

const MAX_QUEUED_EVENTS: usize = 1024;
/// Minimum time between two checks for changes of the document and the hosts.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of the reconciler after the start, within which this host discovers the other hosts.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// Starts the task that orders the engines owned by this host to load and unload models.
pub(crate) fn start(app: &Arc<App>) {
    let (events, results) = mpsc::channel(MAX_QUEUED_EVENTS);
    let host = app.settings.host.clone();
    let incarnation = clock::now().0;
    let seed = hash::hash_parts(&[host.as_str()]) ^ incarnation;
    let config = OrdersConfig::new();
    let task = OrdersTask {
        app: Arc::clone(app),
        reconciler: Reconciler::new(config, host, incarnation, seed),
        executor: Executor::new(app.platform.clone(), config.call_timeout().to_duration(), events),
        revision: None,
        hosts: Vec::new(),
        refreshed_at: None,
    };
    tokio::spawn(task.run(results));
}

struct OrdersTask {
    app: Arc<App>,
    reconciler: Reconciler,
    executor: Executor,
    revision: Option<Revision>,
    hosts: Vec<HostId>,
    refreshed_at: Option<Instant>,
}

impl OrdersTask {
    async fn run(mut self, mut results: mpsc::Receiver<OrderEvent>) {
        tokio::time::sleep(STARTUP_DELAY).await;
        loop {
            self.refresh();
            self.step(OrderEvent::Tick);
            let now = clock::now();
            let wake = self.reconciler.next_wake().map(|at| at.since(now).to_duration());
            let wait = wake.map_or(REFRESH_INTERVAL, |wake| wake.min(REFRESH_INTERVAL));
            match tokio::time::timeout(wait, results.recv()).await {
                Ok(Some(event)) => self.step(event),
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Passes the document and the live hosts to the reconciler if they have changed.
    fn refresh(&mut self) {
        if self.refreshed_at.is_some_and(|refreshed_at| refreshed_at.elapsed() < REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(Instant::now());
        if self.app.document.revision() != self.revision
            && let Some(current) = self.app.document.current()
        {
            self.revision = Some(current.revision);
            let goals = inputs::goals(&current.document);
            self.step(OrderEvent::Document { revision: current.revision, goals });
        }
        let hosts = inputs::live_entries(&self.app);
        if hosts != self.hosts {
            self.hosts.clone_from(&hosts);
            self.step(OrderEvent::Hosts(hosts));
        }
    }

    fn step(&mut self, event: OrderEvent) {
        let actions: Vec<OrderAction> = self.reconciler.handle(clock::now(), event);
        for action in actions {
            self.executor.spawn(action);
        }
    }
}
