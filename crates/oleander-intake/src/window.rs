//! Completion window of a job, such as `24h`.

use std::str::FromStr;

use oleander_core::Span;

const MIN_WINDOW: Span = Span::from_secs(1);
const MAX_WINDOW: Span = Span::from_secs(7 * 24 * 3600);

/// Time to complete a job, from its submission; unfinished items fail after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Window(pub(crate) Span);

/// The text is not a whole number of `s`, `m`, `h` or `d`, or not within 1 second to 7 days.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ParseWindowError;

impl FromStr for Window {
    type Err = ParseWindowError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let split = text.len().checked_sub(1).filter(|&at| text.is_char_boundary(at));
        let (number, unit) = text.split_at(split.ok_or(ParseWindowError)?);
        let seconds = match unit {
            "s" => 1,
            "m" => 60,
            "h" => 3_600,
            "d" => 86_400,
            _ => return Err(ParseWindowError),
        };
        let count: u64 = number.parse().map_err(|_| ParseWindowError)?;
        let span = Span::from_secs(1) * count.checked_mul(seconds).ok_or(ParseWindowError)?;
        if (MIN_WINDOW..=MAX_WINDOW).contains(&span) {
            Ok(Self(span))
        } else {
            Err(ParseWindowError)
        }
    }
}
