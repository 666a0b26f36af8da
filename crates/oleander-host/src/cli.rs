//! Command line of the entry and batch processes.

use std::path::PathBuf;

use clap::Parser;

/// Starts one process of the serving system.
#[derive(Debug, Clone, PartialEq, Eq, Parser)]
#[command(
    version,
    after_help = "Examples:\n  \
    oleander-entry --config entry-1.json\n  \
    oleander-entry --config entry-1.json --check"
)]
pub struct Cli {
    /// Settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Check the settings file and exit: 0 if it is valid, 2 if not.
    #[arg(long)]
    pub check: bool,
}
