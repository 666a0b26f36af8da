//! Size and settings of a test deployment.

use serde_json::{Value, json};

/// Number of processes of each kind, their arguments and settings.
#[derive(Debug, Clone)]
pub struct DeploymentOptions {
    pub(crate) entries: usize,
    pub(crate) batch_hosts: usize,
    pub(crate) engines: usize,
    pub(crate) engine_args: Vec<String>,
    pub(crate) service_args: Vec<String>,
    pub(crate) entry: Value,
    pub(crate) batch: Value,
    pub(crate) platform: Option<PlatformAddresses>,
}

/// Address that the platform stand-in listens on, and the one that the hosts connect to.
#[derive(Debug, Clone)]
pub(crate) struct PlatformAddresses {
    pub(crate) listen: String,
    pub(crate) advertised: String,
}

impl Default for DeploymentOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl DeploymentOptions {
    /// Three entry hosts and three engines, no batch host.
    #[must_use]
    pub fn new() -> Self {
        let args = ["--slots", "16", "--step-base-us", "3000", "--step-per-seq-us", "100"];
        Self {
            entries: 3,
            batch_hosts: 0,
            engines: 3,
            engine_args: args.map(str::to_owned).to_vec(),
            service_args: Vec::new(),
            entry: json!({"keep_addresses_ms": 1000, "shards": 4}),
            batch: json!({}),
            platform: None,
        }
    }

    /// Sets the number of entry hosts.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of batch hosts.
    #[must_use]
    pub const fn batch_hosts(mut self, batch_hosts: usize) -> Self {
        self.batch_hosts = batch_hosts;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub const fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the command-line arguments of the engine stand-ins.
    #[must_use]
    pub fn engine_args(mut self, args: &[&str]) -> Self {
        self.engine_args = args.iter().map(|&arg| arg.to_owned()).collect();
        self
    }

    /// Sets the command-line arguments of the stand-in of the plain service.
    #[must_use]
    pub fn service_args(mut self, args: &[&str]) -> Self {
        self.service_args = args.iter().map(|&arg| arg.to_owned()).collect();
        self
    }

    /// Sets the `entry` section of every host's settings.
    #[must_use]
    pub fn entry_settings(mut self, entry: Value) -> Self {
        self.entry = entry;
        self
    }

    /// Sets the `batch` section of every host's settings.
    #[must_use]
    pub fn batch_settings(mut self, batch: Value) -> Self {
        self.batch = batch;
        self
    }

    /// Lets the platform stand-in listen on one address while the hosts connect to another, such as
    /// that of a relay.
    #[must_use]
    pub fn platform_addresses(mut self, listen: &str, advertised: &str) -> Self {
        self.platform = Some(PlatformAddresses {
            listen: listen.to_owned(),
            advertised: advertised.to_owned(),
        });
        self
    }
}
