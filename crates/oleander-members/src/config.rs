//! Intervals and bounds of the membership protocol.

use oleander_core::{Span, value};

value! {
    /// Intervals and bounds; the same on all hosts.
    pub struct MembersConfig {
        pub(crate) probe_interval: Span,
        pub(crate) ack_timeout: Span,
        pub(crate) indirect_probes: usize,
        pub(crate) suspicion_rounds: u64,
        pub(crate) retransmit_factor: u32,
        pub(crate) message_bytes: usize,
        pub(crate) refresh_bytes: usize,
        pub(crate) page_bytes: usize,
        pub(crate) absent_retention: Span,
        pub(crate) unlisted_retention: Span,
    }
}

impl Default for MembersConfig {
    fn default() -> Self {
        Self::new()
    }
}

impl MembersConfig {
    /// The standard intervals and bounds.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            probe_interval: Span::from_millis(600),
            ack_timeout: Span::from_millis(200),
            indirect_probes: 3,
            suspicion_rounds: 3,
            retransmit_factor: 3,
            message_bytes: 256,
            refresh_bytes: 48,
            page_bytes: 1_024,
            absent_retention: Span::from_secs(60),
            unlisted_retention: Span::from_secs(3_600),
        }
    }

    /// Sets the time between probes.
    #[must_use]
    pub const fn probe_interval(mut self, interval: Span) -> Self {
        self.probe_interval = interval;
        self
    }

    /// Sets the time without an acknowledgement after which other members are asked to probe; must
    /// be shorter than the probe interval.
    #[must_use]
    pub const fn ack_timeout(mut self, timeout: Span) -> Self {
        self.ack_timeout = timeout;
        self
    }

    /// Sets the number of members that are asked to probe a member that did not respond.
    #[must_use]
    pub const fn indirect_probes(mut self, count: usize) -> Self {
        self.indirect_probes = count;
        self
    }

    /// Sets the largest size of an ordinary message without its facts payload, in encoded bytes.
    #[must_use]
    pub const fn message_bytes(mut self, bytes: usize) -> Self {
        self.message_bytes = bytes;
        self
    }

    /// Longest allowed time between two ticks; with longer gaps, timeouts are handled late.
    #[must_use]
    pub const fn tick_interval(&self) -> Span {
        Span(self.ack_timeout.0 / 2)
    }

    /// Time from suspicion to failure in a system of `hosts` hosts.
    #[must_use]
    pub fn suspicion_timeout(&self, hosts: usize) -> Span {
        self.probe_interval * (self.suspicion_rounds + ceil_log2(hosts))
    }

    /// Number of times that one update is sent in a system of `hosts` hosts.
    #[must_use]
    pub(crate) fn retransmit_limit(&self, hosts: usize) -> u32 {
        self.retransmit_factor * u32::try_from(ceil_log2(hosts)).unwrap_or(u32::MAX)
    }
}

/// Binary logarithm of `hosts + 1`, rounded up; at least 1.
fn ceil_log2(hosts: usize) -> u64 {
    u64::from((hosts + 1).next_power_of_two().ilog2().max(1))
}
