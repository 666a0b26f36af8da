//! Commands on hosts.

use std::fmt::Write;

use oleander_host::{HostState, HostStatus};
use oleanderctl::{AdminError, Fleet, HostResponse};
use serde::Serialize;

use crate::{
    exit::Exit,
    report::{Failure, Report},
};

/// Outcome of `status`, for programs.
#[derive(Debug, Serialize)]
struct FleetStatus<'a> {
    hosts: &'a [HostStatus],
    unreachable: Vec<String>,
}

/// Outcome of `drain`, for programs.
#[derive(Debug, Serialize)]
struct Draining<'a> {
    host: &'a str,
    state: HostState,
}

/// Shows all processes.
pub(super) async fn status(fleet: &Fleet) -> Result<Report, Failure> {
    let (mut hosts, errors) = split(fleet.status().await)?;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    for host in &mut hosts {
        host.targets.sort_by(|a, b| a.name.cmp(&b.name));
    }
    let unreachable = errors.iter().map(ToString::to_string).collect();
    let json = FleetStatus { hosts: &hosts, unreachable };
    Ok(Report::new(table(&hosts), json).missing(&errors))
}

/// Separates answers from errors; fails if no process answered.
pub(super) fn split<T>(
    answers: Vec<HostResponse<T>>,
) -> Result<(Vec<T>, Vec<AdminError>), Failure> {
    let mut found = Vec::new();
    let mut errors = Vec::new();
    for answer in answers {
        match answer.result {
            Ok(value) => found.push(value),
            Err(error) => errors.push(error),
        }
    }
    match errors.pop_if(|_| found.is_empty()) {
        Some(error) => Err(error.into()),
        None => Ok((found, errors)),
    }
}

fn table(hosts: &[HostStatus]) -> String {
    let mut text = row("HOST", "ROLE", "ZONE", "STATE", "REVISION", "IN FLIGHT");
    for host in hosts {
        let revision = host.revision.map_or_else(|| "-".to_owned(), |r| r.to_string());
        text += &row(
            host.host.as_str(),
            &host.role.to_string(),
            host.zone.as_str(),
            &host.state.to_string(),
            &revision,
            &host.in_flight.to_string(),
        );
        for target in &host.targets {
            let _ = writeln!(
                text,
                "  target {:<20} {:<10} online {:>5}  batch {:>5}  limit {:>5}",
                target.name.as_str(),
                target.state,
                target.online,
                target.batch,
                target.limit,
            );
        }
    }
    text
}

fn row(host: &str, role: &str, zone: &str, state: &str, revision: &str, flight: &str) -> String {
    format!("{host:<20} {role:<6} {zone:<14} {state:<9} {revision:>9} {flight:>9}\n")
}

/// Drains the host with this name.
pub(super) async fn drain(fleet: &Fleet, host: &str) -> Result<Report, Failure> {
    let answers = fleet.status().await;
    let matches = |answer: &&HostResponse<HostStatus>| {
        answer.result.as_ref().is_ok_and(|status| status.host.as_str() == host)
    };
    let Some(address) = answers.iter().find(matches).map(|answer| answer.address) else {
        return Err(not_found(host, answers));
    };
    let Some(client) = fleet.client(address) else { unreachable!("the address is of the fleet") };
    if let Err(error) = client.drain().await {
        // Draining is idempotent, and its answer may be all that was lost.
        if !error.may_have_run() {
            return Err(error.into());
        }
        client.drain().await.map_err(Failure::of_change)?;
    }
    let json = Draining { host, state: HostState::Draining };
    Ok(Report::new(format!("{host} drains\n"), json))
}

fn not_found(host: &str, answers: Vec<HostResponse<HostStatus>>) -> Failure {
    let (_, errors) = match split(answers) {
        Ok(split) => split,
        Err(failure) => return failure,
    };
    if errors.is_empty() {
        return Failure::new(Exit::Refused, format!("no host is named {host:?}"));
    }
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let message = format!("no answer names {host:?}; without answer: {}", errors.join("; "));
    Failure::new(Exit::Unavailable, message)
}
