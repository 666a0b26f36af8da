//! The checked document.

use oleander_core::{
    Bytes, DigestId, ModelId, Rate, ServiceId, Span, TargetId, WorkspaceId, ZoneId, value,
};

value! {
    /// Everything that operators declare, accepted whole; by default nothing.
    #[derive(Default)]
    pub struct Document {
        /// Data centres, each with entry hosts or targets.
        pub zones: Vec<ZoneId>,
        /// Services that callers name.
        pub services: Vec<Service>,
        /// Callers and what they may use.
        pub workspaces: Vec<Workspace>,
    }

    /// A model or a plain service with its targets.
    pub struct Service {
        /// Name that callers use.
        pub name: ServiceId,
        /// Engine pool or plain service.
        pub kind: ServiceKind,
        /// Where it runs.
        pub targets: Vec<TargetConfig>,
        /// Limits of online calls.
        pub online: OnlineLimits,
        /// Limits of batch work.
        pub batch: BatchLimits,
    }

    /// What stands behind a service.
    pub enum ServiceKind {
        /// Model engines that speak chat/completions.
        Engine {
            /// Model that the engines load.
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
        /// Path segment of the operation.
        pub name: String,
        /// Whether a run may be repeated.
        pub repeatable: bool,
    }

    /// One target of a service.
    pub struct TargetConfig {
        /// Name, unique over all services.
        pub name: TargetId,
        /// Its data centre.
        pub zone: ZoneId,
        /// IP number and port.
        pub address: String,
    }

    /// Limits of online calls to one service.
    pub struct OnlineLimits {
        /// Time a call may take when its caller names none.
        pub deadline: Span,
        /// Goal for the first token.
        pub first_token: Span,
        /// Goal for the time between tokens.
        pub between_tokens: Span,
        /// Most requests in flight at one target, online and batch together.
        pub target_limit: u32,
        /// Slots of each target that batch work leaves free.
        pub reserve: u32,
        /// Most online calls that wait for a slot on one entry host.
        pub queue_limit: u32,
    }

    /// Limits of batch work on one service.
    pub struct BatchLimits {
        /// Most items in one lot.
        pub lot_items: u32,
        /// Tries of an item whose own runs failed before it ends as failed.
        pub item_tries: u32,
        /// Time between progress records of a running lot.
        #[serde(rename = "checkpoint")]
        pub checkpoint_interval: Span,
    }

    /// A caller and what it may use.
    pub struct Workspace {
        /// Name of the workspace.
        pub name: WorkspaceId,
        /// BLAKE3 digest of its key; the key itself stays in a file.
        pub key_digest: DigestId,
        /// Services it may call.
        pub services: Vec<ServiceId>,
        /// Its own limits.
        pub limits: WorkspaceLimits,
    }

    /// Limits of one workspace over all hosts.
    pub struct WorkspaceLimits {
        /// Online calls a second.
        pub rate: Rate,
        /// Calls it may make at once after a pause.
        pub burst: u32,
        /// Largest input file.
        pub file_bytes: Bytes,
        /// Most items in one job.
        pub job_items: u32,
    }
}

impl Document {
    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// The workspace whose key has this digest.
    #[must_use]
    pub fn workspace_by_digest(&self, digest: &DigestId) -> Option<&Workspace> {
        self.workspaces.iter().find(|workspace| workspace.key_digest == *digest)
    }
}

impl Service {
    /// The operation with this name; `None` for engines.
    #[must_use]
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        match &self.kind {
            ServiceKind::Engine { .. } => None,
            ServiceKind::Plain { operations } => operations.iter().find(|o| o.name == name),
        }
    }
}
