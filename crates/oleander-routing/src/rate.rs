//! Rates of requests.

use std::{fmt, str::FromStr};

use oleander_core::{Span, value};

/// Requests of a [`RequestRate`] in one request a second.
const MILLIS: f64 = 1e3;
/// Lowest rate; one that is stated as less is taken for this one, so that its end is noticed.
const MIN_RATE: u64 = 100;
/// Highest rate; one that is stated as more is taken for this one.
const MAX_RATE: u64 = 1_000_000_000;

value! {
    /// Requests per 1,000 seconds.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct RequestRate(u64);
}

/// Why a text states no rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseRateError {
    /// It is not a number.
    NotANumber(String),
    /// It is negative or not finite.
    OutOfRange(String),
}

impl fmt::Display for ParseRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(text) => write!(f, "{text:?} is not a number"),
            Self::OutOfRange(text) => write!(f, "{text:?} is no rate of requests"),
        }
    }
}

impl std::error::Error for ParseRateError {}

impl RequestRate {
    /// Time from one request to the next.
    #[must_use]
    pub const fn interval(self) -> Span {
        Span(1_000_000_000 / self.0)
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS
    }
}

impl FromStr for RequestRate {
    type Err = ParseRateError;

    /// Parses decimal requests per second.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.trim();
        let rate: f64 = text.parse().map_err(|_| ParseRateError::NotANumber(text.to_owned()))?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(ParseRateError::OutOfRange(text.to_owned()));
        }
        // The conversion saturates.
        Ok(Self(((rate * MILLIS) as u64).clamp(MIN_RATE, MAX_RATE)))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}
