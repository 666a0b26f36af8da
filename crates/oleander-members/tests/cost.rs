//! Messages and bytes sent per host do not grow with the number of hosts.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod network;

use network::{Network, host};
use oleander_core::Revision;
use oleander_members::{MAX_PAYLOAD_BYTES, MemberEvent};

const SIZES: [usize; 3] = [8, 64, 790];
const ROUNDS: u64 = 12;

/// Largest ordinary message including the facts payload, in bytes.
const MESSAGE_BYTES: u64 = 256 + MAX_PAYLOAD_BYTES as u64;

/// Additional bytes of a message that carries a page of members to a starting host.
const PAGE_BYTES: u64 = 1_024;

/// Mean messages sent per host and round: a probe, an acknowledgement, and a share of indirect
/// probes.
const MEAN_MESSAGES: u64 = 3;

/// Mean messages and bytes sent per live host and round, rounded up.
fn cost(net: &mut Network) -> (u64, u64) {
    net.nodes.iter_mut().for_each(|node| (node.bytes, node.messages) = (0, 0));
    net.run(ROUNDS);
    let count = net.nodes.iter().filter(|node| node.alive).count() as u64 * ROUNDS;
    let bytes: u64 = net.nodes.iter().map(|node| node.bytes).sum();
    let messages: u64 = net.nodes.iter().map(|node| node.messages).sum();
    (messages.div_ceil(count), bytes.div_ceil(count))
}

#[test]
fn cost_per_host_of_a_cold_start_is_bounded_at_any_size() {
    for n in SIZES {
        let mut net = Network::new(n, 1);
        let (messages, bytes) = cost(&mut net);
        assert!(messages <= MEAN_MESSAGES, "{n} hosts: {messages} messages");
        let bound = MEAN_MESSAGES * MESSAGE_BYTES + PAGE_BYTES;
        assert!(bytes <= bound, "{n} hosts: {bytes} bytes");
    }
}

#[test]
fn cost_per_host_of_losing_half_of_the_hosts_is_bounded_at_any_size() {
    for n in [8, 64] {
        let mut net = Network::converged(n, 2);
        net.run(20);
        (0..n / 2).for_each(|index| net.nodes[index].alive = false);
        let (messages, bytes) = cost(&mut net);
        assert!(messages <= 2 * MEAN_MESSAGES, "{n} hosts: {messages} messages");
        assert!(bytes <= 2 * MEAN_MESSAGES * MESSAGE_BYTES, "{n} hosts: {bytes} bytes");
    }
}

#[test]
fn no_message_exceeds_the_bound() {
    let mut net = Network::converged(48, 3);
    for index in 0..48 {
        let payload = vec![index as u8; 2 * MAX_PAYLOAD_BYTES];
        net.handle_event(
            index,
            MemberEvent::Published { revision: Some(Revision(index as u64)), payload },
        );
    }
    for _ in 0..60 {
        net.nodes.iter_mut().for_each(|node| (node.bytes, node.messages) = (0, 0));
        net.step();
        for node in &net.nodes {
            assert!(node.bytes <= node.messages * MESSAGE_BYTES, "{} bytes", node.bytes);
        }
    }
}

#[test]
fn facts_and_the_newest_revision_reach_all_hosts() {
    let mut net = Network::converged(48, 4);
    let (revision, payload) = (Some(Revision(9)), b"batch".to_vec());
    net.handle_event(7, MemberEvent::Published { revision, payload: payload.clone() });
    let newest =
        |net: &Network| net.nodes.iter().all(|node| node.members.newest_revision() == revision);
    assert!(net.rounds_until(10, newest).is_some());
    let facts_known = |net: &Network| {
        net.nodes.iter().enumerate().filter(|(index, _)| *index != 7).all(|(_, node)| {
            let mut view = node.members.view();
            view.any(|member| member.profile.host == host(7) && member.facts.payload == payload)
        })
    };
    assert!(net.rounds_until(20, facts_known).is_some());
}
