//! Checks the observations of a run against the guarantees of the system.

use std::collections::{BTreeMap, BTreeSet};

use crate::call::{Call, CallKind, Observation, Outcome};

/// Requests and runs as recorded by the targets.
#[derive(Debug, Default)]
pub(crate) struct Records {
    /// Number of requests that reached a target, by key of the call.
    pub(crate) requests: BTreeMap<String, usize>,
    /// Number of runs at the plain service, by request id.
    pub(crate) runs: BTreeMap<String, u64>,
}

impl Records {
    /// Counts a request by the key of its call, with which the request id begins.
    pub(crate) fn count(&mut self, id: &str) {
        let key = id.split('@').next().unwrap_or_default();
        *self.requests.entry(key.to_owned()).or_default() += 1;
    }
}

/// Observations of one call.
#[derive(Debug)]
pub(crate) struct CallHistory {
    /// Call that was sent.
    pub(crate) call: Call,
    /// Observations of its sender, in order of arrival.
    pub(crate) responses: Vec<Observation>,
    /// Outcomes read through each entry after the faults, and of the resend after these reads.
    pub(crate) reads: Vec<Outcome>,
}

/// Groups the observations of a run by the key of the call.
pub(crate) fn group_by_call(observations: Vec<Observation>) -> BTreeMap<String, CallHistory> {
    let mut histories = BTreeMap::new();
    for observation in observations {
        let history = histories.entry(observation.call.key.clone()).or_insert_with(|| {
            CallHistory { call: observation.call.clone(), responses: Vec::new(), reads: Vec::new() }
        });
        history.responses.push(observation);
    }
    histories
}

/// Descriptions of all violated guarantees.
pub(crate) fn violations(
    histories: &BTreeMap<String, CallHistory>,
    records: &Records,
) -> Vec<String> {
    let mut found = Vec::new();
    for history in histories.values() {
        let checks = [
            single_outcome(history),
            own_results(history),
            unknown_is_final(history),
            not_run_is_correct(history, records),
        ];
        found.extend(checks.into_iter().flatten().map(|text| describe(history, &text)));
    }
    let repeated = records.runs.iter().filter(|&(id, &runs)| runs > 1 && !id.contains('~'));
    found.extend(
        repeated.map(|(id, runs)| format!("{id} must not be repeated but ran {runs} times")),
    );
    found
}

/// Description of a violation with the call's outcomes; equal consecutive responses are shown once.
fn describe(history: &CallHistory, text: &str) -> String {
    let mut responses: Vec<&Outcome> =
        history.responses.iter().map(|observation| &observation.outcome).collect();
    responses.dedup();
    format!("{text}: {:?}\n  reads {:?}\n  responses {responses:?}", history.call, history.reads)
}

fn outcomes(history: &CallHistory) -> impl Iterator<Item = &Outcome> {
    history.responses.iter().map(|observation| &observation.outcome).chain(&history.reads)
}

/// All responses and reads with a result have the same one, all reads have the same outcome, and a
/// result that was returned can be read.
fn single_outcome(history: &CallHistory) -> Option<String> {
    let results: BTreeSet<(&String, &String)> = outcomes(history)
        .filter_map(|outcome| match outcome {
            Outcome::Completed(text, run) => Some((text, run)),
            _ => None,
        })
        .collect();
    if results.len() > 1 {
        return Some("more than one result".to_owned());
    }
    if history.reads.windows(2).any(|pair| pair[0] != pair[1]) {
        return Some("entries read different results".to_owned());
    }
    let readable = history.reads.iter().any(|outcome| matches!(outcome, Outcome::Completed(..)));
    (!results.is_empty() && !readable)
        .then(|| "a result that was returned is not readable".to_owned())
}

/// Each result is the expected one of the call, and each partial result is a prefix of it.
fn own_results(history: &CallHistory) -> Option<String> {
    let expected = history.call.expected();
    let wrong = outcomes(history).any(|outcome| match outcome {
        Outcome::Completed(text, _) => *text != expected,
        Outcome::Partial(text) => !expected.starts_with(text.as_str()),
        Outcome::Malformed(_) => true,
        Outcome::Running | Outcome::Error(..) | Outcome::NoResponse(_) => false,
    });
    wrong.then(|| format!("a result other than {expected:?}"))
}

/// No result follows an unknown outcome.
fn unknown_is_final(history: &CallHistory) -> Option<String> {
    let unknown =
        |outcome: &Outcome| matches!(outcome, Outcome::Error(code, _) if code == "outcome_unknown");
    let first = outcomes(history).position(unknown)?;
    let result_follows =
        outcomes(history).skip(first).any(|outcome| matches!(outcome, Outcome::Completed(..)));
    result_follows.then(|| "a result after an unknown outcome".to_owned())
}

/// A call whose responses all say `ran: no` reached no target.
///
/// Calls with other responses are not checked here; `tests/truth.rs` has a test for them.
fn not_run_is_correct(history: &CallHistory, records: &Records) -> Option<String> {
    let refused = |outcome: &Outcome| matches!(outcome, Outcome::Error(_, ran) if ran == "no");
    let only_refused = history.responses.iter().all(|observation| refused(&observation.outcome));
    let ran = records.requests.contains_key(&history.call.key);
    (only_refused && ran).then(|| "reported as not run, but it reached a target".to_owned())
}

/// Calls whose number of requests differs between two reads of the records.
pub(crate) fn ran_again(before: &Records, after: &Records) -> Vec<String> {
    let new = after.requests.iter().filter(|(key, count)| before.requests.get(*key) != Some(count));
    new.map(|(key, _)| format!("{key} was sent to a target again after its final outcome"))
        .collect()
}

/// Numbers of calls by kind and outcome, for the output of a run.
pub(crate) fn summary(histories: &BTreeMap<String, CallHistory>) -> String {
    let count =
        |holds: &dyn Fn(&CallHistory) -> bool| histories.values().filter(|s| holds(s)).count();
    let completed =
        |s: &CallHistory| s.reads.iter().any(|outcome| matches!(outcome, Outcome::Completed(..)));
    let unknown = |s: &CallHistory| {
        outcomes(s)
            .any(|outcome| matches!(outcome, Outcome::Error(code, _) if code == "outcome_unknown"))
    };
    let responses: usize = histories.values().map(|history| history.responses.len()).sum();
    format!(
        "calls {} (dispatches {}), responses {responses}, done {}, unknown {}, given up {}",
        histories.len(),
        count(&|s| s.call.kind == CallKind::Dispatch),
        count(&completed),
        count(&unknown),
        count(&|s| !completed(s) && !unknown(s)),
    )
}
