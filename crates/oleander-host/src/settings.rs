//! Settings of one process, read from a JSON file and validated.
//!
//! [`RawSettings`] is the format of the file. Unknown fields are rejected, and each fault names the
//! path of its field. [`Settings`] is the validated form that processes use.

use std::{fmt, fs, io, net::SocketAddr, path::Path, path::PathBuf};

use oleander_core::{HostId, Span, ZoneId};

mod raw;
mod validate;

pub use raw::{RawBatchSettings, RawEntrySettings, RawLogSettings, RawSettings};

use oleander_core::value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers and routes online requests.
    Entry,
    /// Runs batch jobs.
    Batch,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// How online and batch work share the targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Batch uses the capacity beyond the online reserve, and yields it at once if online needs it.
    #[default]
    Managed,
    /// Both classes have the same priority: first come, first served.
    FirstCome,
    /// A fixed number of targets serves only batch, the others only online.
    Split,
    /// Batch is not run.
    OnlineOnly,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Minimum severity of logged lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Also warnings.
    Warn,
    /// Also messages about normal operation.
    #[default]
    Info,
    /// Also details for debugging.
    Debug,
    /// All messages.
    Trace,
}

impl From<LogLevel> for log::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}

value! {
    /// Validated settings of one process.
    pub struct Settings {
        /// Name of the host, unique in the deployment.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Role of the process.
        pub role: Role,
        /// Listen address for callers.
        pub listen: SocketAddr,
        /// Listen address for peers.
        pub link: SocketAddr,
        /// Listen address for operators and monitoring.
        pub admin: SocketAddr,
        /// Address of the platform's service.
        pub platform: SocketAddr,
        /// File with the key that authenticates messages between processes.
        pub link_key_file: PathBuf,
        /// File with the operator key.
        pub operator_key_file: PathBuf,
        /// Directory for bulk data; `None` on hosts without a disk.
        pub data_folder: Option<PathBuf>,
        /// Logging.
        pub log: LogSettings,
        /// Settings of an entry process.
        pub entry: EntrySettings,
        /// Settings of a batch process.
        pub batch: BatchSettings,
    }

    /// Settings of logging.
    pub struct LogSettings {
        /// Whether to write JSON lines instead of plain text.
        pub json: bool,
        /// Minimum severity.
        pub level: LogLevel,
        /// File to append to; `None` for standard error.
        pub file: Option<PathBuf>,
    }

    /// Settings of an entry process.
    pub struct EntrySettings {
        /// How long callers may use host addresses that they received.
        #[serde(rename = "keep_addresses")]
        pub address_ttl: Span,
        /// Interval between group commits of records.
        pub commit_interval: Span,
        /// Number of request log shards; the same on all hosts.
        pub shards: u32,
        /// How online and batch work share the targets.
        pub policy: Policy,
    }

    /// Settings of a batch process.
    pub struct BatchSettings {
        /// Maximum number of items run concurrently.
        pub slots: u32,
        /// How long a claim on a lot is valid without renewal.
        #[serde(rename = "claim")]
        pub claim_timeout: Span,
        /// How online and batch work share the targets.
        pub policy: Policy,
    }
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the read error, or all faults of the content.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and validates settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns all faults of the content.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::try_from(parse_raw::<RawSettings>(text)?)
    }
}

/// Parses the JSON text of a settings file, without validation of its values.
///
/// # Errors
///
/// Returns the fault that makes the text unreadable as a `T`.
pub fn parse_raw<T: DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| SettingsError::Faults(vec![Fault::from(e)]))?;
    json.end().map_err(|e| {
        let path = ".".to_owned();
        SettingsError::Faults(vec![Fault { path, reason: e.to_string() }])
    })?;
    Ok(raw)
}

value! {
    /// A fault of a settings file.
    pub struct Fault {
        /// JSON path of the field; `.` for the whole file.
        pub path: String,
        /// Why the field or the file is invalid.
        pub reason: String,
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for Fault {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        Self { path: error.path().to_string(), reason: error.inner().to_string() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file can't be read.
    Read(io::Error),
    /// The content has faults; the list is never empty.
    Faults(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(f, "can't read the settings file: {error}"),
            Self::Faults(faults) => {
                f.write_str("settings are invalid:")?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}
