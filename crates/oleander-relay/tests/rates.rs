//! What hosts believe of the rates that targets name, and their shares.

use oleander_core::{HostId, Span, Time, ZoneId};
use oleander_quarantine::TargetRun;
use oleander_relay::{RateNews, SendingHost, TargetRates};
use oleander_routing::{RateShare, RequestRate};
use quickcheck::{Gen, QuickCheck};

fn run(number: u32) -> TargetRun {
    TargetRun { target: format!("engine-{number}").parse().expect("target"), started: Some(7) }
}

fn host(number: usize) -> HostId {
    format!("entry-{number}").parse().expect("host")
}

fn zone(name: &str) -> ZoneId {
    name.parse().expect("data centre")
}

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

/// Hosts of two data centres.
fn senders(near: usize, far: usize) -> Vec<SendingHost> {
    let all = (0..near + far).map(|number| SendingHost {
        host: host(number),
        zone: zone(if number < near { "near" } else { "far" }),
    });
    all.collect()
}

fn knowing(text: &str, senders: Vec<SendingHost>) -> TargetRates {
    let mut rates = TargetRates::default();
    rates.record(Time(2), &run(1), Time(1), Some(rate(text)));
    rates.set_senders(senders);
    rates
}

/// Requests a second that all hosts together send.
fn sum(rates: &TargetRates, hosts: usize) -> f64 {
    let shares = (0..hosts).map(|number| rates.share(&host(number), &run(1), &zone("near")));
    shares
        .map(|share| match share {
            Some(RateShare::Paced { interval, .. }) => 1.0 / interval.as_secs_f64(),
            Some(RateShare::Nothing) => 0.0,
            None => f64::INFINITY,
        })
        .sum()
}

#[test]
fn the_shares_of_all_hosts_are_the_rate() {
    for (near, far) in [(1, 0), (3, 4), (17, 51), (0, 5), (60, 240)] {
        for text in ["0.1", "2.5", "40"] {
            let total = sum(&knowing(text, senders(near, far)), near + far);
            let named = rate(text).per_second();
            assert!((total - named).abs() < named / 100.0, "{near} and {far}, {text}: {total}");
        }
    }
}

#[test]
fn few_hosts_send_to_a_target_with_a_low_rate() {
    let rates = knowing("2.5", senders(60, 240));
    let sends = |number: &usize| {
        rates.share(&host(*number), &run(1), &zone("near")) != Some(RateShare::Nothing)
    };
    let sending: Vec<usize> = (0..300).filter(sends).collect();
    assert_eq!(sending.len(), 5);
    assert!(sending.iter().all(|number| *number < 60), "in its data centre: {sending:?}");
}

#[test]
fn a_host_that_knows_no_other_hosts_sends_nothing() {
    let rates = knowing("2.5", Vec::new());
    assert_eq!(rates.share(&host(0), &run(1), &zone("near")), Some(RateShare::Nothing));
}

#[test]
fn a_response_that_was_overtaken_does_not_end_a_rate() {
    let mut rates = TargetRates::default();
    assert!(!rates.record(Time(5), &run(1), Time(1), None), "it named none before");
    assert!(rates.record(Time(10), &run(1), Time(2), Some(rate("3"))));
    assert!(!rates.record(Time(12), &run(1), Time(9), None), "sent before the rate was named");
    assert!(rates.record(Time(20), &run(1), Time(11), None));
    assert!(rates.share(&host(0), &run(1), &zone("near")).is_none());
}

#[test]
fn hosts_that_send_nothing_learn_that_a_rate_is_over() {
    let (mut sending, mut other) = (knowing("3", Vec::new()), knowing("3", Vec::new()));
    sending.record(Time(20), &run(1), Time(11), None);
    assert!(other.merge(Time(25), sending.news(Time(24))));
    assert!(other.share(&host(0), &run(1), &zone("near")).is_none());
    assert!(!other.merge(Time(30), vec![]), "nothing new");
}

#[test]
fn a_target_that_starts_anew_has_no_rate() {
    let mut rates = knowing("3", senders(2, 0));
    let again = TargetRun { started: Some(8), ..run(1) };
    assert!(rates.share(&host(0), &again, &zone("near")).is_none());
    rates.retain(&[again]);
    assert!(rates.is_empty());
}

#[test]
fn the_latest_statement_counts_whatever_the_order_of_messages() {
    fn property(order: Vec<u8>) -> bool {
        let at = |age: u8| {
            let rate = (age % 2 == 1).then(|| rate("2"));
            RateNews { run: run(1), rate, age: Span(u64::from(age) * 1_000) }
        };
        let mut rates = TargetRates::default();
        for age in &order {
            rates.merge(Time(1_000_000), vec![at(*age)]);
        }
        let known = rates.share(&host(0), &run(1), &zone("near")).is_some();
        order.iter().min().is_none_or(|latest| known == (latest % 2 == 1))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 23))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
