//! The validated document.

use oleander_core::{
    Bytes, DigestId, ModelId, Rate, ServiceId, Span, TargetId, WorkspaceId, ZoneId, value,
};

value! {
    /// The configuration that operators declare; empty by default.
    #[derive(Default)]
    pub struct Document {
        /// Data centres that have entry hosts or targets.
        pub zones: Vec<ZoneId>,
        /// Services that workspaces may use.
        pub services: Vec<Service>,
        /// Workspaces (tenants), with their permissions and limits.
        pub workspaces: Vec<Workspace>,
    }

    /// A service and its targets.
    pub struct Service {
        /// Name that callers use.
        pub name: ServiceId,
        /// Model engines or plain HTTP services.
        pub kind: ServiceKind,
        /// Targets that run it.
        pub targets: Vec<TargetConfig>,
        /// Limits of online calls.
        pub online: OnlineLimits,
        /// Limits of batch items.
        pub batch: BatchLimits,
    }

    /// Kind of a service, with the fields that only this kind has.
    pub enum ServiceKind {
        /// Model engines with a chat/completions API.
        Engine {
            /// Model that the engines serve.
            model: ModelId,
        },
        /// Plain HTTP services.
        Plain {
            /// Operations that callers may call.
            operations: Vec<Operation>,
        },
    }

    /// One operation of a plain service.
    pub struct Operation {
        /// Name; the path segment of the operation in URLs.
        pub name: String,
        /// Whether a request may be sent again after an attempt that may have run.
        pub repeatable: bool,
    }

    /// One target of a service.
    pub struct TargetConfig {
        /// Name, unique among the targets of all services.
        pub name: TargetId,
        /// Data centre of the target.
        pub zone: ZoneId,
        /// IP address and port.
        pub address: String,
    }

    /// Limits of online calls to one service.
    pub struct OnlineLimits {
        /// Deadline of calls for which the caller sets none.
        pub deadline: Span,
        /// Objective for the time to the first token.
        pub first_token: Span,
        /// Objective for the time between tokens.
        pub between_tokens: Span,
        /// Maximum number of requests in flight at a target, online and batch together.
        pub target_limit: u32,
        /// Number of slots of each target that batch items leave free for online calls.
        pub reserve: u32,
        /// Maximum number of online calls that wait for a slot, per entry host.
        pub queue_limit: u32,
    }

    /// Limits of batch items of one service.
    pub struct BatchLimits {
        /// Maximum number of items in a lot.
        pub lot_items: u32,
        /// Number of lost targets, or of failures at healthy targets, after which an item fails.
        pub item_tries: u32,
        /// Time between two commits of the results of a running lot.
        #[serde(rename = "checkpoint")]
        pub checkpoint_interval: Span,
    }

    /// A workspace (tenant), with its permissions and limits.
    pub struct Workspace {
        /// Name of the workspace.
        pub name: WorkspaceId,
        /// BLAKE3 digest of its API key; the key itself is kept in a file, not in the document.
        pub key_digest: DigestId,
        /// Services it may call.
        pub services: Vec<ServiceId>,
        /// Limits of the workspace.
        pub limits: WorkspaceLimits,
    }

    /// Limits of one workspace, over all hosts.
    pub struct WorkspaceLimits {
        /// Sustained rate of online calls, per second.
        pub rate: Rate,
        /// Number of online calls allowed at once after a pause.
        pub burst: u32,
        /// Maximum size of an input file.
        pub file_bytes: Bytes,
        /// Maximum number of items in a job.
        pub job_items: u32,
    }
}

impl Document {
    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// The workspace whose API key has this digest.
    #[must_use]
    pub fn workspace_by_digest(&self, digest: &DigestId) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.key_digest == *digest)
    }
}

impl Service {
    /// The operation with this name; `None` for services of engines.
    #[must_use]
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        match &self.kind {
            ServiceKind::Engine { .. } => None,
            ServiceKind::Plain { operations } => operations.iter().find(|o| o.name == name),
        }
    }
}
