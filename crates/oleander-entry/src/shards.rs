//! The shell of the shards that this host owns.
//!
//! Each shard is one task that feeds its state machine and carries out its actions.

use std::{collections::HashMap, ops::Range, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use oleander_core::{CallId, HostId, ShardId, Span};
use oleander_host::clock;
use oleander_ledger::{
    CallRecord, LogEvent, Segment, Shard, ShardAction, ShardConfig, ShardEvent, ShardReply, Ticket,
};
use oleander_peer::ShardCall;
use oleander_platform::{Created, ObjectStore};
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// Objects of a log that are read at once.
const MAX_READ_AHEAD: u64 = 64;
const QUEUE: usize = 4096;
const IDLE_TICK: Duration = Duration::from_millis(200);

/// The other hosts, as a shard needs them.
pub(crate) trait Others: Clone + Send + Sync + 'static {
    /// Returns once the second host holds the copies; false if none does.
    fn copy(&self, shard: ShardId, records: Vec<CallRecord>) -> impl Future<Output = bool> + Send;

    /// Outcomes of a shard that other hosts hold uncommitted, and whether all live hosts answered.
    fn gather(&self, shard: ShardId) -> impl Future<Output = (Vec<CallRecord>, bool)> + Send;

    /// Number of the view of the live hosts; it changes with them.
    fn view(&self) -> u64;

    /// Whether this host is the shard's first owner.
    fn is_owner(&self, shard: ShardId) -> bool;
}

enum Input {
    /// The log goes on up to this sequence number; what was read of it is out of date.
    ReadAgain(u64),
    Ask(ShardCall, oneshot::Sender<ShardReply>),
    Event(ShardEvent),
}

/// All shards that this host was asked about.
pub(crate) struct Shards<P, S> {
    platform: P,
    others: S,
    host: HostId,
    incarnation: u64,
    config: ShardConfig,
    inputs: Mutex<HashMap<ShardId, mpsc::Sender<Input>>>,
    backlog: Arc<Mutex<HashMap<ShardId, usize>>>,
}

impl<P: ObjectStore, S: Others> Shards<P, S> {
    /// Shards with their log at `platform`.
    pub(crate) fn new(
        platform: P,
        others: S,
        host: HostId,
        incarnation: u64,
        config: ShardConfig,
    ) -> Self {
        Self {
            platform,
            others,
            host,
            incarnation,
            config,
            inputs: Mutex::default(),
            backlog: Arc::default(),
        }
    }

    /// Asks a shard; `None` if it can't answer.
    pub(crate) async fn ask(&self, shard: ShardId, call: ShardCall) -> Option<ShardReply> {
        let (reply, answer) = oneshot::channel();
        self.input(shard).send(Input::Ask(call, reply)).await.ok()?;
        answer.await.ok()
    }

    /// Opens the shards that this host owns, so that they are read before they are asked.
    pub(crate) fn open_owned(&self, shards: u32) {
        for shard in (0..shards).map(ShardId).filter(|&shard| self.others.is_owner(shard)) {
            self.input(shard);
        }
    }

    /// Number of outcomes that the platform does not hold yet.
    pub(crate) fn backlog(&self) -> usize {
        self.backlog.lock().values().sum()
    }

    fn input(&self, shard: ShardId) -> mpsc::Sender<Input> {
        let mut inputs = self.inputs.lock();
        if let Some(input) = inputs.get(&shard) {
            return input.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE);
        let task = ShardTask {
            id: shard,
            shard: Shard::new(self.host.clone(), self.incarnation, self.config),
            platform: self.platform.clone(),
            others: self.others.clone(),
            events: sender.clone(),
            replies: HashMap::new(),
            tickets: 0,
            backlog: Arc::clone(&self.backlog),
            ahead: 0..0,
            depth: 1,
        };
        tokio::spawn(task.run(receiver));
        inputs.insert(shard, sender.clone());
        sender
    }
}

struct ShardTask<P, S> {
    id: ShardId,
    shard: Shard,
    platform: P,
    others: S,
    events: mpsc::Sender<Input>,
    replies: HashMap<Ticket, oneshot::Sender<ShardReply>>,
    tickets: u64,
    backlog: Arc<Mutex<HashMap<ShardId, usize>>>,
    /// Sequence numbers that are being read and not yet delivered.
    ahead: Range<u64>,
    /// Number of objects read at once.
    depth: u64,
}

