//! The shape of a settings file.

use serde::Deserialize;

use super::{LogLevel, Policy, Role};

/// A settings file as written; addresses and names are not yet checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub zone: String,
    /// Job of the process.
    pub role: Role,
    /// Address for callers (`ip:port`).
    pub listen: String,
    /// Address for peers (`ip:port`).
    pub link: String,
    /// Address for operators (`ip:port`).
    pub admin: String,
    /// Address of the platform's service (`ip:port`).
    pub platform: String,
    /// File with the key that all processes share.
    pub link_key_file: String,
    /// File with the operators' key.
    pub operator_key_file: String,
    /// Folder for bulk data.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Logs.
    #[serde(default)]
    pub log: RawLogSettings,
    /// Settings of an entry.
    #[serde(default)]
    pub entry: RawEntrySettings,
    /// Settings of a batch runner.
    #[serde(default)]
    pub batch: RawBatchSettings,
}

/// The `log` section.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLogSettings {
    /// JSON lines instead of text for people.
    pub json: bool,
    /// Least severe level.
    pub level: LogLevel,
    /// File to append to.
    pub file: Option<String>,
}

/// The `entry` section.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawEntrySettings {
    /// How long callers may keep addresses, in milliseconds.
    pub keep_addresses_ms: u64,
    /// Interval between group commits, in milliseconds.
    pub commit_interval_ms: u64,
    /// Number of request log shards.
    pub shards: u32,
    /// How online and batch work share the targets.
    pub policy: Policy,
}

/// The `batch` section.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawBatchSettings {
    /// Largest number of items run at once.
    pub slots: u32,
    /// How long a claim holds without renewal, in milliseconds.
    pub claim_ms: u64,
    /// How online and batch work share the targets.
    pub policy: Policy,
}

impl Default for RawEntrySettings {
    fn default() -> Self {
        Self {
            keep_addresses_ms: 5_000,
            commit_interval_ms: 10,
            shards: 8,
            policy: Policy::default(),
        }
    }
}

impl Default for RawBatchSettings {
    fn default() -> Self {
        Self { slots: 64, claim_ms: 15_000, policy: Policy::default() }
    }
}
