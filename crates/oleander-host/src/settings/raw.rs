//! Format of a settings file.

use serde::Deserialize;

use super::{LogLevel, Policy, Role};

/// Content of a settings file; addresses and names are not yet validated.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub zone: String,
    /// Role of the process.
    pub role: Role,
    /// Listen address for callers (`ip:port`).
    pub listen: String,
    /// Listen address for peers (`ip:port`).
    pub link: String,
    /// Listen address for operators and monitoring (`ip:port`).
    pub admin: String,
    /// Address of the platform's service (`ip:port`).
    pub platform: String,
    /// File with the key that authenticates messages between processes.
    pub link_key_file: String,
    /// File with the operator key.
    pub operator_key_file: String,
    /// Directory for bulk data.
    #[serde(default)]
    pub data_folder: Option<String>,
    /// Logging.
    #[serde(default)]
    pub log: RawLogSettings,
    /// Settings of an entry process.
    #[serde(default)]
    pub entry: RawEntrySettings,
    /// Settings of a batch process.
    #[serde(default)]
    pub batch: RawBatchSettings,
}

/// The `log` section.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLogSettings {
    /// Whether to write JSON lines instead of plain text.
    pub json: bool,
    /// Minimum severity.
    pub level: LogLevel,
    /// File to append to.
    pub file: Option<String>,
}

/// The `entry` section.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawEntrySettings {
    /// How long callers may use host addresses that they received, in milliseconds.
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
    /// Maximum number of items run concurrently.
    pub slots: u32,
    /// How long a claim on a lot is valid without renewal, in milliseconds.
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
