//! Settings of the console, read from a JSON file and validated.

use std::{fs, net::SocketAddr, path::Path, path::PathBuf};

use oleander_core::value;
use oleander_host::settings::{self, Fault, LogSettings, RawLogSettings, SettingsError};
use serde::Deserialize;

/// Contents of a settings file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    listen: SocketAddr,
    admin: Vec<SocketAddr>,
    operator_key_file: PathBuf,
    #[serde(default)]
    log: RawLogSettings,
}

value! {
    /// Validated settings.
    pub struct Settings {
        /// Address that browsers connect to.
        pub listen: SocketAddr,
        /// Admin listeners of entry hosts, tried in this order; not empty.
        pub admin: Vec<SocketAddr>,
        /// File with the operator key.
        pub operator_key_file: PathBuf,
        /// Log output.
        pub log: LogSettings,
    }
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or the faults of its contents.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(SettingsError::Read)?;
        Self::parse(&text)
    }

    /// Parses and validates settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns the faults found.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        Self::try_from(settings::parse_raw::<RawSettings>(text)?)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let mut faults = Vec::new();
        if raw.listen.port() == 0 {
            faults.push(fault("listen", "port must not be 0"));
        }
        if raw.admin.is_empty() {
            faults.push(fault("admin", "must name at least one admin listener"));
        }
        if raw.operator_key_file.as_os_str().is_empty() {
            faults.push(fault("operator_key_file", "must not be empty"));
        }
        if !faults.is_empty() {
            return Err(SettingsError::Faults(faults));
        }
        let RawLogSettings { json, level, file } = raw.log;
        Ok(Self {
            listen: raw.listen,
            admin: raw.admin,
            operator_key_file: raw.operator_key_file,
            log: LogSettings { json, level, file: file.map(PathBuf::from) },
        })
    }
}

fn fault(path: &str, reason: &str) -> Fault {
    Fault { path: path.to_owned(), reason: reason.to_owned() }
}
