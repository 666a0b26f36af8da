//! Statuses of responses that end an exchange.

use std::fmt;

use http::StatusCode;

/// The status of a final response: 200 to 599.
///
/// Others are no answer. Statuses below 200 are followed by the response, or agree to a change of
/// the protocol that no client here asks for; those from 600 on are not defined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalStatus(StatusCode);

/// A status that ends no exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotFinal(StatusCode);

impl fmt::Display for NotFinal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {} is none of a final response", self.0.as_u16())
    }
}

impl std::error::Error for NotFinal {}

impl TryFrom<StatusCode> for FinalStatus {
    type Error = NotFinal;

    fn try_from(status: StatusCode) -> Result<Self, NotFinal> {
        if (200..600).contains(&status.as_u16()) { Ok(Self(status)) } else { Err(NotFinal(status)) }
    }
}

impl From<FinalStatus> for StatusCode {
    fn from(status: FinalStatus) -> Self {
        status.0
    }
}
