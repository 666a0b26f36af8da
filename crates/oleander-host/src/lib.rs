//! What the shells of all processes share.
//!
//! Checked [`Settings`] from a JSON file, the [`Command`] line, logs, metrics, the [`Timeline`] of
//! events, the admin listener, the wall clock and the shutdown signal. Nothing here decides
//! anything about requests or jobs.

pub mod admin;
pub mod clock;
mod command;
mod log_queue;
pub mod logs;
pub mod metrics;
mod operator_key;
pub mod reload;
pub mod settings;
pub mod shutdown;
mod timeline;

pub use admin::{AdminError, AdminServer, AdminState, HostState, HostStatus, TargetStatus};
pub use command::Command;
pub use operator_key::{KeyError, OperatorKey};
pub use settings::{Policy, Role, Settings, SettingsError};
pub use shutdown::{Drain, Phase};
pub use timeline::Timeline;
