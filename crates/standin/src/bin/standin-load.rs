//! Load tool.

use std::{
    fs::{self, File},
    io::{self, BufReader, BufWriter, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::Parser;
use serde::Serialize;
use standin::{
    client::{HttpClient, HttpVersion},
    load::{
        self, AddressBook, ArrivalSettings, BatchSettings, Destination, LatencyObjectives,
        LoadClient, PromptSettings, Report, RunSettings,
    },
    record::unix_micros,
};

/// Load tool.
///
/// Sends seeded online calls and verifies each response, writes and verifies batch files, or
/// compares two reports. Exits with 1 if a response or a batch output is wrong.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    /// Entry address; may be repeated.
    #[arg(long = "address")]
    addresses: Vec<String>,
    /// Fetch the addresses to use from the entries, and cache them for the time they specify.
    #[arg(long)]
    ask_addresses: bool,
    /// Engine address to call directly, bypassing the system; may be repeated.
    #[arg(long = "target", conflicts_with = "addresses")]
    targets: Vec<String>,
    /// File with a caller's key; may be repeated.
    #[arg(long = "key-file")]
    key_files: Vec<PathBuf>,
    /// Use HTTP/2.
    #[arg(long)]
    http2: bool,
    /// Seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prefix of each request id; by default derived from the current time.
    #[arg(long)]
    run_id: Option<String>,
    /// Name of the run in its report.
    #[arg(long, default_value = "run")]
    label: String,
    /// Deadline sent in the request header, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Maximum duration of a call, including retries, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    timeout_ms: u64,
    /// Maximum retries per call: after a refusal with a retry delay, or after a failure.
    #[arg(long, default_value_t = 0)]
    retries: u64,
    /// Maximum open calls; arrivals beyond it are skipped and counted.
    #[arg(long, default_value_t = 4_000)]
    max_open: usize,
    /// File to write the JSON report to.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Print the ratios of the second report to the first, and exit.
    #[arg(long, num_args = 2, value_names = ["FIRST", "SECOND"])]
    compare: Vec<PathBuf>,
    /// Write a batch input file, and exit.
    #[arg(long)]
    batch_file: Option<PathBuf>,
    /// Verify a batch output file against its input file, and exit.
    #[arg(long, num_args = 2, value_names = ["INPUT", "OUTPUT"])]
    check_batch: Vec<PathBuf>,
    #[command(flatten)]
    arrivals: ArrivalSettings,
    #[command(flatten)]
    prompts: PromptSettings,
    #[command(flatten)]
    objectives: LatencyObjectives,
    #[command(flatten)]
    batch: BatchSettings,
}

#[tokio::main]
async fn main() -> io::Result<ExitCode> {
    let cli = Cli::parse();
    if let [first, second] = cli.compare.as_slice() {
        let comparison = load::compare(&read_report(first)?, &read_report(second)?);
        return print(&comparison.to_string(), true);
    }
    if let [input, output] = cli.check_batch.as_slice() {
        return check_batch(input, output);
    }
    if let Some(path) = &cli.batch_file {
        let file = BufWriter::new(File::create(path)?);
        load::write_batch(file, &cli.batch, &cli.prompts, cli.seed)?;
        return Ok(ExitCode::SUCCESS);
    }
    run(cli).await
}

async fn run(cli: Cli) -> io::Result<ExitCode> {
    let (destination, addresses) = match cli.targets.is_empty() {
        true => (Destination::Entry, cli.addresses),
        false => (Destination::Engine, cli.targets),
    };
    if addresses.is_empty() {
        return Err(io::Error::other("--address or --target is required"));
    }
    let keys: io::Result<Vec<String>> = cli.key_files.iter().map(|path| read_key(path)).collect();
    let version = if cli.http2 { HttpVersion::Http2 } else { HttpVersion::Http1 };
    let caller = LoadClient {
        destination,
        client: HttpClient::new(version),
        address_book: AddressBook::new(addresses, cli.ask_addresses),
        keys: keys?,
        prompts: cli.prompts,
        seed: cli.seed,
        run_id: cli.run_id.unwrap_or_else(|| format!("load{:x}", unix_micros())),
        deadline_ms: cli.deadline_ms,
        max_retries: cli.retries,
        call_timeout: Duration::from_millis(cli.timeout_ms),
    };
    let settings = RunSettings {
        label: cli.label,
        arrivals: cli.arrivals,
        objectives: cli.objectives,
        max_open: cli.max_open,
    };
    let report = load::run(settings, caller).await;
    if let Some(path) = &cli.report {
        fs::write(path, to_json(&report)?)?;
    }
    print(&report.to_string(), report.wrong == 0)
}

fn check_batch(input: &Path, output: &Path) -> io::Result<ExitCode> {
    let input = BufReader::new(File::open(input)?);
    let output = BufReader::new(File::open(output)?);
    let check = load::check_batch(input, output).map_err(io::Error::other)?;
    print(&to_json(&check)?, check.is_consistent())
}

fn read_report(path: &Path) -> io::Result<Report> {
    serde_json::from_slice(&fs::read(path)?).map_err(io::Error::other)
}

fn read_key(path: &Path) -> io::Result<String> {
    fs::read_to_string(path).map(|text| text.trim().to_owned())
}

fn to_json(value: &impl Serialize) -> io::Result<String> {
    serde_json::to_string_pretty(value).map_err(io::Error::other)
}

fn print(text: &str, success: bool) -> io::Result<ExitCode> {
    writeln!(io::stdout().lock(), "{}", text.trim_end())?;
    Ok(if success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
