//! Which requests are blocked, suspected and cleared by crashes of targets.

use oleander_core::{PromptPart, Span, Time};
use oleander_quarantine::{Quarantine, RequestParts, Standing, TargetRun};

/// Parts of the prompts: a first part that all share, a bad one, and a sound one.
const FIRST: u64 = 0xa;
const BAD: u64 = 0xbad;
const SOUND: u64 = 0xc;
/// Time between two events that are not at the same moment.
const STEP: Span = Span::from_millis(500);

fn request(parts: &[u64], content: u64) -> RequestParts {
    RequestParts::new(parts.iter().copied().map(PromptPart).collect(), content)
}

fn run(number: u64) -> TargetRun {
    TargetRun { target: format!("engine-{number}").parse().expect("target"), started: None }
}

/// A host whose time moves on with each crash.
#[derive(Default)]
struct Host {
    now: Time,
    crashes: u64,
    quarantine: Quarantine,
}

impl Host {
    /// A host that knows for how long it has not seen output for a part.
    fn long_running() -> Self {
        let mut host = Self::default();
        host.output(&request(&[0xf], 0xf));
        host.now = Time(60_000_000);
        host
    }

    /// A target crashes while it has these requests, none of which had output.
    fn crash(&mut self, requests: &[RequestParts]) {
        self.now = self.now + STEP;
        self.crash_at_once(requests);
    }

    fn crash_at_once(&mut self, requests: &[RequestParts]) {
        self.crashes += 1;
        let run = run(self.crashes);
        for request in requests {
            self.quarantine.record_break(self.now, &run, request);
        }
        self.quarantine.record_crash(self.now, &run);
    }

    fn output(&mut self, request: &RequestParts) {
        self.quarantine.record_output(self.now, request);
    }

    fn standing(&self, request: &RequestParts) -> Standing {
        self.quarantine.standing(self.now, request)
    }

    fn is_blocked(&self, request: &RequestParts) -> bool {
        matches!(self.standing(request), Standing::Blocked { .. })
    }
}

#[test]
fn a_part_of_different_requests_is_blocked_after_three_crashes() {
    let mut host = Host::long_running();
    for number in 1..=3 {
        assert!(!host.is_blocked(&request(&[FIRST, BAD], 100)), "{number}");
        host.crash(&[request(&[FIRST, BAD], number)]);
        host.output(&request(&[FIRST, SOUND], 10 + number));
    }
    assert!(host.is_blocked(&request(&[FIRST, BAD], 100)));
    assert!(host.is_blocked(&request(&[BAD, 0xd, FIRST], 101)), "with another part");
    assert_eq!(host.standing(&request(&[FIRST, SOUND], 102)), Standing::Clear);
}

#[test]
fn a_request_that_comes_again_is_blocked_and_others_with_its_parts_are_not() {
    let mut host = Host::long_running();
    let again = request(&[FIRST, SOUND], 1);
    (0..3).for_each(|_| host.crash(std::slice::from_ref(&again)));
    assert!(matches!(host.standing(&again), Standing::Alone { .. }));
    host.crash(std::slice::from_ref(&again));
    assert!(host.is_blocked(&again));
    assert!(!host.is_blocked(&request(&[FIRST, SOUND], 2)));
    host.output(&request(&[FIRST, SOUND], 2));
    assert!(host.is_blocked(&again));
}

#[test]
fn a_request_that_comes_again_needs_no_parts_that_others_share_and_no_time_between_crashes() {
    let mut host = Host::default();
    let again = request(&[], 1);
    (0..4).for_each(|_| host.crash_at_once(std::slice::from_ref(&again)));
    assert!(!host.is_blocked(&again), "all at one moment");
    host.crash(std::slice::from_ref(&again));
    assert!(host.is_blocked(&again));
}

#[test]
fn a_sound_request_that_was_beside_a_bad_one_at_each_crash_is_not_blocked() {
    let mut host = Host::long_running();
    let [bad, sound] = [request(&[FIRST, SOUND], 1), request(&[FIRST, SOUND], 2)];
    (0..4).for_each(|_| host.crash(&[bad.clone(), sound.clone()]));
    assert!(matches!(host.standing(&sound), Standing::Alone { .. }));
    host.crash(std::slice::from_ref(&bad));
    assert!(host.is_blocked(&bad));
    assert!(!host.is_blocked(&sound));
    host.output(&sound);
    assert_eq!(host.standing(&sound), Standing::Clear);
}

#[test]
fn a_second_bad_request_at_the_same_targets_is_blocked_after_one_crash_more() {
    let mut host = Host::long_running();
    let [first, second] = [request(&[FIRST, SOUND], 1), request(&[FIRST, SOUND], 2)];
    (0..3).for_each(|_| host.crash(&[first.clone(), second.clone()]));
    host.crash(std::slice::from_ref(&first));
    assert!(host.is_blocked(&first) && !host.is_blocked(&second));
    host.crash(std::slice::from_ref(&second));
    assert!(host.is_blocked(&second));
}

