//! Deployment of real processes on the loopback interface.

mod standins;

use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use http::Method;
use oleander_core::hash;
use serde_json::{Value, json};

use crate::{
    caller::{CALLER_KEY, Caller, body_text, chat_body, get, post},
    client::{Client, Response, eventually},
    options::DeploymentOptions,
    ports::free_address,
    process::Process,
};

/// API key of the operator.
pub const OPERATOR_KEY: &str = "check-operator-key";
const START_TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(40);

/// A running deployment; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    folder: PathBuf,
    client: Client,
    platform_address: String,
    platform_advertised: String,
    service_address: String,
    engine_addresses: Vec<String>,
    entry_addresses: Vec<String>,
    admin_addresses: Vec<String>,
    /// Platform stand-in.
    pub platform: Process,
    /// Stand-in of the plain service.
    pub service: Process,
    /// Engine stand-ins.
    pub engines: Vec<Process>,
    /// Entry hosts.
    pub entries: Vec<Process>,
    /// Batch hosts.
    pub batch_hosts: Vec<Process>,
}

fn write_json(path: &Path, value: &Value) {
    fs::write(path, value.to_string()).expect("failed to write JSON file");
}

impl Deployment {
    /// Starts all processes and waits until the initial document is in force on all hosts.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or the document is not in force in time.
    pub async fn start(name: &str, options: &DeploymentOptions) -> Self {
        let folder = std::env::temp_dir().join(format!("check-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("failed to create deployment folder");
        fs::write(folder.join("link.key"), "check-link-key-of-at-least-32-bytes!")
            .expect("failed to write key file");
        fs::write(folder.join("operator.key"), OPERATOR_KEY).expect("failed to write key file");
        let (platform_address, service_address) = (free_address(), free_address());
        let configured = options.platform.as_ref();
        let platform_address = configured.map_or(platform_address, |a| a.listen.clone());
        let platform_advertised =
            configured.map_or(platform_address.clone(), |a| a.advertised.clone());
        let start_stand_in = |name: &str, log: &str, address: &str, extra_args: &[String]| {
            let mut args = vec!["--listen".to_owned(), address.to_owned()];
            args.extend_from_slice(extra_args);
            Process::start(name, &args, &folder.join(log))
        };
        let platform = start_stand_in("standin-platform", "platform.log", &platform_address, &[]);
        let service = start_stand_in(
            "standin-service",
            "service.log",
            &service_address,
            &options.service_args,
        );
        let engine_addresses: Vec<String> = (0..options.engines).map(|_| free_address()).collect();
        let engines = engine_addresses.iter().enumerate().map(|(index, address)| {
            let log = format!("engine-{index}.log");
            start_stand_in("standin-engine", &log, address, &options.engine_args)
        });
        let mut deployment = Self {
            client: Client::new(REQUEST_TIMEOUT),
            engines: engines.collect(),
            platform,
            service,
            entries: Vec::new(),
            batch_hosts: Vec::new(),
            entry_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            folder: folder.clone(),
            platform_address,
            platform_advertised,
            service_address,
            engine_addresses,
        };
        deployment.wait_for_platform().await;
        for index in 0..options.entries {
            deployment.start_host(&format!("entry-{index}"), "entry", options).await;
        }
        for index in 0..options.batch_hosts {
            deployment.start_host(&format!("batch-{index}"), "batch", options).await;
        }
        deployment.apply_initial().await;
        deployment.wait_for_peers().await;
        deployment
    }

    async fn wait_for_platform(&self) {
        eventually("the platform stand-in responds", START_TIMEOUT, || async {
            self.call_platform(Method::GET, "_stats", &Value::Null).await.ok()
        })
        .await;
    }

    async fn start_host(&mut self, name: &str, role: &str, options: &DeploymentOptions) {
        let (listen, link, admin) = (free_address(), free_address(), free_address());
        let settings = json!({
            "host": name, "zone": "zone-a", "role": role,
            "listen": listen, "link": link, "admin": admin,
            "platform": self.platform_advertised,
            "link_key_file": self.folder.join("link.key"),
            "operator_key_file": self.folder.join("operator.key"),
            "log": {"json": true, "level": "info"},
            "entry": options.entry, "batch": options.batch,
        });
        let path = self.folder.join(format!("{name}.json"));
        write_json(&path, &settings);
        let host = json!({
            "name": name, "role": role, "zone": "zone-a", "address": link, "state": "live",
        });
        self.call_platform(Method::PUT, &format!("v1/hosts/{name}"), &host)
            .await
            .expect("failed to register host");
        let args = ["--config".to_owned(), path.display().to_string()];
        let log = self.folder.join(format!("{name}.log"));
        let process = Process::start(&format!("oleander-{role}"), &args, &log);
        self.admin_addresses.push(admin);
        if role == "entry" {
            self.entry_addresses.push(listen);
            self.entries.push(process);
        } else {
            self.batch_hosts.push(process);
        }
    }

    /// Initial document of the deployment.
    #[must_use]
    pub fn document(&self) -> Value {
        let engines: Vec<Value> = self
            .engine_addresses
            .iter()
            .enumerate()
            .map(|(i, address)| json!({"name": format!("engine-{i}"), "zone": "zone-a", "address": address}))
            .collect();
        let digest = hash::digest(CALLER_KEY.as_bytes());
        json!({
            "zones": ["zone-a"],
            "services": [
                {"name": "llm", "kind": "engine", "model": "llm-7b", "targets": engines,
                 "online": {"target_limit": 16, "reserve": 2}},
                {"name": "desk", "kind": "plain",
                 "operations": [{"name": "dispatch", "repeatable": false},
                                {"name": "notify", "repeatable": true}],
                 "targets": [{"name": "desk-0", "zone": "zone-a", "address": self.service_address}]},
            ],
            "workspaces": [
                {"name": "check", "key_digest": digest, "services": ["llm", "desk"]},
            ],
        })
    }

    async fn apply_initial(&self) {
        let body = json!({"base": null, "document": self.document()});
        let revision = eventually("the document is applied", START_TIMEOUT, || async {
            let response = self.call_admin(0, Method::POST, "admin/apply", &body).await.ok()?;
            assert!(response.status.is_success(), "apply: {}", response.body);
            response.json()["revision"].as_u64()
        })
        .await;
        for index in 0..self.admin_addresses.len() {
            eventually("the document is in force", START_TIMEOUT, || async {
                (self.revision(index).await >= Some(revision)).then_some(())
            })
            .await;
        }
    }

    /// Waits until every entry lists the addresses of all entries.
    async fn wait_for_peers(&self) {
        for index in 0..self.entries.len() {
            eventually("every entry lists the addresses of all entries", START_TIMEOUT, || async {
                let response = self.get(index, "v1/addresses").await.ok()?.json();
                (response["addresses"].as_array()?.len() == self.entries.len()).then_some(())
            })
            .await;
        }
    }

    /// Revision in force on a host, by index: entry hosts come first, then batch hosts.
    pub async fn revision(&self, host: usize) -> Option<u64> {
        let status = self.call_admin(host, Method::GET, "admin/status", &Value::Null).await.ok()?;
        status.json()["revision"].as_u64()
    }

    /// Sends a request to a host's admin listener as the operator.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn call_admin(
        &self,
        host: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Response, String> {
        let url = format!("{}/{path}", self.admin_addresses[host]);
        let key = format!("Bearer {OPERATOR_KEY}");
        self.client.send(method, &url, &[("authorization", &key)], body_text(body)).await
    }

    /// Sends a POST request with an idempotency key to an entry as the caller.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn post(
        &self,
        entry: usize,
        path: &str,
        key: &str,
        body: &Value,
    ) -> Result<Response, String> {
        post(&self.client, &self.entry_addresses[entry], path, key, body).await
    }

    /// Sends a GET request to an entry as the caller.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn get(&self, entry: usize, path: &str) -> Result<Response, String> {
        get(&self.client, &self.entry_addresses[entry], path).await
    }

