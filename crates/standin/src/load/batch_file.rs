//! Generates batch input files and verifies the output files of their jobs.

use std::{
    collections::BTreeMap,
    fmt,
    io::{self, BufRead, Write},
};

use clap::Args;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{load::prompts::PromptSettings, response};

const ENDPOINT: &str = "/v1/chat/completions";
const STATUS_OK: u64 = 200;

/// Size and marked items of a batch input file.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct BatchSettings {
    /// Number of items in the file.
    #[arg(long, default_value_t = 1_000)]
    pub items: u64,
    /// Every n-th item contains the mark text; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub mark_every: u64,
    /// Text added to the prompt of marked items; matched by the engine's `die_on` and `reject_on`.
    #[arg(long, default_value = "")]
    pub mark_text: String,
}

/// Error of reading a batch file.
#[derive(Debug)]
pub enum BatchError {
    /// Reading from the file failed.
    Read(io::Error),
    /// A line is not a valid item; holds the parse error and the line.
    Parse(String),
}

/// One line of an input file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct InputLine {
    custom_id: String,
    method: String,
    url: String,
    body: Value,
}

/// One line of an output file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
struct OutputLine {
    custom_id: String,
    #[serde(default)]
    response: Value,
}

/// Result of verifying an output file.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BatchCheck {
    /// Number of items in the input file.
    pub items: u64,
    /// Number of items with the expected response.
    pub right: u64,
    /// Ids of items whose response has a status other than 200.
    pub failed: Vec<String>,
    /// Ids of items without a result.
    pub missing: Vec<String>,
    /// Ids of items with more than one result.
    pub doubled: Vec<String>,
    /// Ids of items with an unexpected response.
    pub wrong: Vec<String>,
    /// Ids of results that belong to no item.
    pub unknown: Vec<String>,
}

impl BatchCheck {
    /// Whether every item has exactly one result, no response is wrong and no result is unknown.
    ///
    /// Failed items are allowed.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let problems = [&self.missing, &self.doubled, &self.wrong, &self.unknown];
        problems.iter().all(|ids| ids.is_empty())
    }
}

/// Writes a seeded input file in the format of the batch API.
///
/// # Errors
///
/// Returns the first error of `output`.
pub fn write_batch(
    mut output: impl Write,
    settings: &BatchSettings,
    prompts: &PromptSettings,
    seed: u64,
) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for number in 0..settings.items {
        let is_marked = settings.mark_every > 0 && (number + 1).is_multiple_of(settings.mark_every);
        let mark = if is_marked { settings.mark_text.as_str() } else { "" };
        let line = InputLine {
            custom_id: format!("item-{number}"),
            method: "POST".to_owned(),
            url: ENDPOINT.to_owned(),
            body: prompts.body(seed, rng.random(), number, mark),
        };
        serde_json::to_writer(&mut output, &line)?;
        output.write_all(b"\n")?;
    }
    output.flush()
}

/// Compares an output file with the responses of the engine stand-in to the input file.
///
/// # Errors
///
/// Returns the first read or parse error.
pub fn check_batch(input: impl BufRead, output: impl BufRead) -> Result<BatchCheck, BatchError> {
    let mut check = BatchCheck::default();
    let mut results = read_results(output)?;
    for line in read_lines::<InputLine>(input) {
        let line = line?;
        check.items += 1;
        let responses = results.remove(&line.custom_id).unwrap_or_default();
        check.record_item(line, &responses);
    }
    check.unknown = results.into_keys().collect();
    Ok(check)
}

impl BatchCheck {
    fn record_item(&mut self, item: InputLine, responses: &[Value]) {
        let [response] = responses else {
            let list = if responses.is_empty() { &mut self.missing } else { &mut self.doubled };
            list.push(item.custom_id);
            return;
        };
        if response["status_code"] != json!(STATUS_OK) {
            self.failed.push(item.custom_id);
            return;
        }
        let content = &response["body"]["choices"][0]["message"]["content"];
        if *content == json!(response::expected_text(&item.body)) {
            self.right += 1;
        } else {
            self.wrong.push(item.custom_id);
        }
    }
}

fn read_results(output: impl BufRead) -> Result<BTreeMap<String, Vec<Value>>, BatchError> {
    let mut results: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for line in read_lines::<OutputLine>(output) {
        let line = line?;
        results.entry(line.custom_id).or_default().push(line.response);
    }
    Ok(results)
}

fn read_lines<T: for<'de> Deserialize<'de>>(
    file: impl BufRead,
) -> impl Iterator<Item = Result<T, BatchError>> {
    file.lines().filter(|line| line.as_ref().map_or(true, |line| !line.trim().is_empty())).map(
        |line| {
            let line = line.map_err(BatchError::Read)?;
            serde_json::from_str(&line)
                .map_err(|error| BatchError::Parse(format!("{error}: {line}")))
        },
    )
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "file can't be read: {error}"),
            Self::Parse(line) => write!(f, "line is not an item: {line}"),
        }
    }
}

impl std::error::Error for BatchError {}
