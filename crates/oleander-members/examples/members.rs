//! Measures the cost of membership per host and the time to detect changes, by number of hosts.
//!
//! Everything runs in one thread over the in-memory network of the tests. Byte counts are of
//! encoded messages; the overhead of links and TCP per message is added as a constant.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../tests/network/mod.rs"]
mod network;

use std::{collections::BTreeSet, fs, time::Duration};

use network::{Network, ROUND, host, host_list};
use oleander_core::Revision;
use oleander_members::{MemberEvent, MemberState};

const SIZES: [usize; 4] = [8, 64, 256, 790];

/// Rounds per host after which all updates of the common start have been sent.
const SETTLE_ROUNDS_PER_HOST: f64 = 2.0;

/// Length of each cost measurement, in rounds.
const ROUNDS: u64 = 200;

/// Bytes that the link frame and `nng` add to a message.
const FRAME_BYTES: u64 = 82;

/// Bytes of TCP and IP headers per message, including half of an empty TCP acknowledgement.
const HEADER_BYTES: u64 = 78;

/// Length of a partition between two halves of the hosts, in rounds.
const PARTITION_ROUNDS: u64 = 200;

/// Time between restarts of any host; the same at each number of hosts.
const RESTART_SECONDS: f64 = 86_400.0 / 2_500.0;

/// Page size that `/proc/self/statm` counts in.
const PAGE_BYTES: f64 = 4_096.0;

/// Measured cost per host at one number of hosts.
struct Row {
    hosts: f64,
    messages: f64,
    bytes: f64,
    churn_bytes: f64,
    cpu_micros: f64,
    kilobytes: f64,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!("seed {seed}; sent per host and second; bytes with frames and headers in brackets");
    println!(
        "{:>6} {:>9} {:>16} {:>16} {:>12} {:>10} {:>9} {:>8} {:>6}",
        "hosts",
        "messages",
        "bytes",
        "with restarts",
        "cpu us",
        "kB/host",
        "revision",
        "failure",
        "heal"
    );
    let rows: Vec<Row> = SIZES.into_iter().map(|n| measure(n, seed)).collect();
    print_fit("messages/s", &rows, |row| row.messages);
    print_fit("bytes/s", &rows, |row| row.bytes);
    print_fit("bytes/s with restarts", &rows, |row| row.churn_bytes);
    print_fit("cpu us/s", &rows, |row| row.cpu_micros);
    print_fit("kB/host", &rows, |row| row.kilobytes);
}

fn measure(n: usize, seed: u64) -> Row {
    let before = resident_kilobytes();
    let mut net = Network::new(n, seed);
    net.run(60 + (n as f64 * SETTLE_ROUNDS_PER_HOST) as u64);
    let kilobytes = (resident_kilobytes() - before) / n as f64;
    let (messages, bytes, cpu) = cost(&mut net, None);
    let cpu_micros = cpu.as_secs_f64() * 1e6 / (n as f64 * seconds(ROUNDS));
    let revision = dissemination_rounds(&mut net);
    let (churn_messages, churn_bytes, _) = cost(&mut net, Some(RESTART_SECONDS));
    let failure = failure_rounds(&mut net);
    let heal = heal_rounds(&mut net);
    println!(
        "{n:>6} {messages:>9.2} {:>16} {:>16} {cpu_micros:>12.1} {kilobytes:>10.1} {revision:>9} \
         {failure:>8} {heal:>6}",
        with_overhead(bytes, messages),
        with_overhead(churn_bytes, churn_messages),
    );
    Row { hosts: n as f64, messages, bytes, churn_bytes, cpu_micros, kilobytes }
}

fn with_overhead(bytes: f64, messages: f64) -> String {
    let whole = bytes + messages * (FRAME_BYTES + HEADER_BYTES) as f64;
    format!("{bytes:.0} ({whole:.0})")
}

fn seconds(rounds: u64) -> f64 {
    (ROUND * rounds).as_secs_f64()
}

/// Messages and bytes sent per host and second, and the time spent in all state machines.
fn cost(net: &mut Network, restart_seconds: Option<f64>) -> (f64, f64, Duration) {
    net.nodes.iter_mut().for_each(|node| (node.bytes, node.messages) = (0, 0));
    let n = net.nodes.len();
    let (mut messages, mut bytes) = (0, 0);
    let mut next = restart_seconds.unwrap_or(f64::INFINITY);
    let before = net.handle_time;
    for round in 1..=ROUNDS {
        net.run(1);
        if seconds(round) >= next {
            let index = round as usize * 7 % n;
            messages += net.nodes[index].messages;
            bytes += net.nodes[index].bytes;
            net.handle_event(index, MemberEvent::Leave);
            net.run(1);
            net.restart(index, host_list(1, 0..n, &[]));
            next += restart_seconds.unwrap_or(f64::INFINITY);
        }
    }
    messages += net.nodes.iter().map(|node| node.messages).sum::<u64>();
    bytes += net.nodes.iter().map(|node| node.bytes).sum::<u64>();
    let host_seconds = n as f64 * seconds(ROUNDS);
    (messages as f64 / host_seconds, bytes as f64 / host_seconds, net.handle_time - before)
}

/// Rounds until all hosts know of a new configuration revision.
fn dissemination_rounds(net: &mut Network) -> u64 {
    let revision = Some(Revision(1_000));
    net.handle_event(0, MemberEvent::Published { revision, payload: Vec::new() });
    let done =
        |net: &Network| net.nodes.iter().all(|node| node.members.newest_revision() == revision);
    net.rounds_until(100, done).unwrap_or(u64::MAX)
}

/// Rounds until all other hosts mark a dead one failed.
fn failure_rounds(net: &mut Network) -> u64 {
    net.nodes[0].alive = false;
    let dead = host(0);
    let done = |net: &Network| {
        net.nodes[1..].iter().all(|node| node.members.state(&dead) == Some(MemberState::Failed))
    };
    net.rounds_until(100, done).unwrap_or(u64::MAX)
}

/// Rounds until all hosts but the dead one see each other live after a partition.
fn heal_rounds(net: &mut Network) -> u64 {
    let n = net.nodes.len();
    (1..n / 2).for_each(|index| net.nodes[index].partition = 1);
    net.run(PARTITION_ROUNDS);
    (1..n).for_each(|index| net.nodes[index].partition = 0);
    let live: BTreeSet<usize> = (1..n).collect();
    let done = |net: &Network| net.all_see(&live, &live, MemberState::Live);
    net.rounds_until(1_000, done).unwrap_or(u64::MAX)
}

/// Prints a least-squares fit of `value` over the number of hosts.
fn print_fit(name: &str, rows: &[Row], value: impl Fn(&Row) -> f64) {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.hosts).sum::<f64>() / count;
    let mean_y = rows.iter().map(&value).sum::<f64>() / count;
    let covariance: f64 = rows.iter().map(|r| (r.hosts - mean_x) * (value(r) - mean_y)).sum();
    let variance: f64 = rows.iter().map(|r| (r.hosts - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    println!("fit: {name} = {:.2} + {slope:.5} x hosts", mean_y - slope * mean_x);
}

/// Resident memory of this process, in kilobytes.
fn resident_kilobytes() -> f64 {
    let statistics = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split(' ').nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1_024.0
}
