//! A cluster of batch processes, with stand-ins for the platform and the engines.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use axum::{
    Extension, Router,
    body::{Body, to_bytes},
    http::{Method, Request, StatusCode},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use oleander_document::Document;
use oleander_platform::{Created, HttpPlatform, ObjectStore as _};
use oleander_ports::free_address;
use serde_json::{Value, json};
use standin::{
    engine::{Engine, Faults, Options},
    platform::{self, Platform},
    server::Server,
};
use tokio::{
    net::TcpStream,
    sync::Mutex,
    time::{self, Instant},
};
use tower::ServiceExt;

const MAX_BODY_BYTES: usize = 64 << 20;
pub(crate) const LINK_SECRET: &str = "a link secret of the tests";
const OPERATOR_KEY: &str = "an operator key of the tests";
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Limit for all processes to listen to their peers.
const START_LIMIT: Duration = Duration::from_secs(20);

static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// An engine at a fixed address; its server is `None` once it was stopped for good.
pub(crate) struct EngineServer {
    address: SocketAddr,
    pub(crate) engine: Engine,
    server: Option<Server>,
    /// Engines that ran at this address earlier.
    pub(crate) earlier: Vec<Engine>,
}

pub(crate) struct Host {
    pub(crate) link: SocketAddr,
    pub(crate) child: Child,
}

pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    platform_server: Server,
    /// The platform as the hosts reach it; `None` once they are cut from it.
    host_server: Option<Server>,
    pub(crate) engines: Arc<Mutex<Vec<EngineServer>>>,
    document: Arc<Document>,
    folder: PathBuf,
    pub(crate) hosts: Vec<Host>,
    claim_ms: u64,
}

/// Settings of a cluster.
pub(crate) struct ClusterConfig {
    pub(crate) engines: usize,
    pub(crate) hosts: usize,
    pub(crate) lot_items: u32,
    pub(crate) claim_ms: u64,
    pub(crate) faults: Faults,
    pub(crate) step_base_us: u64,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            engines: 3,
            hosts: 2,
            lot_items: 10,
            claim_ms: 2_000,
            faults: Faults::default(),
            step_base_us: 5_000,
        }
    }
}

impl Cluster {
    pub(crate) async fn start(config: ClusterConfig) -> Self {
        let platform = Platform::new(platform::Options::default());
        let served = platform.clone();
        let platform_server = Server::start(|listener| served.serve(listener)).await.unwrap();
        let served = platform.clone();
        let host_server = Server::start(|listener| served.serve(listener)).await.unwrap();
        let mut engines = Vec::new();
        for _ in 0..config.engines {
            engines.push(EngineServer::start(&config).await);
        }
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::SeqCst);
        let folder = format!("oleander-batch-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).unwrap();
        let text = document(&engines, config.lot_items);
        let document = Arc::new(Document::from_json(text.as_bytes()).unwrap());
        let mut cluster = Self {
            platform,
            platform_server,
            host_server: Some(host_server),
            engines: Arc::new(Mutex::new(engines)),
            document,
            folder,
            hosts: Vec::new(),
            claim_ms: config.claim_ms,
        };
        let created = cluster.client().create("config/document", Bytes::from(text)).await;
        assert!(matches!(created, Ok(Created::New(_))));
        for number in 0..config.hosts {
            cluster.start_host(number).await;
        }
        cluster.wait_for_links().await;
        cluster
    }

