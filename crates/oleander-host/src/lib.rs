//! Process infrastructure that all hosts share.
//!
//! Validated [`Settings`] from a JSON file, the command line ([`Cli`]), logs, metrics, the
//! [`Timeline`] of events, the admin listener, clocks, the [`Shutdown`] phases and the
//! [`ExitTime`] of a stopping process. Decisions about requests and jobs are made in other crates.

pub mod admin;
mod cli;
pub mod clock;
mod exit;
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
pub use exit::ExitTime;
pub use operator_key::{OperatorKey, OperatorKeyError};
pub use settings::{Policy, Role, Settings, SettingsError};
pub use shutdown::{Phase, Shutdown};
pub use timeline::Timeline;