#[test]
fn a_first_part_that_no_output_has_cleared_is_not_blocked_alone() {
    let mut host = Host::long_running();
    (1..=3).for_each(|number| host.crash(&[request(&[FIRST, BAD], number)]));
    assert!(host.is_blocked(&request(&[FIRST, BAD], 9)));
    assert!(!host.is_blocked(&request(&[FIRST, SOUND], 9)));
}

#[test]
fn two_bad_parts_do_not_block_what_their_requests_share() {
    let mut host = Host::long_running();
    host.output(&request(&[FIRST, SOUND], 100));
    for number in 0..6 {
        host.crash(&[request(&[FIRST, BAD + number % 2], number)]);
    }
    assert!(host.is_blocked(&request(&[FIRST, BAD], 9)));
    assert!(host.is_blocked(&request(&[FIRST, BAD + 1], 9)));
    assert!(!host.is_blocked(&request(&[FIRST, SOUND], 9)));
}

#[test]
fn crashes_at_one_moment_do_not_block_a_part_that_many_requests_share() {
    let mut host = Host::long_running();
    (0..8).for_each(|number| host.crash_at_once(&[request(&[FIRST, SOUND], number)]));
    assert!(!host.is_blocked(&request(&[FIRST, SOUND], 9)));
}

#[test]
fn a_sound_request_beside_a_bad_one_is_freed_once_the_bad_part_is_known() {
    let mut host = Host::long_running();
    let sound = request(&[FIRST, SOUND], 50);
    for number in 1..=3 {
        host.crash(&[request(&[FIRST, BAD], number), sound.clone()]);
        host.output(&request(&[FIRST, 0xd], 20 + number));
    }
    assert!(host.is_blocked(&request(&[FIRST, BAD], 9)));
    // It was a suspect of all three crashes as well, and output of its own frees it.
    host.output(&sound);
    assert_eq!(host.standing(&sound), Standing::Clear);
}

#[test]
fn a_part_that_a_target_writes_for_is_cleared_of_all_earlier_crashes() {
    let mut host = Host::long_running();
    for number in 0..20 {
        host.crash(&[request(&[FIRST, SOUND], number)]);
        host.crash(&[request(&[FIRST, SOUND], number)]);
        host.output(&request(&[SOUND], 100 + number));
        host.output(&request(&[FIRST], 200 + number));
    }
    assert!(!host.is_blocked(&request(&[FIRST, SOUND], 300)));
}

#[test]
fn a_host_that_has_just_started_needs_more_crashes_to_block_a_part() {
    let mut host = Host::default();
    host.output(&request(&[SOUND], 1));
    for (number, pause) in [(2, 10), (3, 105), (4, 105)] {
        host.now = host.now + Span::from_millis(pause);
        host.crash_at_once(&[request(&[FIRST, BAD], number)]);
    }
    assert!(!host.is_blocked(&request(&[FIRST, BAD], 9)));
    (5..7).for_each(|number| host.crash(&[request(&[FIRST, BAD], number)]));
    assert!(host.is_blocked(&request(&[FIRST, BAD], 9)));
}

#[test]
fn a_part_that_turns_bad_after_many_responses_is_blocked() {
    let mut host = Host::long_running();
    (0..50).for_each(|number| host.output(&request(&[FIRST, BAD], number)));
    (51..56).for_each(|number| host.crash(&[request(&[FIRST, BAD], number)]));
    assert!(host.is_blocked(&request(&[FIRST, BAD], 60)));
}

#[test]
fn after_the_end_of_a_block_one_crash_blocks_the_part_again_for_longer() {
    let mut host = Host::long_running();
    for number in 1..=3 {
        host.crash(&[request(&[FIRST, BAD], number)]);
        host.output(&request(&[FIRST], 10 + number));
    }
    let bad = request(&[FIRST, BAD], 9);
    let Standing::Blocked { remaining, .. } = host.standing(&bad) else { panic!("blocked") };
    host.now = host.now + remaining;
    assert!(matches!(host.standing(&bad), Standing::Suspect { .. }), "one at a time");
    host.crash(std::slice::from_ref(&bad));
    let Standing::Blocked { remaining: again, .. } = host.standing(&bad) else { panic!("blocked") };
    assert_eq!(again, remaining * 2);
}

#[test]
fn callers_who_invent_parts_do_not_use_memory_without_bound() {
    let mut host = Host::long_running();
    for number in 0..20_000 {
        host.output(&request(&[number], number));
        if number % 10 == 0 {
            host.crash(&[request(&[FIRST, number], number)]);
        }
    }
    let news = host.quarantine.snapshot(host.now);
    assert!(news.crashes.len() <= 64 && news.blocks.len() <= 256, "{}", news.crashes.len());
}
