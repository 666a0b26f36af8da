//! Exchange between hosts of what they know of requests that crash targets.
//!
//! News go to all other entry hosts at once, since every host gets such requests. While there is
//! anything to know, each host also repeats all of it to a few others now and then, for hosts that
//! started anew, were paused or were cut off. Blocks are stored at the platform as well, for the
//! case that all hosts end; a host reads them once, when it starts.

use std::{sync::Arc, time::Duration};

use oleander_core::{Revision, ServiceId, Span, Time, hash, value};
use oleander_host::clock;
use oleander_platform::{Created, ObjectStore, PlatformError, decode_value, encode_value};
use oleander_quarantine::{BlockNews, QuarantineNews};
use oleander_relay::Pool;
use rand::seq::IndexedRandom;
use tokio::time;

use crate::{
    cluster::{Cluster, PossiblePeer},
    message::{PeerRequest, ServiceQuarantine},
    stored,
};

/// Prefix of the keys of stored blocks.
const PREFIX: &str = "blockedparts/";
/// Time in which news are collected for one message.
const NEWS_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a host repeats all that it knows.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts to which it is repeated.
const REPEAT_HOSTS: usize = 3;
/// Time for which it is remembered that a request only runs alone.
const ISOLATION_RETENTION: Span = Span::from_secs(15 * 60);
/// Pause before a failed call of the platform is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

value! {
    /// A block as stored at the platform.
    struct StoredBlock {
        service: ServiceId,
        block: BlockNews,
        /// When it was stored, by the clock of the host that began it.
        stored: Time,
    }
}

impl Cluster {
    /// Tells other hosts of crashes and blocks, and stores the blocks that this host begins; never
    /// returns.
    pub async fn share_quarantine<S: ObjectStore>(self: Arc<Self>, store: S) {
        let cluster = Arc::clone(&self);
        let blocks = store.clone();
        tokio::spawn(async move { cluster.load_blocks(&blocks).await });
        let mut repeat = time::interval(REPEAT_INTERVAL);
        loop {
            tokio::select! {
                () = self.pools.quarantine_changed() => {
                    self.send_news();
                    self.store_begun(&store);
                    time::sleep(NEWS_INTERVAL).await;
                }
                _ = repeat.tick() => self.repeat_all(),
            }
        }
    }

    pub(crate) fn receive_quarantine(&self, news: Vec<ServiceQuarantine>) {
        for ServiceQuarantine { service, news } in news {
            self.pools.merge_quarantine(&service, news);
        }
    }

    fn send_news(&self) {
        let news = self.quarantine(|pool| pool.quarantine.take_news());
        if !news.is_empty() {
            self.send_quarantine(&self.possible_peers(), &news);
        }
    }

    fn repeat_all(&self) {
        let known = self.quarantine(|pool| pool.quarantine.snapshot());
        if known.is_empty() {
            return;
        }
        let peers = self.possible_peers();
        let some: Vec<PossiblePeer> =
            peers.choose_multiple(&mut rand::rng(), REPEAT_HOSTS).cloned().collect();
        self.send_quarantine(&some, &known);
    }

    /// What `read` says of each service, where it is not empty.
    fn quarantine(&self, read: impl Fn(&Pool) -> QuarantineNews) -> Vec<ServiceQuarantine> {
        let pools = self.pools.all().into_iter();
        let news = pools.map(|(service, pool)| ServiceQuarantine { service, news: read(&pool) });
        news.filter(|one| !one.news.is_empty()).collect()
    }

    fn send_quarantine(&self, hosts: &[PossiblePeer], news: &[ServiceQuarantine]) {
        for PossiblePeer { host, address, .. } in hosts {
            self.tell(host, *address, PeerRequest::Quarantine(news.to_vec()));
        }
    }

    /// Stores the blocks that this host has begun.
    fn store_begun<S: ObjectStore>(&self, store: &S) {
        for (service, pool) in self.pools.all() {
            for block in pool.quarantine.take_begun() {
                if block.count == 0 {
                    log::info!(service:% = service, parts:% = block.parts;
                        "request runs alone: it was at several crashed targets");
                    self.spawn_store(store, &service, block);
                    continue;
                }
                log::warn!(service:% = service, parts:% = block.parts, count = block.count,
                    for_s = block.remaining.as_secs_f64(); "parts of prompts are blocked: they crash targets");
                metrics::counter!("blocked_parts_total").increment(1);
                self.spawn_store(store, &service, block);
            }
        }
    }

    fn spawn_store<S: ObjectStore>(&self, store: &S, service: &ServiceId, block: BlockNews) {
        let stored = StoredBlock { service: service.clone(), block, stored: clock::now() };
        tokio::spawn(store_block(store.clone(), stored));
    }

    /// Reads the stored blocks, repeating until it succeeds.
    async fn load_blocks<S: ObjectStore>(&self, store: &S) {
        let read = stored::read_all(
            store,
            PREFIX,
            |error| log::warn!(error:% = error; "blocked parts can't be read"),
        );
        for (key, object) in read.await.objects {
            match decode_value::<StoredBlock>(&object.body) {
                Ok(block) => {
                    if !self.apply_stored(block) {
                        remove_block(store, &key, object.revision).await;
                    }
                }
                Err(error) => log::warn!(key:% = key, error:% = error; "stored block skipped"),
            }
        }
    }

    /// Applies a stored block; returns whether it has not ended.
    fn apply_stored(&self, stored: StoredBlock) -> bool {
        let StoredBlock { service, mut block, stored } = stored;
        let age = clock::now().since(stored);
        block.remaining = Span(block.remaining.0.saturating_sub(age.0));
        let is_isolation = block.count == 0 && age < ISOLATION_RETENTION;
        if block.remaining == Span::ZERO && !is_isolation {
            return false;
        }
        let news = QuarantineNews { crashes: Vec::new(), blocks: vec![block] };
        self.pools.merge_quarantine(&service, news);
        true
    }
}

/// Removes a block that has ended; the next host to start tries again if it fails.
async fn remove_block<S: ObjectStore>(store: &S, key: &str, revision: Revision) {
    if let Err(error) = store.remove(key, revision).await {
        log::warn!(key:% = key, error:% = error; "block that has ended is not removed");
    }
}

/// Stores a block unless another host has; each host that learns of the last crash begins it.
async fn store_block<S: ObjectStore>(store: S, stored: StoredBlock) {
    let StoredBlock { service, block, .. } = &stored;
    let parts = block.parts.to_string();
    let name = hash::hash_parts(&[service.as_str(), &parts, &block.count.to_string()]);
    let key = format!("{PREFIX}{name:016x}");
    let body = match encode_value(&stored) {
        Ok(body) => body,
        Err(error) => return log::error!(key:% = key, error:% = error; "block is not stored"),
    };
    loop {
        match store.create(&key, body.clone()).await {
            Ok(Created::New(_) | Created::Exists) => return,
            Err(error @ PlatformError::Rejected(_)) => {
                return log::error!(key:% = key, error:% = error; "block is not stored");
            }
            Err(error) => log::warn!(key:% = key, error:% = error; "block is not stored yet"),
        }
        time::sleep(RETRY_PAUSE).await;
    }
}
