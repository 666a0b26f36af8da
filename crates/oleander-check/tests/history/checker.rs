//! Checks a history against what must always hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::call::{Call, Heard, Kind, Word};

/// What the targets themselves saw.
#[derive(Debug, Default)]
pub(crate) struct Records {
    /// Requests that reached a target, by key.
    pub(crate) requests: BTreeMap<String, usize>,
    /// Runs of the plain service by request id.
    pub(crate) runs: BTreeMap<String, u64>,
}

impl Records {
    /// Counts a request at a target by the key that its id begins with.
    pub(crate) fn count(&mut self, id: &str) {
        let key = id.split('@').next().unwrap_or_default();
        *self.requests.entry(key.to_owned()).or_default() += 1;
    }
}

/// All that was heard about one call.
#[derive(Debug)]
pub(crate) struct Story {
    /// The call.
    pub(crate) call: Call,
    /// Answers in order of their arrival.
    pub(crate) responses: Vec<Heard>,
    /// The result as each entry reads it in the end.
    pub(crate) reads: Vec<Word>,
}

/// The responses of a history by call.
pub(crate) fn stories(history: Vec<Heard>) -> BTreeMap<String, Story> {
    let mut stories = BTreeMap::new();
    for heard in history {
        let story = stories.entry(heard.call.key.clone()).or_insert_with(|| Story {
            call: heard.call.clone(),
            responses: Vec::new(),
            reads: Vec::new(),
        });
        story.responses.push(heard);
    }
    stories
}

/// Everything that breaks a promise, as text.
pub(crate) fn violations(stories: &BTreeMap<String, Story>, records: &Records) -> Vec<String> {
    let mut found = Vec::new();
    for story in stories.values() {
        let checks = [
            one_outcome(story),
            own_answers(story),
            unknown_is_last(story),
            not_run_is_true(story, records),
        ];
        found.extend(checks.into_iter().flatten().map(|text| describe(story, &text)));
    }
    let twice = records.runs.iter().filter(|&(id, &runs)| runs > 1 && !id.contains('~'));
    found.extend(twice.map(|(id, runs)| format!("{id} may not be repeated and ran {runs} times")));
    found
}

/// A violation with what was read and, without repeats, what was answered.
fn describe(story: &Story, text: &str) -> String {
    let mut responses: Vec<&Word> = story.responses.iter().map(|heard| &heard.word).collect();
    responses.dedup();
    format!("{text}: {:?}\n  read {:?}\n  answered {responses:?}", story.call, story.reads)
}

fn words(story: &Story) -> impl Iterator<Item = &Word> {
    story.responses.iter().map(|heard| &heard.word).chain(&story.reads)
}

/// One result over all responses and reads, and the same at each read.
fn one_outcome(story: &Story) -> Option<String> {
    let whole: BTreeSet<(&String, &String)> = words(story)
        .filter_map(|word| match word {
            Word::Whole(text, run) => Some((text, run)),
            _ => None,
        })
        .collect();
    if whole.len() > 1 {
        return Some("more than one result".to_owned());
    }
    if story.reads.windows(2).any(|pair| pair[0] != pair[1]) {
        return Some("entries read different results".to_owned());
    }
    let readable = story.reads.iter().any(|word| matches!(word, Word::Whole(..)));
    (!whole.is_empty() && !readable)
        .then(|| "a result that was answered is not readable".to_owned())
}

/// Each complete response is the one that belongs to the call, each partial one a beginning of it.
fn own_answers(story: &Story) -> Option<String> {
    let expected = story.call.expected();
    let wrong = words(story).any(|word| match word {
        Word::Whole(text, _) => *text != expected,
        Word::Partial(text) => !expected.starts_with(text.as_str()),
        Word::Malformed(_) => true,
        Word::Running | Word::Refused(..) | Word::Lost(_) => false,
    });
    wrong.then(|| format!("a response that is not {expected:?}"))
}

/// An outcome that can't be known is never followed by another one.
fn unknown_is_last(story: &Story) -> Option<String> {
    let unknown = |word: &Word| matches!(word, Word::Refused(code, _) if code == "outcome_unknown");
    let first = words(story).position(unknown)?;
    let later = words(story).skip(first).any(|word| matches!(word, Word::Whole(..)));
    later.then(|| "a result after an unknown outcome".to_owned())
}

/// A last word that says "not run" is true by the targets' records.
///
/// Calls with a lost or unknown response before are left to a test of their own.
fn not_run_is_true(story: &Story, records: &Records) -> Option<String> {
    let refused = |word: &Word| matches!(word, Word::Refused(_, ran) if ran == "no");
    let only_refused = story.responses.iter().all(|heard| refused(&heard.word));
    let ran = records.requests.contains_key(&story.call.key);
    (only_refused && ran).then(|| "said not to have run, but it ran".to_owned())
}

/// Calls that reached a target again between two readings of the records.
pub(crate) fn ran_again(before: &Records, after: &Records) -> Vec<String> {
    let new = after.requests.iter().filter(|(key, count)| before.requests.get(*key) != Some(count));
    new.map(|(key, _)| format!("{key} ran again after its end")).collect()
}

/// Number of stories of each kind, and how they ended; for the report of a run.
pub(crate) fn summary(stories: &BTreeMap<String, Story>) -> String {
    let count = |holds: &dyn Fn(&Story) -> bool| stories.values().filter(|s| holds(s)).count();
    let whole = |s: &Story| s.reads.iter().any(|word| matches!(word, Word::Whole(..)));
    let unknown = |s: &Story| {
        words(s).any(|word| matches!(word, Word::Refused(code, _) if code == "outcome_unknown"))
    };
    let responses: usize = stories.values().map(|story| story.responses.len()).sum();
    format!(
        "calls {} (dispatches {}), responses {responses}, done {}, unknown {}, given up {}",
        stories.len(),
        count(&|s| s.call.kind == Kind::Dispatch),
        count(&whole),
        count(&unknown),
        count(&|s| !whole(s) && !unknown(s)),
    )
}
