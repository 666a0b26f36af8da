//! Commands on hosts.

use std::fmt::Write;

use oleander_host::{HostState, HostStatus};
use oleanderctl::{AdminError, Fleet, HostResponse};
use serde::Serialize;

use crate::{
    exit::Exit,
    report::{Failure, Report},
};

/// JSON output of `status`.
#[derive(Debug, Serialize)]
struct StatusOutput<'a> {
    hosts: &'a [HostStatus],
    unreachable: Vec<String>,
}

/// JSON output of `drain`.
#[derive(Debug, Serialize)]
struct DrainOutput<'a> {
    host: &'a str,
    state: HostState,
}

/// Shows the status of all processes.
pub(super) async fn status(fleet: &Fleet) -> Result<Report, Failure> {
    let (mut hosts, errors) = partition(fleet.status().await)?;
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    for host in &mut hosts {
        host.targets.sort_by(|a, b| a.name.cmp(&b.name));
    }
    let unreachable = errors.iter().map(ToString::to_string).collect();
    let json = StatusOutput { hosts: &hosts, unreachable };
    Ok(Report::new(table(&hosts), json).with_errors(&errors))
}

/// Separates values from errors; fails if all calls failed.
pub(super) fn partition<T>(
    responses: Vec<HostResponse<T>>,
) -> Result<(Vec<T>, Vec<AdminError>), Failure> {
    let mut values = Vec::new();
    let mut errors = Vec::new();
    for response in responses {
        match response.result {
            Ok(value) => values.push(value),
            Err(error) => errors.push(error),
        }
    }
    match errors.pop_if(|_| values.is_empty()) {
        Some(error) => Err(error.into()),
        None => Ok((values, errors)),
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

fn row(host: &str, role: &str, zone: &str, state: &str, revision: &str, in_flight: &str) -> String {
    format!("{host:<20} {role:<6} {zone:<14} {state:<9} {revision:>9} {in_flight:>9}\n")
}

/// Drains the host named `host`.
pub(super) async fn drain(fleet: &Fleet, host: &str) -> Result<Report, Failure> {
    let responses = fleet.status().await;
    let matches = |response: &&HostResponse<HostStatus>| {
        response.result.as_ref().is_ok_and(|status| status.host.as_str() == host)
    };
    let Some(address) = responses.iter().find(matches).map(|response| response.address) else {
        return Err(not_found(host, responses));
    };
    let Some(client) = fleet.client(address) else {
        unreachable!("the address comes from the fleet")
    };
    if let Err(error) = client.drain().await {
        // Draining is idempotent: if only the response was lost, a second request does no harm.
        if !error.may_have_run() {
            return Err(error.into());
        }
        client.drain().await.map_err(Failure::from_change)?;
    }
    let json = DrainOutput { host, state: HostState::Draining };
    Ok(Report::new(format!("{host} is draining\n"), json))
}

fn not_found(host: &str, responses: Vec<HostResponse<HostStatus>>) -> Failure {
    let (_, errors) = match partition(responses) {
        Ok(parts) => parts,
        Err(failure) => return failure,
    };
    if errors.is_empty() {
        return Failure::new(Exit::Refused, format!("host {host:?} not found"));
    }
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let message = format!("host {host:?} not found, but some calls failed: {}", errors.join("; "));
    Failure::new(Exit::Unavailable, message)
}
