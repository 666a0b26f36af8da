//! Batch items of one host while the other hosts, more than there are slots, have none.

use oleander_core::{HostId, Span, Time};
use oleander_routing::{Class, Decision, Pick, Router, RouterConfig, Target};

/// Hosts, and targets with their slots.
const HOSTS: [usize; 3] = [3, 24, 58];
const TARGETS: usize = 2;
const SLOTS: u32 = 8;
/// Time between two messages of a host, and between two attempts to start an item.
const INTERVAL: Span = Span::from_millis(50);
/// Time within which a host starts an item while all slots are free.
const LIMIT: Span = Span::from_millis(1_500);
/// How a host finds out whether it may start an item.
const WAYS: [Way; 2] = [Way::Asks, Way::Picks];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// It asks for a free slot first, as under a lease that has to be renewed.
    Asks,
    Picks,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().expect("host")
}

fn router(index: usize) -> Router {
    let config = RouterConfig::new(host(index), "near".parse().expect("zone"));
    let mut router = Router::new(config, 7);
    let target = |number: usize| Target {
        name: format!("target-{number}").parse().expect("target"),
        zone: "near".parse().expect("zone"),
        limit: SLOTS,
        reserve: 0,
    };
    router.set_targets((0..TARGETS).map(target).collect());
    router
}

/// When the host of this index starts its first item; `None` if not within the limit.
fn first_start(index: usize, hosts: usize, way: Way) -> Option<Span> {
    let mut router = router(index);
    // The hosts are idle for some time before this one gets a job.
    let job_at = Time(0) + Span::from_secs(3);
    let mut now = Time(0);
    while now < job_at + LIMIT {
        for other in (0..hosts).filter(|other| *other != index) {
            router.update_peer(now, &host(other), Vec::new(), now);
        }
        if now >= job_at {
            let pick = Pick::of_class(Class::Batch);
            let may_start = match way {
                Way::Asks => router.has_batch_slot(now, &pick),
                Way::Picks => matches!(router.pick(now, &pick), Decision::Send { .. }),
            };
            if may_start {
                return Some(now.since(job_at));
            }
        }
        now = now + INTERVAL;
    }
    None
}

/// Guards against a host whose items never start, though all slots are free, since there are more
/// hosts than slots and each is taken for one with items.
#[test]
fn a_host_starts_its_items_while_all_others_are_idle() {
    for hosts in HOSTS {
        for index in 0..hosts {
            for way in WAYS {
                let start = first_start(index, hosts, way);
                assert!(start.is_some(), "host {index} of {hosts} starts nothing, {way:?}");
            }
        }
    }
}
