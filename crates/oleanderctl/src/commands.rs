//! Dispatch of the commands, and helpers that they share.

use std::{fs, net::SocketAddr, path::Path};

use clap::CommandFactory;
use oleander_core::{DigestId, hash};
use oleander_document::{Document, Fault};
use oleanderctl::{AdminKey, Fleet};
use serde::{Deserialize, Serialize};

use crate::{
    cli::{Cli, Command, Options},
    exit::Exit,
    report::{Failure, Report},
};

mod documents;
mod hosts;
mod jobs;
mod timeline;

/// Runs the command.
pub(crate) async fn run(cli: Cli) -> Result<Report, Failure> {
    let Cli { options, command } = cli;
    match command {
        Command::Validate { file } => documents::validate(&file),
        Command::Diff { file, against, exit_code } => {
            documents::diff(&options, &file, against.as_deref(), exit_code).await
        }
        Command::Apply { file } => documents::apply(&fleet(&options)?, &file).await,
        Command::Status => hosts::status(&fleet(&options)?).await,
        Command::Drain { host } => hosts::drain(&fleet(&options)?, &host).await,
        Command::Jobs { after } => jobs::list(&fleet(&options)?, after.as_ref()).await,
        Command::Cancel { job } => jobs::cancel(&fleet(&options)?, &job).await,
        Command::Timeline { subject, last } => {
            timeline::show(&fleet(&options)?, subject, last).await
        }
        Command::Digest { file } => digest(&file),
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

/// JSON output of `digest`.
#[derive(Debug, Serialize)]
struct DigestOutput {
    key_digest: DigestId,
}

fn digest(file: &Path) -> Result<Report, Failure> {
    let bytes = read_file(file)?;
    let key = bytes.trim_ascii();
    if key.is_empty() {
        return Err(Failure::new(
            Exit::Unreadable,
            format!("{}: the file holds no key", file.display()),
        ));
    }
    let key_digest = hash::digest(key);
    Ok(Report::new(format!("{key_digest}\n"), DigestOutput { key_digest }))
}

fn completions(shell: clap_complete::Shell) -> Report {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "oleanderctl", &mut script);
    let script = String::from_utf8_lossy(&script).into_owned();
    Report::new(script.clone(), script)
}

/// File given with `--hosts`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsFile {
    admin: Vec<SocketAddr>,
}

/// Clients of all admin listeners in the options.
fn fleet(options: &Options) -> Result<Fleet, Failure> {
    let mut addresses = options.admin.clone();
    if let Some(file) = &options.hosts {
        addresses.extend(read_hosts(file)?);
    }
    addresses.sort_unstable();
    addresses.dedup();
    let Some(key_file) = &options.key_file else {
        return Err(Failure::new(Exit::Usage, "no operator key: give --key-file"));
    };
    let key = AdminKey::read(key_file).map_err(|error| unreadable(key_file, &error))?;
    Fleet::new(&addresses, &key)
        .ok_or_else(|| Failure::new(Exit::Usage, "no admin listener: give --hosts or --admin"))
}

fn read_hosts(file: &Path) -> Result<Vec<SocketAddr>, Failure> {
    let bytes = read_file(file)?;
    let hosts: HostsFile =
        serde_json::from_slice(&bytes).map_err(|error| unreadable(file, &error))?;
    Ok(hosts.admin)
}

fn read_file(file: &Path) -> Result<Vec<u8>, Failure> {
    fs::read(file).map_err(|error| unreadable(file, &error))
}

fn unreadable(file: &Path, error: &dyn std::error::Error) -> Failure {
    Failure::new(Exit::Unreadable, format!("{}: {error}", file.display()))
}

/// Reads and validates a document; the inner error lists its faults.
fn read_document(file: &Path) -> Result<Result<Document, Vec<Fault>>, Failure> {
    Ok(Document::from_json(&read_file(file)?))
}