    /// Uploads a file of JSON lines through an entry.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn upload(&self, entry: usize, lines: &str) -> Result<Response, String> {
        let url = format!("{}/v1/files", self.entry_addresses[entry]);
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str())];
        self.client.send(Method::POST, &url, &headers, lines.to_owned()).await
    }

    /// Sends a chat completion request with one user message to an entry.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn chat(
        &self,
        entry: usize,
        key: &str,
        prompt: &str,
        stream: bool,
    ) -> Result<Response, String> {
        self.post(entry, "v1/chat/completions", key, &chat_body(prompt, stream)).await
    }

    /// Creates a client of the entries that does not borrow the deployment, for use while processes
    /// are stopped and restarted.
    #[must_use]
    pub fn caller(&self, timeout: Duration) -> Caller {
        Caller { client: Client::new(timeout), entries: self.entry_addresses.clone() }
    }

    /// Address of an engine stand-in.
    #[must_use]
    pub fn engine_address(&self, engine: usize) -> &str {
        &self.engine_addresses[engine]
    }

    /// Address of a host's admin listener, by index: entry hosts come first, then batch hosts.
    #[must_use]
    pub fn admin_address(&self, host: usize) -> &str {
        &self.admin_addresses[host]
    }

    /// Address of the platform stand-in.
    #[must_use]
    pub fn platform_address(&self) -> &str {
        &self.platform_address
    }

    /// Address of the stand-in of the plain service.
    #[must_use]
    pub fn service_address(&self) -> &str {
        &self.service_address
    }

    /// Path of a process's log file.
    #[must_use]
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.log"))
    }

    /// Applies a document and waits until it is in force on all hosts.
    ///
    /// # Panics
    ///
    /// Panics if the document is refused or not in force in time.
    pub async fn apply(&self, document: &Value) {
        let base = self.revision(0).await.expect("no document in force");
        let body = json!({"base": base, "document": document});
        let response =
            self.call_admin(0, Method::POST, "admin/apply", &body).await.expect("no response");
        assert!(response.status.is_success(), "apply: {}", response.body);
        let revision = response.json()["revision"].as_u64();
        for index in 0..self.admin_addresses.len() {
            eventually("the document is in force", START_TIMEOUT, || async {
                (self.revision(index).await >= revision).then_some(())
            })
            .await;
        }
    }

    /// Address of an entry's listener for callers.
    #[must_use]
    pub fn entry_address(&self, entry: usize) -> &str {
        &self.entry_addresses[entry]
    }
}