impl<P: ObjectStore, S: Others> ShardTask<P, S> {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        self.step(ShardEvent::Log(LogEvent::Tick));
        loop {
            let now = clock::now();
            let wait =
                self.shard.next_wake(now).map_or(IDLE_TICK, |at| at.since(now).to_duration());
            let input = tokio::time::timeout(wait.min(IDLE_TICK), inputs.recv()).await;
            self.step(ShardEvent::View(self.others.view(), self.others.is_owner(self.id)));
            let event = match input {
                Ok(Some(Input::Ask(call, reply))) => self.open_ticket(call, reply),
                Ok(Some(Input::Event(event))) => event,
                Ok(Some(Input::ReadAgain(sequence))) => {
                    self.ahead = 0..0;
                    self.fetch(sequence);
                    continue;
                }
                Ok(None) => return,
                Err(_) => ShardEvent::Log(LogEvent::Tick),
            };
            self.delivered(&event);
            self.step(event);
        }
    }

    fn open_ticket(&mut self, call: ShardCall, reply: oneshot::Sender<ShardReply>) -> ShardEvent {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let event = match call {
            ShardCall::Claim(claim) => ShardEvent::Claim(ticket, claim),
            ShardCall::Record(call, digest, outcome) => {
                ShardEvent::Record(ticket, call, digest, outcome)
            }
            ShardCall::Withdraw(call, attempt) => ShardEvent::Withdraw(ticket, call, attempt),
            ShardCall::Lookup(call) => ShardEvent::Lookup(ticket, call),
            ShardCall::Buffered => ShardEvent::Buffered(ticket),
            ShardCall::Copies(records) => {
                let _ = reply.send(ShardReply::Withdrawn);
                return ShardEvent::Copies(records);
            }
        };
        self.replies.insert(ticket, reply);
        event
    }

    fn step(&mut self, event: ShardEvent) {
        for action in self.shard.handle(clock::now(), event) {
            self.perform(action);
        }
        self.backlog.lock().insert(self.id, self.shard.backlog());
    }

    fn perform(&mut self, action: ShardAction) {
        match action {
            ShardAction::Create(sequence, segment) => self.create(sequence, segment),
            ShardAction::Fetch(sequence) => self.fetch(sequence),
            ShardAction::Reply(ticket, reply) => {
                if let Some(sender) = self.replies.remove(&ticket) {
                    let _ = sender.send(reply);
                }
            }
            ShardAction::Copy(records) => self.copy(records),
            ShardAction::Gather => self.gather(),
        }
    }

    fn key(&self, sequence: u64) -> String {
        format!("log/{:04}/{sequence:010}", self.id.0)
    }

    fn create(&self, sequence: u64, segment: Segment<CallRecord>) {
        let (platform, events, key) =
            (self.platform.clone(), self.events.clone(), self.key(sequence));
        tokio::spawn(async move {
            let event = match segment.encode() {
                Ok(body) => match platform.create(&key, Bytes::from(body)).await {
                    Ok(Created::New(_)) => LogEvent::Created(sequence),
                    Ok(Created::Exists) => LogEvent::Exists(sequence),
                    Err(error) => {
                        log::warn!("create of {key} failed: {error}");
                        LogEvent::Failed(sequence)
                    }
                },
                Err(error) => {
                    log::error!("segment {key} can't be encoded: {error}");
                    LogEvent::Failed(sequence)
                }
            };
            let _ = events.send(Input::Event(ShardEvent::Log(event))).await;
        });
    }

    /// Reads an object, and more and more of those after it while the log goes on.
    ///
    /// Only the first read of a batch may find the end of the log: the others began before they
    /// were asked for, and would make the end look more recent than it is.
    fn fetch(&mut self, sequence: u64) {
        if self.ahead.contains(&sequence) {
            return;
        }
        let follows = sequence == self.ahead.end && self.ahead.is_empty();
        self.depth = if follows { (self.depth * 2).min(MAX_READ_AHEAD) } else { 1 };
        self.ahead = sequence..sequence + self.depth;
        let keys: Vec<(u64, String)> = self.ahead.clone().map(|n| (n, self.key(n))).collect();
        let (platform, events) = (self.platform.clone(), self.events.clone());
        tokio::spawn(async move {
            let reads = keys.iter().map(|(sequence, key)| read(&platform, *sequence, key));
            for (index, event) in join_all(reads).await.into_iter().enumerate() {
                let is_object = matches!(event, LogEvent::Fetched(_, Some(_)));
                if index > 0 && !is_object {
                    let _ = events.send(Input::ReadAgain(keys[index].0)).await;
                    return;
                }
                let _ = events.send(Input::Event(ShardEvent::Log(event))).await;
            }
        });
    }

    /// Notes that a read was delivered.
    fn delivered(&mut self, event: &ShardEvent) {
        if let ShardEvent::Log(LogEvent::Fetched(sequence, _) | LogEvent::Failed(sequence)) = event
            && self.ahead.contains(sequence)
        {
            self.ahead.start = sequence + 1;
        }
    }

    fn gather(&self) {
        let (others, events, shard) = (self.others.clone(), self.events.clone(), self.id);
        tokio::spawn(async move {
            let (records, complete) = others.gather(shard).await;
            let event = ShardEvent::Gathered(records, complete);
            let _ = events.send(Input::Event(event)).await;
        });
    }

    fn copy(&self, records: Vec<CallRecord>) {
        let (others, events, shard) = (self.others.clone(), self.events.clone(), self.id);
        tokio::spawn(async move {
            let calls: Vec<CallId> = records.iter().map(|record| record.call().clone()).collect();
            if others.copy(shard, records).await {
                let _ = events.send(Input::Event(ShardEvent::Copied(calls))).await;
            }
        });
    }
}

/// Reads one object of a log.
async fn read<P: ObjectStore>(platform: &P, sequence: u64, key: &str) -> LogEvent<CallRecord> {
    match platform.get(key).await {
        Ok(None) => LogEvent::Fetched(sequence, None),
        Ok(Some(object)) => match Segment::decode(&object.body) {
            Ok(segment) => LogEvent::Fetched(sequence, Some(segment)),
            Err(error) => {
                log::error!("segment {key} can't be decoded: {error}");
                LogEvent::Failed(sequence)
            }
        },
        Err(error) => {
            log::warn!("read of {key} failed: {error}");
            LogEvent::Failed(sequence)
        }
    }
}

/// Tunables of the shards for a commit interval.
pub(crate) const fn shard_config(interval: Span) -> ShardConfig {
    ShardConfig::new().commit_interval(interval)
}
