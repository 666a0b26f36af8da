//! Command that shows the merged timeline.

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

const MICROS_PER_SECOND: u64 = 1_000_000;

/// JSON output of `timeline`.
#[derive(Debug, Serialize)]
struct TimelineOutput<'a> {
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
    let responses = fleet.events(&EventQuery { subject, since }).await;
    let (events, errors) = hosts::partition(responses)?;
    let lines = timeline::lines(events.concat());
    let unreachable = errors.iter().map(ToString::to_string).collect();
    let text: String = lines.iter().map(format_line).collect();
    Ok(Report::new(text, TimelineOutput { lines: &lines, unreachable }).with_errors(&errors))
}

fn wall_clock() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(since).0)
}

fn format_line(line: &Line) -> String {
    let event = &line.event;
    let (seconds, micros) = (event.at.0 / MICROS_PER_SECOND, event.at.0 % MICROS_PER_SECOND);
    let behind = match line.behind {
        Span::ZERO => String::new(),
        behind => format!("  [clock {}ms behind]", behind.as_millis()),
    };
    format!(
        "{:>8} {seconds}.{micros:06} {:<16} {:<13} {} {}{behind}\n",
        event.logical,
        event.host.as_str(),
        kind_name(event),
        event.subject,
        event.detail,
    )
}

/// Name of the event's kind, as in JSON.
fn kind_name(event: &oleander_core::Event) -> String {
    let value = serde_json::to_value(event.kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
