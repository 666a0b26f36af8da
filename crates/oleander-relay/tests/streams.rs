//! What hosts know about the software versions of streams, and tell each other.

use std::collections::BTreeSet;

use oleander_core::{ServiceId, Span, Time};
use oleander_relay::{
    BegunStreams, ListState, SoftwareVersion, StreamAnswer, StreamId, StreamRegister,
};

const START: Time = Time(1_000_000_000);
/// Longer than any stream is kept.
const LONG: Span = Span::from_secs(120);
const SECOND: Span = Span::from_secs(1);

fn service() -> ServiceId {
    "model".parse().expect("service")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("version")
}

fn versions(texts: &[&str]) -> BTreeSet<SoftwareVersion> {
    texts.iter().map(|text| version(text)).collect()
}

fn stream(number: u32) -> StreamId {
    StreamId::new(&format!("request-{number}"))
}

/// A host whose first list, at [`START`], has targets of these versions.
fn host(listed: &[&str], youngest: Span) -> StreamRegister {
    let mut register = StreamRegister::default();
    register.set_listed(START, &service(), versions(listed), youngest);
    register
}

/// A host that has followed a service of one version for long, and still does at [`START`].
fn settled_host(only: &str) -> StreamRegister {
    let mut register = StreamRegister::default();
    register.set_listed(Time(START.0 - LONG.0), &service(), versions(&[only]), LONG);
    register
}

fn begin(host: &mut StreamRegister, now: Time, number: u32, text: &str) {
    host.begin(now, &service(), stream(number), &version(text), now + Span::from_secs(5));
}

/// The version that a host with a confirmed list knows without asking others.
fn lookup(host: &StreamRegister, now: Time, number: u32) -> Option<SoftwareVersion> {
    let registered = host.registered(stream(number)).cloned();
    registered.or_else(|| host.only_version(now, &service(), ListState::Confirmed))
}

/// What a host with a confirmed list concludes from these answers of others.
fn conclude(host: &StreamRegister, now: Time, answers: &[StreamAnswer]) -> Option<SoftwareVersion> {
    host.conclude(now, &service(), ListState::Confirmed, answers)
}

#[test]
fn a_stream_is_known_where_it_was_announced() {
    let (mut first, mut second) = (host(&["v1", "v2"], LONG), host(&["v1", "v2"], LONG));
    begin(&mut first, START, 1, "v2");
    assert_eq!(lookup(&second, START, 1), None);
    second.merge(START, first.take_announcements(START));
    assert_eq!(lookup(&second, START, 1), Some(version("v2")));
    assert!(first.take_announcements(START).is_empty());
}

#[test]
fn the_last_version_to_which_a_stream_was_sent_counts() {
    let (mut first, mut second) = (host(&["v1", "v2"], LONG), host(&["v1", "v2"], LONG));
    begin(&mut first, START, 1, "v2");
    begin(&mut first, START, 1, "v1");
    second.merge(START, first.take_announcements(START));
    assert_eq!(lookup(&second, START, 1), Some(version("v1")));
}

#[test]
fn a_service_of_one_version_needs_no_record() {
    let mut settled = settled_host("v1");
    assert_eq!(lookup(&settled, START, 1), Some(version("v1")));
    begin(&mut settled, START, 1, "v1");
    assert!(settled.take_announcements(START).is_empty());
}

#[test]
fn streams_begun_before_a_second_version_are_announced_when_it_comes() {
    let mut first = settled_host("v1");
    begin(&mut first, START, 1, "v1");
    assert!(first.take_announcements(START).is_empty());
    first.set_listed(START + SECOND, &service(), versions(&["v1", "v2"]), SECOND);
    let mut second = host(&["v1", "v2"], LONG);
    second.merge(START + SECOND, first.take_announcements(START + SECOND));
    assert_eq!(lookup(&second, START + SECOND, 1), Some(version("v1")));
}

#[test]
fn a_version_is_not_assumed_while_another_one_may_have_begun_the_stream() {
    let mut host = host(&["v1", "v2"], LONG);
    host.set_listed(START + SECOND, &service(), versions(&["v2"]), SECOND);
    for seconds in [1, 5, 14] {
        let now = START + Span::from_secs(seconds);
        assert_eq!(lookup(&host, now, 1), None, "after {seconds} s");
    }
    let later = START + LONG;
    assert_eq!(lookup(&host, later, 1), Some(version("v2")));
}

