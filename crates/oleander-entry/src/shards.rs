//! Tasks that run the shards of call records.
//!
//! Each shard has one task, which passes events to the shard's state machine and executes the
//! actions that it returns.

use std::{collections::HashMap, ops::Range, sync::Arc, time::Duration};

use futures_util::future::join_all;
use oleander_core::{CallId, HostId, ShardId, Span};
use oleander_host::clock;
use oleander_ledger::{
    CallRecord, LogEvent, Segment, Shard, ShardAction, ShardConfig, ShardEvent, ShardReply, Ticket,
};
use oleander_node::create_segment;
use oleander_peer::ShardRequest;
use oleander_platform::ObjectStore;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of log objects read concurrently.
const MAX_READ_AHEAD: u64 = 64;
const MAX_QUEUED_INPUTS: usize = 4096;
/// Maximum time between two events of a shard.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Access of a shard to the other entry hosts.
pub(crate) trait ShardPeers: Clone + Send + Sync + 'static {
    /// Copies outcomes to the second host; returns whether it has received them.
    fn copy(&self, shard: ShardId, records: Vec<CallRecord>) -> impl Future<Output = bool> + Send;

    /// Uncommitted outcomes of a shard at the other hosts, and whether all live hosts replied.
    fn gather(&self, shard: ShardId) -> impl Future<Output = (Vec<CallRecord>, bool)> + Send;

    /// Id of the current view of the live hosts.
    fn view_id(&self) -> u64;

    /// Whether this host is the shard's first owner.
    fn is_owner(&self, shard: ShardId) -> bool;
}

enum Input {
    /// Read the log again from this sequence number on; results of the read-ahead behind it are
    /// outdated.
    RestartRead(u64),
    Ask(ShardRequest, oneshot::Sender<ShardReply>),
    Event(ShardEvent),
}

/// The shards that have a task on this host.
pub(crate) struct Shards<P, S> {
    platform: P,
    peers: S,
    host: HostId,
    incarnation: u64,
    config: ShardConfig,
    inputs: Mutex<HashMap<ShardId, mpsc::Sender<Input>>>,
    backlog: Arc<Mutex<HashMap<ShardId, usize>>>,
}

impl<P: ObjectStore, S: ShardPeers> Shards<P, S> {
    /// No shards yet; their logs are stored at `platform`.
    pub(crate) fn new(
        platform: P,
        peers: S,
        host: HostId,
        incarnation: u64,
        config: ShardConfig,
    ) -> Self {
        Self {
            platform,
            peers,
            host,
            incarnation,
            config,
            inputs: Mutex::default(),
            backlog: Arc::default(),
        }
    }

    /// Sends a call to a shard; `None` if it does not reply.
    pub(crate) async fn ask(&self, shard: ShardId, call: ShardRequest) -> Option<ShardReply> {
        let (reply, response) = oneshot::channel();
        self.input_of(shard).send(Input::Ask(call, reply)).await.ok()?;
        response.await.ok()
    }

    /// Starts the tasks of the shards that this host owns, so that their logs are read before the
    /// first call.
    pub(crate) fn start_owned(&self, shards: u32) {
        for shard in (0..shards).map(ShardId).filter(|&shard| self.peers.is_owner(shard)) {
            self.input_of(shard);
        }
    }

    /// Number of outcomes that are not committed yet.
    pub(crate) fn backlog(&self) -> usize {
        self.backlog.lock().values().sum()
    }

