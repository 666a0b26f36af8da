//! Batch input files, and the check of the output that a job made of one.

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

/// What a batch input file holds.
#[derive(Debug, Clone, PartialEq, Eq, Args)]
pub struct BatchSettings {
    /// Items in the file.
    #[arg(long, default_value_t = 1_000)]
    pub items: u64,
    /// One of so many items carries the mark; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub mark_every: u64,
    /// Text in the prompt of marked items, for the engine's `die_on` and `reject_on`.
    #[arg(long, default_value = "")]
    pub mark_text: String,
}

/// Why a batch file can't be read.
#[derive(Debug)]
pub enum BatchError {
    /// The file can't be read.
    Read(io::Error),
    /// This line is not an item.
    Line(String),
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

/// What the check of an output file found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BatchCheck {
    /// Items of the input.
    pub items: u64,
    /// Items with the expected answer.
    pub right: u64,
    /// Items that ended as failed.
    pub failed: Vec<String>,
    /// Items without a result.
    pub missing: Vec<String>,
    /// Items with more than one result.
    pub doubled: Vec<String>,
    /// Items with an answer that is not theirs.
    pub wrong: Vec<String>,
    /// Results of no item.
    pub unknown: Vec<String>,
}

impl BatchCheck {
    /// Whether every item has one result, and no answer is wrong.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let faults = [&self.missing, &self.doubled, &self.wrong, &self.unknown];
        faults.iter().all(|found| found.is_empty())
    }
}

/// Writes a seeded input file in the shape of the batches interface.
///
/// # Errors
///
/// Returns the error of the writer.
pub fn write_batch(
    mut output: impl Write,
    settings: &BatchSettings,
    prompts: &PromptSettings,
    seed: u64,
) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for number in 0..settings.items {
        let marked = settings.mark_every > 0 && (number + 1).is_multiple_of(settings.mark_every);
        let mark = if marked { settings.mark_text.as_str() } else { "" };
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

/// Compares an output file with what the engine stand-in answers to the input file.
///
/// # Errors
///
/// Returns the first line that can't be read.
pub fn check_batch(input: impl BufRead, output: impl BufRead) -> Result<BatchCheck, BatchError> {
    let mut check = BatchCheck::default();
    let mut results = read_results(output)?;
    for line in read_lines::<InputLine>(input) {
        let line = line?;
        check.items += 1;
        let found = results.remove(&line.custom_id).unwrap_or_default();
        check.add_item(line, &found);
    }
    check.unknown = results.into_keys().collect();
    Ok(check)
}

impl BatchCheck {
    fn add_item(&mut self, item: InputLine, results: &[Value]) {
        let [result] = results else {
            let list = if results.is_empty() { &mut self.missing } else { &mut self.doubled };
            list.push(item.custom_id);
            return;
        };
        if result["status_code"] != json!(STATUS_OK) {
            self.failed.push(item.custom_id);
            return;
        }
        let content = &result["body"]["choices"][0]["message"]["content"];
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
                .map_err(|error| BatchError::Line(format!("{error}: {line}")))
        },
    )
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "file can't be read: {error}"),
            Self::Line(line) => write!(f, "line is not an item: {line}"),
        }
    }
}

impl std::error::Error for BatchError {}