#[test]
fn a_list_that_may_be_out_of_date_does_not_decide_alone() {
    let settled = settled_host("v1");
    assert_eq!(lookup(&settled, START, 1), Some(version("v1")));
    assert_eq!(settled.only_version(START, &service(), ListState::Unconfirmed), None);
    let host = host(&["v1"], LONG);
    let later = START + Span::from_secs(3);
    let settled = StreamAnswer::Settled(version("v1"));
    let conclude = |answers: &[StreamAnswer]| {
        host.conclude(later, &service(), ListState::Unconfirmed, answers)
    };
    assert_eq!(conclude(&[StreamAnswer::Unknown, settled.clone()]), Some(version("v1")));
    assert_eq!(conclude(&[settled.clone(), StreamAnswer::Mixed]), None);
    assert_eq!(conclude(&[settled, StreamAnswer::Settled(version("v2"))]), None);
    assert_eq!(conclude(&[StreamAnswer::Unknown]), None);
    assert_eq!(conclude(&[]), None);
    let registered = StreamAnswer::Registered(version("v2"));
    assert_eq!(conclude(&[StreamAnswer::Mixed, registered]), Some(version("v2")));
}

#[test]
fn a_restarted_host_does_not_assume_the_version_of_a_target_that_has_just_started() {
    let restarted = host(&["v2"], Span::from_secs(5));
    assert_eq!(lookup(&restarted, START, 1), None);
    assert_eq!(restarted.answer(START, &service(), stream(1)), StreamAnswer::Unknown);
}

/// Guards against streams of two versions after a restart: the list of a host that has just started
/// does not tell that targets of another version left a moment ago, since no target started then.
#[test]
fn a_restarted_host_does_not_assume_a_version_after_another_one_has_left() {
    let mut running = host(&["v1", "v2"], LONG);
    let left = START + Span::from_secs(60);
    running.set_listed(left, &service(), versions(&["v2"]), LONG);
    let now = left + Span::from_secs(5);
    let mut restarted = StreamRegister::default();
    restarted.set_listed(now, &service(), versions(&["v2"]), LONG);
    let other = restarted.clone();
    assert_eq!(lookup(&restarted, now, 1), None, "others have to be asked");
    let answers =
        [other.answer(now, &service(), stream(1)), running.answer(now, &service(), stream(1))];
    assert_eq!(conclude(&restarted, now, &answers), None, "{answers:?}");
}

/// Guards against refusing all that callers resume after a restart of every host.
#[test]
fn restarted_hosts_of_a_service_with_old_targets_go_on_with_its_streams() {
    let restarted = host(&["v1"], LONG);
    let answers = [host(&["v1"], LONG).answer(START, &service(), stream(1))];
    assert_eq!(conclude(&restarted, START, &answers), Some(version("v1")));
    // Nobody knows better, or nobody was there to be asked.
    assert_eq!(conclude(&restarted, START, &[]), Some(version("v1")));
    let silent = [StreamAnswer::Unknown, StreamAnswer::Unreached];
    assert_eq!(conclude(&restarted, START, &silent), None);
}

/// Guards against knowledge of versions that ends with the hosts that were restarted one after
/// another, though each could have told the next.
#[test]
fn a_restarted_host_takes_over_that_a_service_has_long_had_one_version() {
    let mut restarted = host(&["v1"], LONG);
    assert_eq!(restarted.unsettled(START), [service()]);
    let told = settled_host("v1").answer(START, &service(), StreamId::NONE);
    let answers = [StreamAnswer::Unreached, StreamAnswer::Unknown, told];
    assert!(restarted.inherit(START, &service(), &answers));
    assert_eq!(lookup(&restarted, START, 1), Some(version("v1")));
    assert!(restarted.unsettled(START).is_empty());
    let mut next = host(&["v1"], Span::from_secs(5));
    let told = restarted.answer(START, &service(), StreamId::NONE);
    assert!(next.inherit(START, &service(), &[told]), "a young target is not of another version");
    assert_eq!(lookup(&next, START, 1), Some(version("v1")));
}

/// Guards against streams of two versions: what another host knows by an old list is taken over.
#[test]
fn a_restarted_host_takes_over_nothing_that_another_host_contradicts() {
    let told = StreamAnswer::Settled(version("v1"));
    let contradicting = [
        vec![],
        vec![StreamAnswer::Unknown, StreamAnswer::Unreached],
        vec![told.clone(), StreamAnswer::Mixed],
        vec![told.clone(), StreamAnswer::Settled(version("v2"))],
        vec![StreamAnswer::Settled(version("v2"))],
    ];
    for answers in contradicting {
        let mut restarted = host(&["v1"], LONG);
        assert!(!restarted.inherit(START, &service(), &answers), "{answers:?}");
        assert_eq!(lookup(&restarted, START, 1), None, "{answers:?}");
    }
    let mut mixed = host(&["v1", "v2"], LONG);
    assert!(!mixed.inherit(START, &service(), std::slice::from_ref(&told)));
    let mut recalling = host(&["v1"], LONG);
    recalling.expect_recall(true);
    assert!(!recalling.inherit(START, &service(), std::slice::from_ref(&told)));
    assert!(recalling.unsettled(START).is_empty());
    recalling.expect_recall(false);
    recalling.recall(START, &service(), [(version("v2"), SECOND)].into());
    assert!(!recalling.inherit(START, &service(), &[told]), "v2 has left a second ago");
}

