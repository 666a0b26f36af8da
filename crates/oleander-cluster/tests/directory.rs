//! Which addresses callers get.

use std::net::SocketAddr;

use oleander_cluster::{Directory, EntryHost};
use oleander_core::{Span, ZoneId};
use oleander_members::MemberState;

fn zone(name: &str) -> ZoneId {
    name.parse().expect("name of a data centre")
}

fn candidate(number: u8, at: &str, state: MemberState) -> EntryHost {
    let address = SocketAddr::from(([10, 0, 0, number], 80));
    EntryHost { address, zone: zone(at), state }
}

fn chosen(candidates: &[EntryHost]) -> Vec<u8> {
    let directory = Directory::select(candidates, &zone("near"), Span::from_secs(5));
    let hosts = directory.addresses.iter().map(|address| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("addresses are IPv4"),
    });
    hosts.collect()
}

#[test]
fn callers_stay_in_their_data_centre_while_two_hosts_there_are_sound() {
    use MemberState::Live;
    let all = [candidate(1, "near", Live), candidate(2, "near", Live), candidate(3, "far", Live)];
    assert_eq!(chosen(&all), [1, 2]);
    assert_eq!(chosen(&all[1..]), [2, 3]);
}

#[test]
fn failed_suspect_and_leaving_hosts_are_left_out() {
    use MemberState::{Failed, Leaving, Live, Suspect};
    let all = [
        candidate(1, "near", Failed),
        candidate(2, "near", Suspect),
        candidate(3, "near", Leaving),
        candidate(4, "far", Live),
    ];
    assert_eq!(chosen(&all), [4]);
}

#[test]
fn a_host_that_sees_nobody_still_names_those_it_knows() {
    use MemberState::{Failed, Leaving};
    let all = [candidate(1, "near", Failed), candidate(2, "far", Leaving)];
    assert_eq!(chosen(&all), [1]);
}

#[test]
fn an_answer_is_kept_briefly() {
    let short = Directory::select(&[], &zone("near"), Span::from_millis(700));
    assert_eq!(short.ttl, Span::from_millis(700));
    let long = Directory::select(&[], &zone("near"), Span::from_secs(60));
    assert!(long.ttl <= Span::from_secs(2));
}
