//! Command line arguments.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use oleander_core::JobId;

use crate::exit;

/// Validates and applies the document, and shows the state of the processes.
#[derive(Debug, Parser)]
#[command(name = "oleanderctl", version, after_help = exit::HELP)]
pub(crate) struct Cli {
    #[command(flatten)]
    pub(crate) options: Options,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Options of all commands.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    /// Admin listener of a process; may be given several times.
    #[arg(long, global = true, value_name = "IP:PORT")]
    pub(crate) admin: Vec<SocketAddr>,
    /// JSON file with admin listeners: {"admin": ["IP:PORT", ...]}.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) hosts: Option<PathBuf>,
    /// File with the operator key.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
}

/// Commands and their arguments.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Lists every fault of a document with its JSON path.
    #[command(after_help = "Examples:
  oleanderctl validate ventiladores.json
  oleanderctl validate ventiladores.json --json")]
    Validate {
        /// Document (JSON).
        file: PathBuf,
    },
    /// Shows what applying a document would change.
    #[command(after_help = "Examples:
  oleanderctl diff ventiladores.json --hosts hosts.json --key-file operator.key
  oleanderctl diff new.json --against old.json --exit-code")]
    Diff {
        /// Document (JSON).
        file: PathBuf,
        /// Compare with this file instead of the document in force.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
        /// Exit with 9 if the documents differ.
        #[arg(long)]
        exit_code: bool,
    },
    /// Applies a document atomically.
    ///
    /// The document replaces only the revision that was read. If another change is applied first,
    /// that change is printed and nothing is applied. Applying a document that is already in force
    /// succeeds.
    #[command(after_help = "Examples:
  oleanderctl apply ventiladores.json --hosts hosts.json --key-file operator.key
  oleanderctl apply ventiladores.json --admin 127.0.0.1:7301 --key-file operator.key --json")]
    Apply {
        /// Document (JSON).
        file: PathBuf,
    },
    /// Shows the revision, state, work in flight and targets of each process.
    #[command(after_help = "Examples:
  oleanderctl status --hosts hosts.json --key-file operator.key")]
    Status,
    /// Drains a host: it finishes its work and exits.
    #[command(after_help = "Examples:
  oleanderctl drain entry-2 --hosts hosts.json --key-file operator.key")]
    Drain {
        /// Name of the host.
        host: String,
    },
    /// Lists batch jobs.
    #[command(after_help = "Examples:
  oleanderctl jobs --hosts hosts.json --key-file operator.key
  oleanderctl jobs --after batch-7f3a --hosts hosts.json --key-file operator.key")]
    Jobs {
        /// List only jobs after this one, by id.
        #[arg(long, value_name = "JOB")]
        after: Option<JobId>,
    },
    /// Cancels a batch job.
    #[command(after_help = "Examples:
  oleanderctl cancel batch-7f3a --hosts hosts.json --key-file operator.key")]
    Cancel {
        /// Id of the job.
        job: JobId,
    },
    /// Merges the events of all processes, in causal order.
    #[command(after_help = "Examples:
  oleanderctl timeline demo/alert-17 --hosts hosts.json --key-file operator.key
  oleanderctl timeline --last 60 --hosts hosts.json --key-file operator.key")]
    Timeline {
        /// Request (WORKSPACE/REQUEST) or job; all events if absent.
        subject: Option<String>,
        /// Only events of the last SECONDS seconds, by the wall clock of each host.
        #[arg(long, value_name = "SECONDS")]
        last: Option<u64>,
    },
    /// Prints the `key_digest` of a caller's key for the document.
    #[command(after_help = "Examples:
  oleanderctl digest caller.key")]
    Digest {
        /// File with the key; surrounding whitespace is ignored.
        file: PathBuf,
    },
    /// Prints the completion script for a shell.
    #[command(after_help = "Examples:
  oleanderctl completions bash > /etc/bash_completion.d/oleanderctl")]
    Completions {
        /// Shell.
        shell: Shell,
    },
}
