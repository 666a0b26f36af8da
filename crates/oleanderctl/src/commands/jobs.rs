//! Commands on batch jobs.

use oleander_core::JobId;
use oleanderctl::{
    Fleet,
    admin::{JobPage, JobSummary},
};
use serde::Serialize;

use crate::report::{Failure, Report};

/// JSON output of `cancel`.
#[derive(Debug, Serialize)]
struct CancelOutput<'a> {
    job: &'a JobId,
    state: &'static str,
}

/// Lists one page of the jobs after `after`, by id.
pub(super) async fn list(fleet: &Fleet, after: Option<&JobId>) -> Result<Report, Failure> {
    let page = fleet.jobs(after).await?;
    Ok(Report::new(table(&page.jobs) + &next_page(&page), &page))
}

/// Line that names the arguments for the next page, if there is one.
fn next_page(page: &JobPage) -> String {
    match page.jobs.last() {
        Some(last) if page.more => format!("more jobs: --after {}\n", last.id),
        _ => String::new(),
    }
}

fn table(jobs: &[JobSummary]) -> String {
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
    fleet.cancel(job).await.map_err(Failure::from_change)?;
    Ok(Report::new(format!("{job} cancelled\n"), CancelOutput { job, state: "cancelled" }))
}
