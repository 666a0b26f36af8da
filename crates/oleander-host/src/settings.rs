//! Settings of one process, read from a JSON file and checked whole.
//!
//! [`RawSettings`] is the shape of the file; unknown fields are refused and each fault names its
//! path. [`Settings`] is the checked form that processes use.

use std::{fmt, fs, io, net::SocketAddr, path::Path, path::PathBuf};

use oleander_core::{HostId, Span, ZoneId};

mod check;
mod raw;

pub use raw::{RawBatchSettings, RawEntrySettings, RawLogSettings, RawSettings};

use oleander_core::value;
use serde::{Deserialize, Serialize};

/// The job of a process.
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
    /// Batch takes what an online reserve leaves, and gives way at once.
    #[default]
    Managed,
    /// No priorities.
    FirstCome,
    /// A fixed part of the targets for each.
    Split,
    /// No batch work.
    OnlineOnly,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}

/// Least severe level of logged lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// Ordinary operation too.
    #[default]
    Info,
    /// Particulars too.
    Debug,
    /// Everything.
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
    /// Checked settings of one process.
    pub struct Settings {
        /// Name of the host, unique in the deployment.
        pub host: HostId,
        /// Data centre of the host.
        pub zone: ZoneId,
        /// Job of the process.
        pub role: Role,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address for peers.
        pub link: SocketAddr,
        /// Address for operators.
        pub admin: SocketAddr,
        /// Address of the platform's service.
        pub platform: SocketAddr,
        /// File with the key that all processes share.
        pub link_key_file: PathBuf,
        /// File with the operators' key.
        pub operator_key_file: PathBuf,
        /// Folder for bulk data; `None` on hosts without a disk.
        pub data_folder: Option<PathBuf>,
        /// Logs.
        pub log: LogSettings,
        /// Settings of an entry.
        pub entry: EntrySettings,
        /// Settings of a batch runner.
        pub batch: BatchSettings,
    }

    /// Settings of logs.
    pub struct LogSettings {
        /// JSON lines instead of text for people.
        pub json: bool,
        /// Least severe level.
        pub level: LogLevel,
        /// File to append to; `None` for standard error.
        pub file: Option<PathBuf>,
    }

    /// Settings of an entry.
    pub struct EntrySettings {
        /// How long callers may keep the addresses they were given.
        #[serde(rename = "keep_addresses")]
        pub address_ttl: Span,
        /// Interval between group commits of records.
        pub commit_interval: Span,
        /// Number of request log shards; the same on all hosts.
        pub shards: u32,
        /// How online and batch work share the targets.
        pub policy: Policy,
    }

    /// Settings of a batch runner.
    pub struct BatchSettings {
        /// Largest number of items run at once.
        pub slots: u32,
        /// How long a claim of a lot holds without renewal.
        #[serde(rename = "claim")]
        pub claim_timeout: Span,
        /// How online and batch work share the targets.
        pub policy: Policy,
    }
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the read error, or all faults found.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and checks settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns all faults found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: RawSettings = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| SettingsError::Faults(vec![Fault::from(e)]))?;
        json.end().map_err(|e| {
            let path = ".".to_owned();
            SettingsError::Faults(vec![Fault { path, reason: e.to_string() }])
        })?;
        Self::try_from(raw)
    }
}

value! {
    /// One fault of a settings file.
    pub struct Fault {
        /// JSON path of the field; `.` for the whole file.
        pub path: String,
        /// What is wrong with it.
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
    /// Faults of the content; never empty.
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
