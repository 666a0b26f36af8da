//! The merged time line.

use std::time::{SystemTime, UNIX_EPOCH};

use oleander_core::{Span, Time};
use oleanderctl::{
    Fleet,
    admin::EventQuery,
    timeline::{self, Line},
};
use serde::Serialize;

use super::hosts;
use crate::report::{Failure, Report};

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Outcome of `timeline`, for programs.
#[derive(Debug, Serialize)]
struct Merged<'a> {
    lines: &'a [Line],
    unreachable: Vec<String>,
}

/// Shows the events of all processes.
pub(super) async fn show(
    fleet: &Fleet,
    subject: Option<String>,
    last: Option<u64>,
) -> Result<Report, Failure> {
    let since = last.map(|seconds| wall_clock() - Span::from_secs(seconds));
    let answers = fleet.events(&EventQuery { subject, since }).await;
    let (events, errors) = hosts::split(answers)?;
    let lines = timeline::lines(events.concat());
    let unreachable = errors.iter().map(ToString::to_string).collect();
    let text: String = lines.iter().map(show_line).collect();
    Ok(Report::new(text, Merged { lines: &lines, unreachable }).missing(&errors))
}

fn wall_clock() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(since).0)
}

fn show_line(line: &Line) -> String {
    let event = &line.event;
    let (seconds, micros) = (event.at.0 / SECOND_US, event.at.0 % SECOND_US);
    let behind = match line.behind {
        Span::ZERO => String::new(),
        behind => format!("  [clock {}ms behind]", behind.as_millis()),
    };
    format!(
        "{:>8} {seconds}.{micros:06} {:<16} {:<13} {} {}{behind}\n",
        event.logical,
        event.host.as_str(),
        kind(event),
        event.subject,
        event.detail,
    )
}

/// The kind in the words of the wire.
fn kind(event: &oleander_core::Event) -> String {
    let value = serde_json::to_value(event.kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
