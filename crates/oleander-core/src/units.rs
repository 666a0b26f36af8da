//! Newtypes for times, durations, sizes and rates.
//!
//! The arithmetic operators saturate.

use std::{fmt, ops};

use crate::number;

number! {
    /// A point in time, in microseconds since the Unix epoch.
    Time(u64), "us";
    /// A duration, in microseconds.
    Span(u64), "us";
    /// A size in bytes.
    Bytes(u64), "B";
    /// A number of model tokens.
    Tokens(u64), "tok";
    /// Events per second.
    Rate(u64), "/s";
}

impl Span {
    /// Zero duration.
    pub const ZERO: Self = Self(0);

    /// A duration of whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A duration of whole seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000_000)
    }

    /// Whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Whole seconds, rounded up.
    #[must_use]
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000_000)
    }

    /// Seconds with their fraction.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts to a duration of the standard library.
    #[must_use]
    pub const fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl From<std::time::Duration> for Span {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl Time {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl ops::Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl ops::Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl ops::Mul<u64> for Span {
    type Output = Self;

    fn mul(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

/// Error of parsing a number with a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseUnitError {
    /// The rejected text.
    pub text: String,
    /// The unit that was expected.
    pub unit: &'static str,
}

impl fmt::Display for ParseUnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not an unsigned integer with optional unit {:?}", self.text, self.unit)
    }
}

impl std::error::Error for ParseUnitError {}
