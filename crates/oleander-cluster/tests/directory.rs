//! Selection of the addresses that callers get.

use std::net::SocketAddr;

use oleander_cluster::{Directory, EntryHost};
use oleander_core::{Span, ZoneId};
use oleander_members::MemberState;

fn zone(name: &str) -> ZoneId {
    name.parse().expect("name of a data centre")
}

fn entry_host(number: u8, at: &str, state: MemberState) -> EntryHost {
    let address = SocketAddr::from(([10, 0, 0, number], 80));
    EntryHost { address, zone: zone(at), state }
}

fn selected(hosts: &[EntryHost]) -> Vec<u8> {
    let directory = Directory::select(hosts, &zone("near"), Span::from_secs(5));
    let numbers = directory.addresses.iter().map(|address| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("addresses are IPv4"),
    });
    numbers.collect()
}

#[test]
fn callers_stay_in_their_data_centre_while_two_hosts_there_are_live() {
    use MemberState::Live;
    let all =
        [entry_host(1, "near", Live), entry_host(2, "near", Live), entry_host(3, "far", Live)];
    assert_eq!(selected(&all), [1, 2]);
    assert_eq!(selected(&all[1..]), [2, 3]);
}

#[test]
fn failed_suspect_and_leaving_hosts_are_left_out() {
    use MemberState::{Failed, Leaving, Live, Suspect};
    let all = [
        entry_host(1, "near", Failed),
        entry_host(2, "near", Suspect),
        entry_host(3, "near", Leaving),
        entry_host(4, "far", Live),
    ];
    assert_eq!(selected(&all), [4]);
}

#[test]
fn failed_hosts_are_listed_if_there_are_no_others() {
    use MemberState::{Failed, Leaving};
    let all = [entry_host(1, "near", Failed), entry_host(2, "far", Leaving)];
    assert_eq!(selected(&all), [1]);
}

#[test]
fn the_ttl_is_short() {
    let short = Directory::select(&[], &zone("near"), Span::from_millis(700));
    assert_eq!(short.ttl, Span::from_millis(700));
    let long = Directory::select(&[], &zone("near"), Span::from_secs(60));
    assert!(long.ttl <= Span::from_secs(2));
}