    /// Waits until peers can reach all hosts.
    async fn wait_for_links(&self) {
        let end = Instant::now() + START_LIMIT;
        for Host { link, .. } in &self.hosts {
            while TcpStream::connect(link).await.is_err() {
                assert!(Instant::now() < end, "{link} is not listened on");
                time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    pub(crate) fn client(&self) -> HttpPlatform {
        HttpPlatform::new(&self.platform_server.address().to_string())
    }

    /// Cuts all hosts from the platform, which callers still reach.
    pub(crate) async fn cut_hosts(&mut self) {
        self.host_server.take().unwrap().stop().await;
    }

    pub(crate) async fn start_host(&mut self, number: usize) {
        let (listen, link, admin) = (free_address(), free_address(), free_address());
        let name = format!("batch-{number}");
        let path = |file: &str| self.folder.join(file);
        fs::write(path("link.key"), LINK_SECRET).unwrap();
        fs::write(path("operator.key"), OPERATOR_KEY).unwrap();
        let settings = json!({
            "host": name, "zone": "junin", "role": "batch",
            "listen": listen, "link": link, "admin": admin,
            "platform": self.host_server.as_ref().unwrap().address(),
            "link_key_file": path("link.key"), "operator_key_file": path("operator.key"),
            "log": {"file": path(&format!("{name}.log")), "level": "debug"},
            "batch": {"claim_ms": self.claim_ms},
        });
        let file = path(&format!("{name}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let host = json!({"name": name, "role": "batch", "zone": "junin",
            "address": link, "state": "live"});
        self.put(&format!("/v1/hosts/{name}"), host).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_oleander-batch"));
        let child = command.arg("--config").arg(file).spawn().unwrap();
        self.hosts.push(Host { link, child });
    }

    /// Removes a host from the platform's list.
    pub(crate) async fn remove_host(&self, number: usize) {
        self.set(Method::DELETE, &format!("/v1/hosts/batch-{number}"), Value::Null).await;
    }

    async fn put(&self, path: &str, body: Value) {
        self.set(Method::PUT, path, body).await;
    }

    async fn set(&self, method: Method, path: &str, body: Value) {
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let uri = format!("http://{}{path}", self.platform_server.address());
        let request = Request::builder().method(method).uri(uri);
        let request = request.header("content-type", "application/json");
        let request = request.body(Full::new(Bytes::from(body.to_string()))).unwrap();
        assert!(client.request(request).await.unwrap().status().is_success());
    }

    fn intake(&self) -> Router {
        let document = Arc::clone(&self.document);
        let workspace = self.document.workspaces[0].clone();
        oleander_intake::router(self.client(), move || Some(Arc::clone(&document)))
            .layer(Extension(workspace))
    }

    async fn call(&self, method: Method, path: &str, body: String) -> (StatusCode, Bytes) {
        let request = Request::builder().method(method).uri(path).body(Body::from(body)).unwrap();
        let response = self.intake().oneshot(request).await.unwrap();
        let status = response.status();
        (status, to_bytes(response.into_body(), MAX_BODY_BYTES).await.unwrap())
    }

    async fn json(&self, method: Method, path: &str, body: String) -> Value {
        let (status, bytes) = self.call(method, path, body).await;
        assert_eq!(status, StatusCode::OK, "{path}: {bytes:?}");
        serde_json::from_slice(&bytes).unwrap()
    }

    /// Submits a job of these items and returns its id.
    pub(crate) async fn submit(&self, items: &BTreeMap<String, Value>) -> String {
        let file = self.submit_file(items).await;
        self.submit_job(&file).await
    }

    /// Uploads a file of these items and returns its id.
    pub(crate) async fn submit_file(&self, items: &BTreeMap<String, Value>) -> String {
        let lines: String = items
            .iter()
            .map(|(name, body)| {
                let line = json!({"custom_id": name, "method": "POST",
                    "url": "/v1/chat/completions", "body": body});
                format!("{line}\n")
            })
            .collect();
        let file = self.json(Method::POST, "/v1/files", lines).await;
        file["id"].as_str().unwrap().to_owned()
    }

    /// Submits a job of an uploaded file and returns its id.
    pub(crate) async fn submit_job(&self, file: &str) -> String {
        let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions",
            "completion_window": "1h"});
        let job = self.json(Method::POST, "/v1/batches", body.to_string()).await;
        job["id"].as_str().unwrap().to_owned()
    }

    pub(crate) async fn job(&self, job: &str) -> Value {
        self.json(Method::GET, &format!("/v1/batches/{job}"), String::new()).await
    }

    pub(crate) async fn cancel(&self, job: &str) -> Value {
        self.json(Method::POST, &format!("/v1/batches/{job}/cancel"), String::new()).await
    }

    /// Waits until the job's status is `status`.
    pub(crate) async fn wait_for_status(
        &self,
        job: &str,
        status: &str,
        timeout: Duration,
    ) -> Value {
        let waited = time::timeout(timeout, async {
            loop {
                let found = self.job(job).await;
                if found["status"] == status {
                    return found;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        });
        match waited.await {
            Ok(job) => job,
            Err(_) => panic!("job did not become {status}: {}", self.job(job).await),
        }
    }

    /// Waits until the engines have received `count` requests.
    pub(crate) async fn wait_for_runs(&self, count: usize, timeout: Duration) {
        let waited = time::timeout(timeout, async {
            while self.request_times().await.len() < count {
                time::sleep(POLL_INTERVAL).await;
            }
        });
        assert!(waited.await.is_ok(), "the engines did not receive {count} requests");
    }

    /// Times of all requests that engines received, in microseconds.
    pub(crate) async fn request_times(&self) -> Vec<u64> {
        let engines = self.engines.lock().await;
        let all = engines.iter().flat_map(|server| server.earlier.iter().chain([&server.engine]));
        let records = all.flat_map(|engine| engine.records().list(&Default::default()).records);
        let received = records.filter(|r| r.event == standin::record::RecordEvent::Received);
        received.map(|record| record.at_us).collect()
    }

    /// The job's output by `custom_id`; panics if one occurs twice.
    pub(crate) async fn output(&self, job: &str) -> BTreeMap<String, Value> {
        let found = self.job(job).await;
        let Some(file) = found["output_file_id"].as_str() else { return BTreeMap::new() };
        let path = format!("/v1/files/{file}/content");
        let (status, content) = self.call(Method::GET, &path, String::new()).await;
        assert_eq!(status, StatusCode::OK);
        let mut rows = BTreeMap::new();
        for line in std::str::from_utf8(&content).unwrap().lines() {
            let row: Value = serde_json::from_str(line).unwrap();
            let name = row["custom_id"].as_str().unwrap().to_owned();
            assert!(rows.insert(name, row).is_none(), "duplicate item in the output: {line}");
        }
        rows
    }

    /// Restarts engines that crash, until the cluster is dropped.
    pub(crate) fn restart_dead_engines(&self, faults: Faults) {
        let engines = Arc::downgrade(&self.engines);
        tokio::spawn(async move {
            while let Some(engines) = engines.upgrade() {
                for server in engines.lock().await.iter_mut() {
                    server.restart_if_dead(&faults).await;
                }
                drop(engines);
                time::sleep(POLL_INTERVAL).await;
            }
        });
    }

    /// Stops an engine for good.
    pub(crate) async fn stop_engine(&self, number: usize) {
        let server = self.engines.lock().await[number].server.take();
        server.unwrap().stop().await;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            // Fails if the process has ended already.
            let _ = host.child.kill();
            let _ = host.child.wait();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl EngineServer {
    async fn start(config: &ClusterConfig) -> Self {
        let engine = Engine::new(options(config.step_base_us));
        engine.set_faults(config.faults.clone());
        let served = engine.clone();
        let server = Server::start(|listener| served.serve(listener)).await.unwrap();
        Self { address: server.address(), engine, server: Some(server), earlier: Vec::new() }
    }

    async fn restart_if_dead(&mut self, faults: &Faults) {
        if !self.server.as_ref().is_some_and(Server::is_finished) {
            return;
        }
        let engine = Engine::new(options(ClusterConfig::default().step_base_us));
        engine.set_faults(faults.clone());
        let served = engine.clone();
        if let Ok(server) = Server::start_at(self.address, |l| served.serve(l)).await {
            self.earlier.push(std::mem::replace(&mut self.engine, engine));
            self.server = Some(server);
        }
    }
}

fn options(step_base_us: u64) -> Options {
    Options { step_base_us, models: vec!["alarma-7b".to_owned()], ..Options::default() }
}

fn document(engines: &[EngineServer], lot_items: u32) -> String {
    let targets: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(i, e)| json!({"name": format!("e{i}"), "zone": "junin", "address": e.address}))
        .collect();
    json!({
        "zones": ["junin"],
        "services": [{"name": "alarma-llm", "kind": "engine", "model": "alarma-7b",
            "targets": targets, "online": {"target_limit": 8, "reserve": 2},
            "batch": {"lot_items": lot_items, "item_tries": 3, "checkpoint_ms": 200}}],
        "workspaces": [{"name": "pampeanos", "key_digest": "a".repeat(64),
            "services": ["alarma-llm"]}],
    })
    .to_string()
}

/// Bodies of `count` items by name.
pub(crate) fn items(count: usize) -> BTreeMap<String, Value> {
    (0..count).map(|i| (format!("shed-{i}"), body(&format!("summary of shed {i}")))).collect()
}

pub(crate) fn body(text: &str) -> Value {
    json!({"model": "alarma-llm", "messages": [{"role": "user", "content": text}]})
}
