//! Policies of the settings in the words of the router.

use oleander_host::Policy;
use oleander_routing::Policy as RoutingPolicy;

/// Targets that the fixed split leaves to batch.
const SPLIT_TARGETS: u32 = 1;

/// The router's policy for a policy of the settings.
#[must_use]
pub const fn routing_policy(policy: Policy) -> RoutingPolicy {
    match policy {
        Policy::Managed => RoutingPolicy::Managed,
        Policy::FirstCome => RoutingPolicy::FirstCome,
        Policy::Split => RoutingPolicy::Split { batch_targets: SPLIT_TARGETS },
        Policy::OnlineOnly => RoutingPolicy::OnlineOnly,
    }
}
