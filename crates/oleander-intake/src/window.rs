//! The time that a caller allows for a job, such as `24h`.

use std::str::FromStr;

use oleander_core::Span;

const SHORTEST: Span = Span::from_secs(1);
const LONGEST: Span = Span::from_secs(7 * 24 * 3600);

/// A time allowed for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Window(pub(crate) Span);

/// Why a text is not a time allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WindowError;

impl FromStr for Window {
    type Err = WindowError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let split = text.len().checked_sub(1).filter(|&at| text.is_char_boundary(at));
        let (number, unit) = text.split_at(split.ok_or(WindowError)?);
        let seconds = match unit {
            "s" => 1,
            "m" => 60,
            "h" => 3_600,
            "d" => 86_400,
            _ => return Err(WindowError),
        };
        let count: u64 = number.parse().map_err(|_| WindowError)?;
        let span = Span::from_secs(1) * count.checked_mul(seconds).ok_or(WindowError)?;
        if (SHORTEST..=LONGEST).contains(&span) { Ok(Self(span)) } else { Err(WindowError) }
    }
}
