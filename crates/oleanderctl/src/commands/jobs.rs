//! Commands on batch jobs.

use oleander_core::JobId;
use oleanderctl::{Fleet, admin::JobEntry};
use serde::Serialize;

use crate::report::{Failure, Report};

/// Outcome of `jobs`, for programs.
#[derive(Debug, Serialize)]
struct Jobs<'a> {
    jobs: &'a [JobEntry],
}

/// Outcome of `cancel`, for programs.
#[derive(Debug, Serialize)]
struct Cancelled<'a> {
    job: &'a JobId,
    state: &'static str,
}

/// Lists jobs.
pub(super) async fn list(fleet: &Fleet) -> Result<Report, Failure> {
    let jobs = fleet.jobs().await?;
    Ok(Report::new(table(&jobs), Jobs { jobs: &jobs }))
}

fn table(jobs: &[JobEntry]) -> String {
    let head = row("JOB", "WORKSPACE", "STATE", "TOTAL", "COMPLETED", "FAILED");
    let rows = jobs.iter().map(|job| {
        row(
            job.id.as_str(),
            job.workspace.as_str(),
            &job.state,
            &job.total.to_string(),
            &job.completed.to_string(),
            &job.failed.to_string(),
        )
    });
    std::iter::once(head).chain(rows).collect()
}

fn row(job: &str, workspace: &str, state: &str, total: &str, done: &str, failed: &str) -> String {
    format!("{job:<40} {workspace:<16} {state:<12} {total:>8} {done:>9} {failed:>8}\n")
}

/// Cancels a job.
pub(super) async fn cancel(fleet: &Fleet, job: &JobId) -> Result<Report, Failure> {
    fleet.cancel(job).await?;
    Ok(Report::new(format!("{job} cancelled\n"), Cancelled { job, state: "cancelled" }))
}
