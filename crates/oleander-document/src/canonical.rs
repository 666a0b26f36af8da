//! The canonical JSON form: all fields, in the order of the schema.

use serde::Serialize;

use crate::{
    BatchLimits, Document, OnlineLimits, Service, ServiceKind, TargetConfig, Workspace,
    WorkspaceLimits, schema,
};

/// A document that serializes to its canonical form.
#[derive(Debug, Serialize)]
pub(crate) struct CanonicalDocument<'a> {
    zones: &'a [oleander_core::ZoneId],
    services: Vec<CanonicalService<'a>>,
    workspaces: Vec<CanonicalWorkspace<'a>>,
}

#[derive(Debug, Serialize)]
struct CanonicalService<'a> {
    name: &'a str,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    operations: Option<Vec<CanonicalOperation<'a>>>,
    targets: Vec<CanonicalTarget<'a>>,
    online: CanonicalOnline,
    batch: CanonicalBatch,
}

#[derive(Debug, Serialize)]
struct CanonicalOperation<'a> {
    name: &'a str,
    repeatable: bool,
}

#[derive(Debug, Serialize)]
struct CanonicalTarget<'a> {
    name: &'a str,
    zone: &'a str,
    address: &'a str,
}

#[derive(Debug, Serialize)]
struct CanonicalOnline {
    deadline_ms: u64,
    first_token_ms: u64,
    between_tokens_ms: u64,
    target_limit: u32,
    reserve: u32,
    queue_limit: u32,
}

#[derive(Debug, Serialize)]
struct CanonicalBatch {
    lot_items: u32,
    item_tries: u32,
    checkpoint_ms: u64,
}

#[derive(Debug, Serialize)]
struct CanonicalWorkspace<'a> {
    name: &'a str,
    key_digest: &'a str,
    services: &'a [oleander_core::ServiceId],
    limits: CanonicalLimits,
}

#[derive(Debug, Serialize)]
struct CanonicalLimits {
    rate_per_s: u64,
    burst: u32,
    file_bytes: u64,
    job_items: u32,
}

impl<'a> From<&'a Document> for CanonicalDocument<'a> {
    fn from(document: &'a Document) -> Self {
        Self {
            zones: &document.zones,
            services: document.services.iter().map(CanonicalService::from).collect(),
            workspaces: document.workspaces.iter().map(CanonicalWorkspace::from).collect(),
        }
    }
}

impl<'a> From<&'a Service> for CanonicalService<'a> {
    fn from(service: &'a Service) -> Self {
        let (kind, model, operations) = match &service.kind {
            ServiceKind::Engine { model } => (schema::ENGINE_KIND, Some(model.as_str()), None),
            ServiceKind::Plain { operations } => (schema::PLAIN_KIND, None, Some(operations)),
        };
        let operations = operations.map(|operations| {
            let operations = operations.iter();
            operations
                .map(|o| CanonicalOperation { name: &o.name, repeatable: o.repeatable })
                .collect()
        });
        Self {
            name: service.name.as_str(),
            kind,
            model,
            operations,
            targets: service.targets.iter().map(CanonicalTarget::from).collect(),
            online: CanonicalOnline::from(&service.online),
            batch: CanonicalBatch::from(&service.batch),
        }
    }
}

impl<'a> From<&'a TargetConfig> for CanonicalTarget<'a> {
    fn from(target: &'a TargetConfig) -> Self {
        let TargetConfig { name, zone, address } = target;
        Self { name: name.as_str(), zone: zone.as_str(), address }
    }
}

impl From<&OnlineLimits> for CanonicalOnline {
    fn from(limits: &OnlineLimits) -> Self {
        Self {
            deadline_ms: limits.deadline.as_millis(),
            first_token_ms: limits.first_token.as_millis(),
            between_tokens_ms: limits.between_tokens.as_millis(),
            target_limit: limits.target_limit,
            reserve: limits.reserve,
            queue_limit: limits.queue_limit,
        }
    }
}

impl From<&BatchLimits> for CanonicalBatch {
    fn from(limits: &BatchLimits) -> Self {
        Self {
            lot_items: limits.lot_items,
            item_tries: limits.item_tries,
            checkpoint_ms: limits.checkpoint_interval.as_millis(),
        }
    }
}

impl<'a> From<&'a Workspace> for CanonicalWorkspace<'a> {
    fn from(workspace: &'a Workspace) -> Self {
        Self {
            name: workspace.name.as_str(),
            key_digest: workspace.key_digest.as_str(),
            services: &workspace.services,
            limits: CanonicalLimits::from(&workspace.limits),
        }
    }
}

impl From<&WorkspaceLimits> for CanonicalLimits {
    fn from(limits: &WorkspaceLimits) -> Self {
        Self {
            rate_per_s: limits.rate.0,
            burst: limits.burst,
            file_bytes: limits.file_bytes.0,
            job_items: limits.job_items,
        }
    }
}
