//! The shell of the orderer: feeds it the document and the live hosts, and makes its calls.

mod executor;
mod inputs;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_core::{HostId, Revision, hash};
use oleander_host::clock;
use oleander_orders::{OrderAction, OrderEvent, Orderer, OrdersConfig};
use tokio::sync::mpsc;

use crate::{app::App, orders::executor::Calls};

const QUEUE: usize = 1024;
/// Time between two looks at the document and the hosts.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start until the other hosts count as known.
const START_DELAY: Duration = Duration::from_secs(2);

/// Starts ordering models to the engines that this host owns.
pub(crate) fn start(app: &Arc<App>) {
    let (events, inbox) = mpsc::channel(QUEUE);
    let host = app.settings.host.clone();
    let incarnation = clock::now().0;
    let seed = hash::hash_parts(&[host.as_str()]) ^ incarnation;
    let config = OrdersConfig::new();
    let task = OrdersTask {
        app: Arc::clone(app),
        orderer: Orderer::new(config, host, incarnation, seed),
        calls: Calls::new(app.platform.clone(), config.call_limit().to_duration(), events),
        document: None,
        hosts: Vec::new(),
        looked: None,
    };
    tokio::spawn(task.run(inbox));
}

struct OrdersTask {
    app: Arc<App>,
    orderer: Orderer,
    calls: Calls,
    document: Option<Revision>,
    hosts: Vec<HostId>,
    looked: Option<Instant>,
}

impl OrdersTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<OrderEvent>) {
        tokio::time::sleep(START_DELAY).await;
        loop {
            self.look();
            self.step(OrderEvent::Tick);
            let now = clock::now();
            let wake = self.orderer.next_wake().map(|at| at.since(now).to_duration());
            let wait = wake.map_or(LOOK_INTERVAL, |wake| wake.min(LOOK_INTERVAL));
            match tokio::time::timeout(wait, inbox.recv()).await {
                Ok(Some(event)) => self.step(event),
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Takes in the document and the hosts, where they have changed.
    fn look(&mut self) {
        if self.looked.is_some_and(|looked| looked.elapsed() < LOOK_INTERVAL) {
            return;
        }
        self.looked = Some(Instant::now());
        if self.app.documents.revision() != self.document
            && let Some(current) = self.app.documents.current()
        {
            self.document = Some(current.revision);
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
        let actions: Vec<OrderAction> = self.orderer.handle(clock::now(), event);
        for action in actions {
            self.calls.make(action);
        }
    }
}
