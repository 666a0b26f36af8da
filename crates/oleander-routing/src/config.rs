//! Settings of the router.

use oleander_core::{HostId, Span, ZoneId};

use crate::{choice::Chooser, eject::EjectionConfig, limit::LimitConfig};

/// How online and batch work share the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Policy {
    /// Batch uses the capacity that online leaves, and yields it when online needs it.
    #[default]
    Managed,
    /// Both classes are equal and served first come, first served.
    FirstCome,
    /// A fixed number of targets serves only batch, the others only online.
    Split {
        /// Number of targets for batch.
        batch_targets: u32,
    },
    /// Batch is not run.
    OnlineOnly,
}

/// Settings of a [`Router`](crate::Router).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) policy: Policy,
    pub(crate) limits: LimitConfig,
    pub(crate) ejection: EjectionConfig,
    pub(crate) queue_limit: u32,
    pub(crate) max_wait: Span,
    pub(crate) peer_ttl: Span,
    pub(crate) report_ttl: Span,
    pub(crate) yield_grace: Span,
    pub(crate) yield_margin: u32,
    pub(crate) start_interval: Span,
    pub(crate) zone_cost: u32,
    pub(crate) affinity_slack: u32,
    pub(crate) draws: u32,
    pub(crate) preference_slack: u32,
}

impl RouterConfig {
    /// Default maximum number of queued online requests.
    pub const QUEUE_LIMIT: u32 = 256;
    /// Default maximum queueing time of a request without a deadline.
    pub const MAX_WAIT: Span = Span::from_secs(2);
    /// Default age at which a peer's in-flight counts expire.
    pub const PEER_TTL: Span = Span::from_secs(3);
    /// Default age at which a target's load report expires.
    pub const REPORT_TTL: Span = Span::from_secs(15);
    /// Time allowed for requested yields to show in a peer's counts.
    pub const YIELD_GRACE: Span = Span::from_millis(500);
    /// Default share of the reserve that running batch items may occupy before they yield.
    pub const YIELD_MARGIN_PERCENT: u32 = 70;
    /// Default maximum interval between two starts of batch items at one target.
    pub const START_INTERVAL: Span = Span::from_millis(100);
    /// Default extra load attributed to a target in another data centre, in per mille of its limit.
    pub const ZONE_COST_PER_MILLE: u32 = 30;
    /// Default extra load tolerated for a cached prefix, in per mille of a target's limit.
    pub const AFFINITY_SLACK_PER_MILLE: u32 = 150;

    /// Default extra load tolerated at a preferred target, in per mille of its limit.
    ///
    /// Greater than any load, so that preferred targets are filled first: what other hosts have
    /// just sent to the remaining targets is not known yet.
    pub const PREFERENCE_SLACK_PER_MILLE: u32 = 1_500;

    /// Creates default settings for `host` in `zone`.
    #[must_use]
    pub const fn new(host: HostId, zone: ZoneId) -> Self {
        Self {
            host,
            zone,
            policy: Policy::Managed,
            limits: LimitConfig::new(),
            ejection: EjectionConfig::new(),
            queue_limit: Self::QUEUE_LIMIT,
            max_wait: Self::MAX_WAIT,
            peer_ttl: Self::PEER_TTL,
            report_ttl: Self::REPORT_TTL,
            yield_grace: Self::YIELD_GRACE,
            yield_margin: Self::YIELD_MARGIN_PERCENT,
            start_interval: Self::START_INTERVAL,
            zone_cost: Self::ZONE_COST_PER_MILLE,
            affinity_slack: Self::AFFINITY_SLACK_PER_MILLE,
            draws: Chooser::DRAWS,
            preference_slack: Self::PREFERENCE_SLACK_PER_MILLE,
        }
    }

    /// Sets how online and batch work share the targets.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the latency objective for the time to first token.
    #[must_use]
    pub const fn first_token(mut self, objective: Span) -> Self {
        self.limits = self.limits.first_token(objective);
        self
    }

    /// Sets the latency objective for the time between tokens.
    #[must_use]
    pub const fn between_tokens(mut self, objective: Span) -> Self {
        self.limits = self.limits.between_tokens(objective);
        self
    }

    /// Sets when and for how long targets are ejected.
    #[must_use]
    pub const fn ejection(mut self, ejection: EjectionConfig) -> Self {
        self.ejection = ejection;
        self
    }

    /// Sets the maximum number of queued online requests.
    #[must_use]
    pub const fn queue_limit(mut self, limit: u32) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the maximum queueing time of a request without a deadline.
    #[must_use]
    pub const fn max_wait(mut self, wait: Span) -> Self {
        self.max_wait = wait;
        self
    }

    /// Sets the age at which a peer's in-flight counts expire.
    #[must_use]
    pub const fn peer_ttl(mut self, ttl: Span) -> Self {
        self.peer_ttl = ttl;
        self
    }

    /// Sets the age at which a target's load report expires.
    #[must_use]
    pub const fn report_ttl(mut self, ttl: Span) -> Self {
        self.report_ttl = ttl;
        self
    }

    /// Sets the share of the reserve that running batch items may occupy before they yield.
    ///
    /// No batch item starts in the reserve. With a margin of 0 percent, an item is cancelled for
    /// each slot of the reserve that online takes; with 100 percent, only when online has taken
    /// the whole reserve. Values above 100 count as 100.
    #[must_use]
    pub const fn yield_margin(mut self, percent: u32) -> Self {
        self.yield_margin = if percent > 100 { 100 } else { percent };
        self
    }

    /// Sets the maximum interval between two starts of this host's batch items at one target.
    ///
    /// Spreads out prefills, which delay the first tokens of online requests. The interval is
    /// shorter where short items need more starts.
    #[must_use]
    pub const fn start_interval(mut self, interval: Span) -> Self {
        self.start_interval = interval;
        self
    }

    /// Sets the extra load attributed to targets in other data centres, in per mille of their
    /// limits.
    #[must_use]
    pub const fn zone_cost(mut self, cost: u32) -> Self {
        self.zone_cost = cost;
        self
    }

    /// Sets the extra load tolerated for a cached prefix, in per mille of a target's limit.
    #[must_use]
    pub const fn affinity_slack(mut self, slack: u32) -> Self {
        self.affinity_slack = slack;
        self
    }

    /// Sets the number of targets drawn at random and compared for a choice.
    #[must_use]
    pub const fn draws(mut self, draws: u32) -> Self {
        self.draws = draws;
        self
    }

    /// Sets the extra load tolerated at a preferred target before another one is chosen, in per
    /// mille of the limit.
    #[must_use]
    pub const fn preference_slack(mut self, slack: u32) -> Self {
        self.preference_slack = slack;
        self
    }
}
