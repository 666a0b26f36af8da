//! Command line tool for operators.

use std::{io::Write, process::ExitCode};

use clap::Parser;

mod cli;
mod commands;
mod exit;
mod report;

use cli::Cli;
use exit::Exit;
use report::{Failure, Report};

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.options.json;
    let exit = match commands::run(cli).await {
        Ok(report) => print_report(&report, json),
        Err(failure) => print_failure(&failure, json),
    };
    ExitCode::from(exit.code())
}

fn print_report(report: &Report, json: bool) -> Exit {
    for warning in &report.warnings {
        print_error(warning);
    }
    if json {
        print(&format!("{:#}\n", report.json));
    } else {
        print(&report.text);
    }
    report.exit
}

fn print_failure(failure: &Failure, json: bool) -> Exit {
    print_error(&failure.message);
    if json {
        print(&format!("{:#}\n", failure.to_json()));
    }
    failure.exit
}

/// Writes to standard output; ignores write errors, such as a closed pipe.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "oleanderctl: {text}");
}