/// Guards against a version that joins later and finds streams which nobody else knows.
#[test]
fn a_host_that_took_over_a_version_announces_its_streams_when_another_joins() {
    let mut restarted = host(&["v1"], LONG);
    assert!(restarted.inherit(START, &service(), &[StreamAnswer::Settled(version("v1"))]));
    begin(&mut restarted, START, 1, "v1");
    assert!(restarted.take_announcements(START).is_empty());
    let now = START + SECOND;
    restarted.set_listed(now, &service(), versions(&["v1", "v2"]), Span::ZERO);
    assert_eq!(restarted.take_announcements(now).len(), 1);
    assert_eq!(lookup(&restarted, now, 2), None);
}

/// Guards against taking a service for one of two versions when its only one was away for a moment.
#[test]
fn a_version_that_comes_back_alone_is_not_mixed_with_itself() {
    let mut host = settled_host("v1");
    host.set_listed(START, &service(), versions(&[]), Span::ZERO);
    host.set_listed(START + SECOND, &service(), versions(&["v1"]), Span::ZERO);
    let now = START + SECOND * 2;
    assert_eq!(host.answer(now, &service(), stream(1)), StreamAnswer::Unknown);
    host.set_listed(now, &service(), versions(&["v2"]), Span::ZERO);
    assert_eq!(host.answer(now, &service(), stream(1)), StreamAnswer::Mixed);
}

/// Guards against announcements that overtake each other on their way to a host.
#[test]
fn an_announcement_that_arrives_late_does_not_replace_a_newer_one() {
    let (mut first, mut second) = (host(&["v1", "v2"], LONG), host(&["v1", "v2"], LONG));
    begin(&mut first, START, 1, "v2");
    let early = first.take_announcements(START);
    begin(&mut first, START + SECOND, 1, "v1");
    let late = first.take_announcements(START + SECOND);
    second.merge(START + SECOND, late);
    second.merge(START + SECOND, early);
    assert_eq!(lookup(&second, START + SECOND, 1), Some(version("v1")));
}

/// Guards against a version that came and left between two lists, and began streams elsewhere.
#[test]
fn a_version_that_was_listed_for_a_moment_is_not_forgotten() {
    let mut host = settled_host("v1");
    begin(&mut host, START, 1, "v1");
    host.record_version(START, &service(), &version("v2"));
    host.set_listed(START, &service(), versions(&["v1"]), LONG);
    assert_eq!(host.take_announcements(START).len(), 1, "its streams are announced");
    let now = START + SECOND;
    assert_eq!(lookup(&host, now, 2), None);
    assert_eq!(host.answer(now, &service(), stream(2)), StreamAnswer::Mixed);
    let settled = StreamAnswer::Settled(version("v1"));
    assert_eq!(conclude(&host, now, &[settled]), None);
    host.record_version(now, &service(), &version("v1"));
    assert_eq!(lookup(&host, START + LONG, 2), Some(version("v1")));
}

/// Versions and streams that are to be saved now.
fn saved(host: &mut StreamRegister, now: Time) -> Vec<(SoftwareVersion, Vec<StreamId>)> {
    let begun = host.take_begun(now).into_iter();
    let ids = |streams: Vec<(StreamId, Span)>| streams.into_iter().map(|(id, _)| id).collect();
    begun.map(|begun| (begun.version, ids(begun.streams))).collect()
}

/// Guards against a stream that is saved with a version that sent no event of it.
#[test]
fn a_stream_is_saved_once_and_only_with_the_version_whose_head_its_caller_got() {
    let mut host = host(&["v1", "v2"], LONG);
    begin(&mut host, START, 1, "v1");
    assert_eq!(saved(&mut host, START), []);
    begin(&mut host, START, 1, "v2");
    host.record_begun(&service(), stream(1), &version("v1"));
    assert_eq!(saved(&mut host, START), []);
    host.record_begun(&service(), stream(1), &version("v2"));
    assert_eq!(saved(&mut host, START), [(version("v2"), vec![stream(1)])]);
    assert_eq!(saved(&mut host, START), []);
}

#[test]
fn streams_of_a_service_with_one_version_are_saved_when_a_second_one_comes() {
    let mut host = settled_host("v1");
    begin(&mut host, START, 1, "v1");
    host.record_begun(&service(), stream(1), &version("v1"));
    assert_eq!(saved(&mut host, START), []);
    let later = START + SECOND;
    host.set_listed(later, &service(), versions(&["v1", "v2"]), SECOND);
    assert_eq!(saved(&mut host, later), [(version("v1"), vec![stream(1)])]);
}

#[test]
fn what_is_recalled_does_not_replace_what_is_known() {
    let mut host = host(&["v1", "v2"], LONG);
    begin(&mut host, START, 1, "v1");
    let streams = vec![(stream(1), SECOND), (stream(2), SECOND)];
    let saved = BegunStreams { service: service(), version: version("v2"), streams };
    host.recall_streams(START, vec![saved]);
    assert_eq!(lookup(&host, START, 1), Some(version("v1")));
    assert_eq!(lookup(&host, START, 2), Some(version("v2")));
}