    fn input_of(&self, shard: ShardId) -> mpsc::Sender<Input> {
        let mut inputs = self.inputs.lock();
        if let Some(input) = inputs.get(&shard) {
            return input.clone();
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
        let task = ShardTask {
            id: shard,
            shard: Shard::new(self.host.clone(), self.incarnation, self.config),
            platform: self.platform.clone(),
            peers: self.peers.clone(),
            events: sender.clone(),
            replies: HashMap::new(),
            last_ticket: 0,
            backlog: Arc::clone(&self.backlog),
            read_ahead: 0..0,
            read_depth: 1,
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
    peers: S,
    events: mpsc::Sender<Input>,
    replies: HashMap<Ticket, oneshot::Sender<ShardReply>>,
    last_ticket: u64,
    backlog: Arc<Mutex<HashMap<ShardId, usize>>>,
    /// Sequence numbers of the reads that are not delivered yet.
    read_ahead: Range<u64>,
    /// Number of objects read concurrently.
    read_depth: u64,
}

impl<P: ObjectStore, S: ShardPeers> ShardTask<P, S> {
    async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        self.step(ShardEvent::Log(LogEvent::Tick));
        loop {
            let now = clock::now();
            let wait =
                self.shard.next_wake(now).map_or(TICK_INTERVAL, |at| at.since(now).to_duration());
            let input = tokio::time::timeout(wait.min(TICK_INTERVAL), inputs.recv()).await;
            self.step(ShardEvent::View(self.peers.view_id(), self.peers.is_owner(self.id)));
            let event = match input {
                Ok(Some(Input::Ask(call, reply))) => self.register_call(call, reply),
                Ok(Some(Input::Event(event))) => event,
                Ok(Some(Input::RestartRead(sequence))) => {
                    self.read_ahead = 0..0;
                    self.fetch(sequence);
                    continue;
                }
                Ok(None) => return,
                Err(_) => ShardEvent::Log(LogEvent::Tick),
            };
            self.record_delivery(&event);
            self.step(event);
        }
    }

    fn register_call(
        &mut self,
        call: ShardRequest,
        reply: oneshot::Sender<ShardReply>,
    ) -> ShardEvent {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let event = match call {
            ShardRequest::Claim(claim) => ShardEvent::Claim(ticket, claim),
            ShardRequest::Record(call, digest, outcome) => {
                ShardEvent::Record(ticket, call, digest, outcome)
            }
            ShardRequest::Withdraw(call, attempt) => ShardEvent::Withdraw(ticket, call, attempt),
            ShardRequest::Lookup(call) => ShardEvent::Lookup(ticket, call),
            ShardRequest::Buffered => ShardEvent::Buffered(ticket),
            ShardRequest::Copies(records) => {
                let _ = reply.send(ShardReply::Withdrawn);
                return ShardEvent::Copies(records);
            }
        };
        self.replies.insert(ticket, reply);
        event
    }

    fn step(&mut self, event: ShardEvent) {
        for action in self.shard.handle(clock::now(), event) {
            self.execute(action);
        }
        self.backlog.lock().insert(self.id, self.shard.backlog());
    }

    fn execute(&mut self, action: ShardAction) {
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
            let event = create_segment(&platform, &key, sequence, &segment).await;
            let _ = events.send(Input::Event(ShardEvent::Log(event))).await;
        });
    }

    /// Reads a log object and a number of following ones, which doubles with each sequential read.
    ///
    /// Only the first read of a group may report the end of the log. The others start before the
    /// shard requests them, so a missing object would make the shard's view of the end of the log
    /// look more recent than it is.
    fn fetch(&mut self, sequence: u64) {
        if self.read_ahead.contains(&sequence) {
            return;
        }
        let sequential = sequence == self.read_ahead.end && self.read_ahead.is_empty();
        self.read_depth = if sequential { (self.read_depth * 2).min(MAX_READ_AHEAD) } else { 1 };
        self.read_ahead = sequence..sequence + self.read_depth;
        let keys: Vec<(u64, String)> = self.read_ahead.clone().map(|n| (n, self.key(n))).collect();
        let (platform, events) = (self.platform.clone(), self.events.clone());
        tokio::spawn(async move {
            let reads = keys.iter().map(|(sequence, key)| read(&platform, *sequence, key));
            for (index, event) in join_all(reads).await.into_iter().enumerate() {
                let is_object = matches!(event, LogEvent::Fetched(_, Some(_)));
                if index > 0 && !is_object {
                    let _ = events.send(Input::RestartRead(keys[index].0)).await;
                    return;
                }
                let _ = events.send(Input::Event(ShardEvent::Log(event))).await;
            }
        });
    }

    /// Advances the read-ahead range past a completed read.
    fn record_delivery(&mut self, event: &ShardEvent) {
        if let ShardEvent::Log(LogEvent::Fetched(sequence, _) | LogEvent::Failed(sequence)) = event
            && self.read_ahead.contains(sequence)
        {
            self.read_ahead.start = sequence + 1;
        }
    }

    fn gather(&self) {
        let (peers, events, shard) = (self.peers.clone(), self.events.clone(), self.id);
        tokio::spawn(async move {
            let (records, complete) = peers.gather(shard).await;
            let event = ShardEvent::Gathered(records, complete);
            let _ = events.send(Input::Event(event)).await;
        });
    }

    fn copy(&self, records: Vec<CallRecord>) {
        let (peers, events, shard) = (self.peers.clone(), self.events.clone(), self.id);
        tokio::spawn(async move {
            let calls: Vec<CallId> = records.iter().map(|record| record.call().clone()).collect();
            if peers.copy(shard, records).await {
                let _ = events.send(Input::Event(ShardEvent::Copied(calls))).await;
            }
        });
    }
}

/// Reads one object of a log and decodes it.
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
            log::warn!("reading {key} failed: {error}");
            LogEvent::Failed(sequence)
        }
    }
}

/// Settings of the shards with this commit interval.
pub(crate) const fn shard_config(interval: Span) -> ShardConfig {
    ShardConfig::new().commit_interval(interval)
}
