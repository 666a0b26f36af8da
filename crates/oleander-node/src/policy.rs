//! Conversion of the policy in the settings to the router's policy.

use oleander_host::Policy;
use oleander_routing::Policy as RoutingPolicy;

/// Number of targets that serve only batch under [`Policy::Split`].
const SPLIT_BATCH_TARGETS: u32 = 1;

/// The router's policy for the policy in the settings.
#[must_use]
pub const fn routing_policy(policy: Policy) -> RoutingPolicy {
    match policy {
        Policy::Managed => RoutingPolicy::Managed,
        Policy::FirstCome => RoutingPolicy::FirstCome,
        Policy::Split => RoutingPolicy::Split { batch_targets: SPLIT_BATCH_TARGETS },
        Policy::OnlineOnly => RoutingPolicy::OnlineOnly,
    }
}
