//! Rate limits of workspaces, shared by all hosts.
//!
//! Each host holds a token bucket that refills at the host's share of the workspace's rate. The
//! share follows recent usage: the unused rate is divided among the hosts with recent usage; when
//! the total usage exceeds the rate, all shares are scaled down by the same factor. No share falls
//! below an even one. If all requests arrive at one host, it gets nearly the whole rate within
//! seconds, and the total over all hosts stays near the rate.

use std::collections::HashMap;

use oleander_core::{HostId, Rate, Span, Time, WorkspaceId};

/// Fixed-point units in one token. At 1 token per second, 1 µs refills one unit.
const UNITS_PER_TOKEN: u64 = 1_000_000;
/// Minimum number of hosts by which the unused rate is divided.
const MIN_SHARERS: u64 = 2;
/// Time over which usage is measured.
const WINDOW: Span = Span::from_secs(1);

#[derive(Debug, Clone)]
struct Bucket {
    rate: Rate,
    level: u64,
    refilled_at: Time,
    used: u32,
    previous_used: u32,
    window_start: Time,
    peers: HashMap<HostId, PeerUsage>,
}

#[derive(Debug, Clone, Copy)]
struct PeerUsage {
    rate: Rate,
    received_at: Time,
}

/// Rate limits of all workspaces at one host.
#[derive(Debug, Clone)]
pub struct WorkspaceLimiter {
    hosts: u32,
    burst: Span,
    peer_ttl: Span,
    buckets: HashMap<WorkspaceId, Bucket>,
}

impl WorkspaceLimiter {
    /// Default time in which an empty bucket refills completely.
    pub const BURST: Span = Span::from_secs(1);
    /// Age at which a peer's usage expires.
    pub const PEER_TTL: Span = Span::from_secs(3);

    /// Creates a limiter for one of `hosts` hosts.
    #[must_use]
    pub fn new(hosts: u32) -> Self {
        Self {
            hosts: hosts.max(1),
            burst: Self::BURST,
            peer_ttl: Self::PEER_TTL,
            buckets: HashMap::new(),
        }
    }

    /// Sets the time in which an empty bucket refills completely.
    #[must_use]
    pub const fn burst(mut self, burst: Span) -> Self {
        self.burst = burst;
        self
    }

    /// Sets the number of hosts that share the rates.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Sets the rate of a workspace over all hosts; a new workspace starts with a full bucket.
    pub fn set_rate(&mut self, now: Time, workspace: &WorkspaceId, rate: Rate) {
        let level = self.capacity(rate, self.even_share(rate));
        let bucket = self.buckets.entry(workspace.clone()).or_insert_with(|| Bucket {
            rate,
            level,
            refilled_at: now,
            used: 0,
            previous_used: 0,
            window_start: now,
            peers: HashMap::new(),
        });
        bucket.rate = rate;
    }

    /// Removes the limit of a workspace.
    pub fn remove(&mut self, workspace: &WorkspaceId) {
        self.buckets.remove(workspace);
    }

    /// Takes one request from the workspace's bucket.
    ///
    /// A workspace without a rate is not limited.
    ///
    /// # Errors
    ///
    /// Returns the time after which a request would be admitted.
    pub fn try_acquire(&mut self, now: Time, workspace: &WorkspaceId) -> Result<(), Span> {
        let share = self.share(now, workspace);
        let Some(bucket) = self.buckets.get(workspace) else { return Ok(()) };
        let capacity = self.capacity(bucket.rate, share);
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        bucket.roll_window(now);
        bucket.refill(now, share, capacity);
        if bucket.level < UNITS_PER_TOKEN {
            let missing = UNITS_PER_TOKEN - bucket.level;
            return Err(Span(missing.div_ceil(share.0.max(1))));
        }
        bucket.level -= UNITS_PER_TOKEN;
        bucket.used += 1;
        Ok(())
    }

    /// This host's recent usage of a workspace, to be sent to its peers.
    pub fn usage(&mut self, now: Time, workspace: &WorkspaceId) -> Rate {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Rate(0) };
        bucket.roll_window(now);
        bucket.recent_usage()
    }

    /// Replaces a peer's usage of a workspace.
    pub fn update_peer(&mut self, now: Time, peer: &HostId, workspace: &WorkspaceId, rate: Rate) {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return };
        bucket.peers.insert(peer.clone(), PeerUsage { rate, received_at: now });
    }

    /// This host's current share of the workspace's rate.
    #[must_use]
    pub fn share(&self, now: Time, workspace: &WorkspaceId) -> Rate {
        let Some(bucket) = self.buckets.get(workspace) else { return Rate(u64::MAX) };
        let even = self.even_share(bucket.rate);
        let fresh =
            bucket.peers.values().filter(|peer| now.since(peer.received_at) <= self.peer_ttl);
        let peers: Vec<u64> = fresh.map(|peer| peer.rate.0.min(bucket.rate.0)).collect();
        if peers.is_empty() {
            return even;
        }
        let others: u64 = peers.iter().sum();
        let active = peers.iter().filter(|used| **used > 0).count() as u64 + 1;
        let unknown = u64::from(self.hosts.saturating_sub(1)).saturating_sub(peers.len() as u64);
        let own = bucket.recent_usage();
        // Hosts of unknown usage count with an even share.
        let used = own.0 + others + unknown * even.0;
        let rate = bucket.rate.0;
        let share = if used > rate {
            own.0 * rate / used
        } else {
            own.0 + (rate - used) / active.max(MIN_SHARERS)
        };
        Rate(share.max(even.0))
    }

    fn even_share(&self, rate: Rate) -> Rate {
        Rate((rate.0 / u64::from(self.hosts)).max(u64::from(rate.0 > 0)))
    }

    /// Capacity of a bucket that refills at `share`: at least one token, none without a rate.
    fn capacity(&self, rate: Rate, share: Rate) -> u64 {
        let level = share.0.min(rate.0).saturating_mul(self.burst.0);
        if rate.0 == 0 { 0 } else { level.max(UNITS_PER_TOKEN) }
    }
}

impl Bucket {
    fn refill(&mut self, now: Time, share: Rate, capacity: u64) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let gained = if self.rate.0 == 0 { 0 } else { elapsed.0.saturating_mul(share.0) };
        self.level = self.level.saturating_add(gained).min(capacity);
    }

    /// Requests admitted in the current or the previous window, whichever had more.
    fn recent_usage(&self) -> Rate {
        Rate(u64::from(self.previous_used.max(self.used)))
    }

    /// Starts a new window if the current one is over.
    fn roll_window(&mut self, now: Time) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.previous_used = if elapsed < WINDOW * 2 { self.used } else { 0 };
        self.used = 0;
        self.window_start = now;
    }
}
