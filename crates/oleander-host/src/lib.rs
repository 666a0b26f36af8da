//! What the shells of all processes share.
//!
//! Checked [`Settings`] from a JSON file, the command line ([`Cli`]), logs, metrics, the [`Timeline`] of
//! events, the admin listener, the wall clock and the shutdown signal. Nothing here decides
//! anything about requests or jobs.

pub mod admin;
mod cli;
pub mod clock;
mod log_queue;
pub mod logs;
pub mod metrics;
mod operator_key;
pub mod reload;
pub mod settings;
pub mod shutdown;
mod timeline;

pub use admin::{AdminError, AdminServer, AdminState, HostState, HostStatus, TargetStatus};
pub use cli::Cli;
pub use operator_key::{OperatorKey, OperatorKeyError};
pub use settings::{Policy, Role, Settings, SettingsError};
pub use shutdown::{Phase, Shutdown};
pub use timeline::Timeline;
