//! Settings of the router.

use oleander_core::{HostId, Span, ZoneId};

use crate::{choice::Chooser, eject::EjectionConfig, limit::LimitConfig};

/// How online and batch work share the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Policy {
    /// Batch uses what online leaves, and makes room at once.
    #[default]
    Managed,
    /// Both classes alike, in order of arrival.
    FirstCome,
    /// A fixed number of targets for batch alone, the others for online alone.
    Split {
        /// Targets for batch.
        batch_targets: u32,
    },
    /// No batch at all.
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
    /// Online requests that may wait.
    pub const QUEUE_LIMIT: u32 = 256;
    /// Longest wait of a request without a deadline.
    pub const MAX_WAIT: Span = Span::from_secs(2);
    /// Age at which a peer's counts are dropped.
    pub const PEER_TTL: Span = Span::from_secs(3);
    /// Age at which a target's report is dropped.
    pub const REPORT_TTL: Span = Span::from_secs(15);
    /// Time within which a peer's counts show what it was asked to cancel.
    pub const YIELD_GRACE: Span = Span::from_millis(500);
    /// Part of the reserve that batch may go on using, in percent.
    pub const YIELD_MARGIN_PERCENT: u32 = 70;
    /// Longest time between two starts of batch items at one target.
    pub const START_INTERVAL: Span = Span::from_millis(100);
    /// Cost of another data centre, in per mille of a target's limit.
    pub const ZONE_COST_PER_MILLE: u32 = 30;
    /// Extra load for which a cached prefix makes up, in per mille of a target's limit.
    pub const AFFINITY_SLACK_PER_MILLE: u32 = 150;

    /// Load by which a target of another host must be below an own one to be used first, in per
    /// mille of a target's limit: more than any load, so that homes are filled first. What other
    /// hosts sent elsewhere at the same moment is not known.
    pub const PREFERENCE_SLACK_PER_MILLE: u32 = 1_500;

    /// Settings with defaults for `host` in `zone`.
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

    /// Sets how the classes share the targets.
    #[must_use]
    pub const fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the wanted time to the first token.
    #[must_use]
    pub const fn first_token(mut self, goal: Span) -> Self {
        self.limits = self.limits.first_token(goal);
        self
    }

    /// Sets the wanted time between tokens.
    #[must_use]
    pub const fn between_tokens(mut self, goal: Span) -> Self {
        self.limits = self.limits.between_tokens(goal);
        self
    }

    /// Sets how targets are ejected.
    #[must_use]
    pub const fn ejection(mut self, ejection: EjectionConfig) -> Self {
        self.ejection = ejection;
        self
    }

    /// Sets how many online requests may wait.
    #[must_use]
    pub const fn queue_limit(mut self, limit: u32) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the longest wait of a request without a deadline.
    #[must_use]
    pub const fn max_wait(mut self, wait: Span) -> Self {
        self.max_wait = wait;
        self
    }

    /// Sets the age at which a peer's counts are dropped.
    #[must_use]
    pub const fn peer_ttl(mut self, keep: Span) -> Self {
        self.peer_ttl = keep;
        self
    }

    /// Sets the age at which a target's report is dropped.
    #[must_use]
    pub const fn report_ttl(mut self, keep: Span) -> Self {
        self.report_ttl = keep;
        self
    }

    /// Sets the part of the reserve that batch may go on using when online takes slots.
    ///
    /// Batch never starts in the reserve. With a band of 0 percent an item is cancelled for each
    /// slot that online takes; with 100 percent only when the whole reserve is in use.
    #[must_use]
    pub const fn yield_margin(mut self, percent: u32) -> Self {
        self.yield_margin = if percent > 100 { 100 } else { percent };
        self
    }

    /// Sets the longest time between two starts of batch items of this host at one target.
    ///
    /// Spreads the reading of prompts, which holds up the first tokens of online requests. The
    /// gap is shorter where short items need more starts.
    #[must_use]
    pub const fn start_interval(mut self, gap: Span) -> Self {
        self.start_interval = gap;
        self
    }

    /// Sets the cost of another data centre, in per mille of a target's limit.
    #[must_use]
    pub const fn zone_cost(mut self, cost: u32) -> Self {
        self.zone_cost = cost;
        self
    }

    /// Sets the extra load for which a cached prefix makes up, in per mille of a target's limit.
    #[must_use]
    pub const fn affinity_slack(mut self, slack: u32) -> Self {
        self.affinity_slack = slack;
        self
    }

    /// Sets the number of targets that are compared for a choice.
    #[must_use]
    pub const fn draws(mut self, draws: u32) -> Self {
        self.draws = draws;
        self
    }

    /// Sets the load above which another host's target is used before an own one, in per mille
    /// of a target's limit.
    #[must_use]
    pub const fn preference_slack(mut self, slack: u32) -> Self {
        self.preference_slack = slack;
        self
    }
}
