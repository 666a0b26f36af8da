//! Execution of the reconciler's actions: records at the platform, state and orders at engines.

use std::time::Duration;

use bytes::Bytes;
use oleander_core::{Fence, Revision, Time};
use oleander_host::clock;
use oleander_orders::{
    ActionId, Command, ListedRecord, ORDER_PREFIX, OrderAction, OrderEvent, OrderRecord,
    ReadOutcome, SendOutcome, StoredRecord, WriteOutcome,
};
use oleander_platform::{Created, HttpPlatform, Object, ObjectMeta, ObjectStore, Updated};
use oleander_target::{Order, OrderOutcome, TargetClient, Timeouts};
use tokio::sync::mpsc;

/// Number of objects in one page of a listing.
const PAGE_SIZE: usize = 1_000;
/// Maximum time for the head of an engine's response, and for its body.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Executes actions and sends their results to the reconciler as events.
#[derive(Clone)]
pub(super) struct Executor {
    platform: HttpPlatform,
    targets: TargetClient,
    timeout: Duration,
    events: mpsc::Sender<OrderEvent>,
}

impl Executor {
    pub(super) fn new(
        platform: HttpPlatform,
        timeout: Duration,
        events: mpsc::Sender<OrderEvent>,
    ) -> Self {
        let targets = TargetClient::new(Timeouts::new().first_byte(ENGINE_TIMEOUT));
        Self { platform, targets, timeout, events }
    }

    /// Executes an action in the background.
    pub(super) fn spawn(&self, action: OrderAction) {
        let executor = self.clone();
        tokio::spawn(async move {
            let event = executor.execute(action).await;
            let _ = executor.events.send(event).await;
        });
    }

    async fn execute(&self, action: OrderAction) -> OrderEvent {
        match action {
            OrderAction::ReadRecord(id) => {
                let read = self.read(&id).await;
                OrderEvent::RecordRead(id, read)
            }
            OrderAction::WriteRecord { id, expected, record } => {
                let outcome = self.write(&id, expected, &record).await;
                OrderEvent::RecordWritten(id, outcome)
            }
            OrderAction::ReadState { id, address } => {
                let state =
                    tokio::time::timeout(self.timeout, self.targets.read_state(&address)).await;
                let models = state.ok().and_then(Result::ok).map(|state| state.models);
                OrderEvent::StateRead(id, models)
            }
            OrderAction::SendOrder { id, address, fence, command, not_after } => {
                let outcome = self.order(&address, fence, command, not_after).await;
                OrderEvent::OrderSent(id, outcome)
            }
            OrderAction::ListRecords => OrderEvent::RecordsListed(self.list().await),
        }
    }

    async fn read(&self, id: &ActionId) -> ReadOutcome {
        let key = OrderRecord::key(&id.target);
        match self.platform.get(&key).await {
            Ok(Some(object)) => decode(&key, &object),
            Ok(None) => ReadOutcome::Absent,
            Err(error) => {
                log::warn!("reading {key} failed: {error}");
                ReadOutcome::Failed
            }
        }
    }

    async fn write(
        &self,
        id: &ActionId,
        expected: Option<Revision>,
        record: &OrderRecord,
    ) -> WriteOutcome {
        let key = OrderRecord::key(&id.target);
        let body = match record.encode() {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!("record {key} can't be encoded: {error}");
                return WriteOutcome::Failed;
            }
        };
        let written = match expected {
            None => self.platform.create(&key, body).await.map(|created| match created {
                Created::New(revision) => WriteOutcome::Done(revision),
                Created::Exists => WriteOutcome::Conflict,
            }),
            Some(expected) => {
                self.platform.update(&key, body, expected).await.map(|updated| match updated {
                    Updated::Done(revision) => WriteOutcome::Done(revision),
                    Updated::Stale(_) => WriteOutcome::Conflict,
                })
            }
        };
        written.unwrap_or_else(|error| {
            log::warn!("writing {key} failed: {error}");
            WriteOutcome::Failed
        })
    }

    async fn order(
        &self,
        address: &str,
        fence: Fence,
        command: Command,
        not_after: Time,
    ) -> SendOutcome {
        let order = match command {
            Command::Load(model) => Order::Load(model),
            Command::Unload(model) => Order::Unload(model),
        };
        if clock::now() > not_after {
            return SendOutcome::Expired;
        }
        let call = self.targets.send_order(address, fence, &order);
        let outcome = match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(OrderOutcome::Accepted)) => SendOutcome::Accepted,
            Ok(Ok(OrderOutcome::Stale(current))) => SendOutcome::Refused(current),
            Ok(Err(_)) | Err(_) => SendOutcome::Failed,
        };
        log::info!("order {order:?} with fence {fence} to {address}: {outcome:?}");
        outcome
    }

    /// Keys of all records; empty if a page can't be read.
    async fn list(&self) -> Vec<ListedRecord> {
        let mut keys = Vec::new();
        let mut after = String::new();
        loop {
            let page = match self.platform.list(ORDER_PREFIX, &after, PAGE_SIZE).await {
                Ok(page) => page,
                Err(error) => {
                    log::warn!("listing the orders failed: {error}");
                    return Vec::new();
                }
            };
            keys.extend(page.objects.iter().filter_map(listed_record));
            match page.objects.last() {
                Some(last) if page.more => after.clone_from(&last.key),
                _ => return keys,
            }
        }
    }
}

fn decode(key: &str, object: &Object) -> ReadOutcome {
    match OrderRecord::decode(&object.body) {
        Ok(record) => ReadOutcome::Found(StoredRecord { revision: object.revision, record }),
        Err(error) => {
            log::error!("record {key} can't be decoded: {error}");
            ReadOutcome::Failed
        }
    }
}

fn listed_record(listed: &ObjectMeta) -> Option<ListedRecord> {
    let target = listed.key.strip_prefix(ORDER_PREFIX)?.parse().ok()?;
    Some(ListedRecord { target, revision: listed.revision })
}
