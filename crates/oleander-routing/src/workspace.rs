//! Rate limits of workspaces, shared by all hosts.
//!
//! Each host holds a token bucket that fills with the host's part of the workspace's rate. The
//! part follows the use: what nobody used lately is divided among the hosts with use, and when
//! all together used more than the rate each is cut by the same factor, but never below an even
//! part. Callers who come through one host get nearly the whole rate within seconds, and the sum
//! over all hosts stays near it.

use std::collections::HashMap;

use oleander_core::{HostId, Rate, Span, Time, WorkspaceId};

/// Parts of a token, so that fills are whole numbers.
const TOKEN: u64 = 1_000_000;
/// Fewest hosts among which the unused rate is divided.
const FEWEST_PARTS: u64 = 2;
/// Span over which the use is measured.
const WINDOW: Span = Span::from_secs(1);

#[derive(Debug, Clone)]
struct Bucket {
    rate: Rate,
    level: u64,
    filled: Time,
    used: u32,
    used_before: u32,
    window: Time,
    peers: HashMap<HostId, PeerUse>,
}

#[derive(Debug, Clone, Copy)]
struct PeerUse {
    rate: Rate,
    at: Time,
}

/// Limits of all workspaces at one host.
#[derive(Debug, Clone)]
pub struct WorkspaceLimiter {
    hosts: u32,
    burst: Span,
    peer_ttl: Span,
    buckets: HashMap<WorkspaceId, Bucket>,
}

impl WorkspaceLimiter {
    /// Span of the rate that can be saved up.
    pub const BURST: Span = Span::from_secs(1);
    /// Age at which a peer's use is dropped.
    pub const PEER_TTL: Span = Span::from_secs(3);

    /// A limiter for one of `hosts` hosts.
    #[must_use]
    pub fn new(hosts: u32) -> Self {
        Self {
            hosts: hosts.max(1),
            burst: Self::BURST,
            peer_ttl: Self::PEER_TTL,
            buckets: HashMap::new(),
        }
    }

    /// Sets the span of the rate that can be saved up.
    #[must_use]
    pub const fn burst(mut self, burst: Span) -> Self {
        self.burst = burst;
        self
    }

    /// Changes the number of hosts that share the rates.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Sets the rate of a workspace over all hosts; a new one starts with its burst.
    pub fn set_rate(&mut self, now: Time, workspace: &WorkspaceId, rate: Rate) {
        let burst = self.capacity(rate, self.even_part(rate));
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| Bucket {
            rate,
            level: burst,
            filled: now,
            used: 0,
            used_before: 0,
            window: now,
            peers: HashMap::new(),
        });
        bucket.rate = rate;
    }

    /// Removes the limit of a workspace.
    pub fn remove(&mut self, workspace: &WorkspaceId) {
        self.buckets.remove(workspace);
    }

    /// Takes one request out of the workspace's rate, or tells when to come back.
    ///
    /// A workspace without a rate is not limited.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request would pass.
    pub fn try_acquire(&mut self, now: Time, workspace: &WorkspaceId) -> Result<(), Span> {
        let part = self.share(now, workspace);
        let Some(bucket) = self.buckets.get(workspace) else { return Ok(()) };
        let capacity = self.capacity(bucket.rate, part);
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        bucket.roll(now);
        bucket.fill(now, part, capacity);
        if bucket.level < TOKEN {
            let missing = TOKEN - bucket.level;
            return Err(Span(missing.div_ceil(part.0.max(1))));
        }
        bucket.level -= TOKEN;
        bucket.used += 1;
        Ok(())
    }

    /// Own use of a workspace, to be sent to the peers.
    pub fn usage(&mut self, now: Time, workspace: &WorkspaceId) -> Rate {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Rate(0) };
        bucket.roll(now);
        bucket.lately()
    }

    /// Takes a peer's use of a workspace into account.
    pub fn update_peer(&mut self, now: Time, peer: &HostId, workspace: &WorkspaceId, rate: Rate) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        bucket.peers.insert(peer.clone(), PeerUse { rate, at: now });
    }

    /// The rate that this host may use now.
    #[must_use]
    pub fn share(&self, now: Time, workspace: &WorkspaceId) -> Rate {
        let Some(bucket) = self.buckets.get(workspace) else { return Rate(u64::MAX) };
        let even = self.even_part(bucket.rate);
        let fresh = bucket.peers.values().filter(|used| now.since(used.at) <= self.peer_ttl);
        let peers: Vec<u64> = fresh.map(|used| used.rate.0.min(bucket.rate.0)).collect();
        if peers.is_empty() {
            return even;
        }
        let others: u64 = peers.iter().sum();
        let active = peers.iter().filter(|used| **used > 0).count() as u64 + 1;
        let silent = u64::from(self.hosts.saturating_sub(1)).saturating_sub(peers.len() as u64);
        let own = bucket.lately();
        let used = own.0 + others + silent * even.0;
        let rate = bucket.rate.0;
        let wanted = if used > rate {
            own.0 * rate / used
        } else {
            own.0 + (rate - used) / active.max(FEWEST_PARTS)
        };
        Rate(wanted.max(even.0))
    }

    fn even_part(&self, rate: Rate) -> Rate {
        Rate((rate.0 / u64::from(self.hosts)).max(u64::from(rate.0 > 0)))
    }

    fn capacity(&self, rate: Rate, part: Rate) -> u64 {
        let level = part.0.min(rate.0).saturating_mul(self.burst.0);
        if rate.0 == 0 { 0 } else { level.max(TOKEN) }
    }
}

impl Bucket {
    fn fill(&mut self, now: Time, part: Rate, capacity: u64) {
        let passed = now.since(self.filled);
        self.filled = self.filled.max(now);
        let gained = if self.rate.0 == 0 { 0 } else { passed.0.saturating_mul(part.0) };
        self.level = self.level.saturating_add(gained).min(capacity);
    }

    /// Requests that passed in a window.
    fn lately(&self) -> Rate {
        Rate(u64::from(self.used_before.max(self.used)))
    }

    fn roll(&mut self, now: Time) {
        let passed = now.since(self.window);
        if passed < WINDOW {
            return;
        }
        self.used_before = if passed < WINDOW * 2 { self.used } else { 0 };
        self.used = 0;
        self.window = now;
    }
}
