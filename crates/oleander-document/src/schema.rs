//! Field names, defaults and bounds of the document.

/// Maximum number of data centres.
pub const MAX_ZONES: usize = 64;
/// Maximum number of services, in the document and for one workspace.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of operations of a plain service.
pub const MAX_OPERATIONS: usize = 256;
/// Maximum number of targets of a service.
pub const MAX_TARGETS: usize = 16_384;
/// Maximum number of workspaces.
pub const MAX_WORKSPACES: usize = 16_384;
/// Maximum length of the name of an operation, in bytes.
pub const MAX_OPERATION_BYTES: usize = 64;
/// Maximum length of the JSON input, in bytes.
pub const MAX_INPUT_BYTES: usize = 4 << 20;
/// Maximum length of the canonical JSON text, in bytes: the platform's limit for a value.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Field names of the document.
pub const DOCUMENT_FIELDS: [&str; 3] = ["zones", "services", "workspaces"];
/// Field names of a service.
pub const SERVICE_FIELDS: [&str; 7] =
    ["name", "kind", "model", "operations", "targets", "online", "batch"];
/// Field names of an operation.
pub const OPERATION_FIELDS: [&str; 2] = ["name", "repeatable"];
/// Field names of a target.
pub const TARGET_FIELDS: [&str; 3] = ["name", "zone", "address"];
/// Field names of a workspace.
pub const WORKSPACE_FIELDS: [&str; 4] = ["name", "key_digest", "services", "limits"];

/// `kind` of a service of model engines.
pub const ENGINE_KIND: &str = "engine";
/// `kind` of a plain HTTP service.
pub const PLAIN_KIND: &str = "plain";

/// An optional integer field with its default and bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Field name.
    pub name: &'static str,
    /// Unit, for display.
    pub unit: &'static str,
    /// Value if the field is absent.
    pub default: u64,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
}

impl Limit {
    const fn new(name: &'static str, unit: &'static str, default: u64) -> Self {
        Self { name, unit, default, min: 1, max: u32::MAX as u64 }
    }

    const fn with_bounds(mut self, min: u64, max: u64) -> Self {
        self.min = min;
        self.max = max;
        self
    }
}

/// Default deadline of an online call.
pub const DEADLINE: Limit = Limit::new("deadline_ms", "ms", 30_000).with_bounds(1, 3_600_000);
/// Objective for the time to the first token.
pub const FIRST_TOKEN: Limit = Limit::new("first_token_ms", "ms", 720).with_bounds(1, 600_000);
/// Objective for the time between tokens.
pub const BETWEEN_TOKENS: Limit = Limit::new("between_tokens_ms", "ms", 49).with_bounds(1, 60_000);
/// Maximum number of requests in flight at a target.
pub const TARGET_LIMIT: Limit = Limit::new("target_limit", "requests", 16).with_bounds(1, 4_096);
/// Number of slots of a target that batch items leave free for online calls.
pub const RESERVE: Limit = Limit::new("reserve", "requests", 4).with_bounds(0, 4_095);
/// Maximum number of waiting online calls, per entry host.
pub const QUEUE_LIMIT: Limit = Limit::new("queue_limit", "requests", 256).with_bounds(0, 65_536);
/// Limits of online calls.
pub const ONLINE_LIMITS: [Limit; 6] =
    [DEADLINE, FIRST_TOKEN, BETWEEN_TOKENS, TARGET_LIMIT, RESERVE, QUEUE_LIMIT];

/// Maximum number of items in a lot.
pub const LOT_ITEMS: Limit = Limit::new("lot_items", "items", 64).with_bounds(1, 10_000);
/// Number of lost targets, or of failures at healthy targets, after which an item fails.
pub const ITEM_TRIES: Limit = Limit::new("item_tries", "tries", 3).with_bounds(1, 100);
/// Time between two commits of the results of a running lot.
pub const CHECKPOINT: Limit = Limit::new("checkpoint_ms", "ms", 2_000).with_bounds(100, 600_000);
/// Limits of batch items.
pub const BATCH_LIMITS: [Limit; 3] = [LOT_ITEMS, ITEM_TRIES, CHECKPOINT];

/// Sustained rate of online calls of a workspace.
pub const RATE: Limit = Limit::new("rate_per_s", "calls/s", 1_000).with_bounds(1, 1_000_000);
/// Number of online calls allowed at once after a pause.
pub const BURST: Limit = Limit::new("burst", "calls", 2_000).with_bounds(1, 1_000_000);
/// Maximum size of an input file.
pub const FILE_BYTES: Limit =
    Limit::new("file_bytes", "bytes", 200_000_000).with_bounds(1, 10_000_000_000);
/// Maximum number of items in a job.
pub const JOB_ITEMS: Limit = Limit::new("job_items", "items", 310_000).with_bounds(1, 1_000_000);
/// Limits of a workspace.
pub const WORKSPACE_LIMITS: [Limit; 4] = [RATE, BURST, FILE_BYTES, JOB_ITEMS];
